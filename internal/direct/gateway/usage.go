package gateway

import (
	"context"
	"maps"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/topology"
)

// usageHeard is when a daemon told last what accounts use, and how.
type usageHeard struct {
	at      clock.Millis
	scope   quota.Scope
	daemons int // that it counts together with
}

// usageInterval is how often daemons tell each other of accounts at least: one that is
// silent is taken to be cut off. These words do not wait for the digests, which a hub of
// a site with thousands of servers tells less often.
const usageInterval = 250 * clock.Millisecond

// hubTellers is the number of daemons whose words a daemon adds up that hears its hub.
const hubTellers = 4

// limitsPrune is how often accounts that are not used are looked for.
const limitsPrune = clock.Second

// tellUsages tells peers what accounts use until the context ends: soon after that has
// changed, else at intervals.
func (gateway *Gateway) tellUsages(ctx context.Context) error {
	timer := time.NewTimer(usageInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.usageChanged:
		case <-timer.C:
		}
		gateway.tellUsage()
		timer.Reset(usageInterval.Duration())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gateway.options.WorkPause.Duration()):
		}
	}
}

// used notes that the use of accounts has changed. The mutex is held.
func (core *core) used() {
	select {
	case core.usageChanged <- struct{}{}:
	default:
	}
}

// tellUsage tells peers what they have not been told of accounts.
func (gateway *Gateway) tellUsage() {
	core := gateway.core
	core.mutex.Lock()
	targets := core.members.Plan().Targets
	words := make([]*quota.Report, len(targets))
	for i, target := range targets {
		words[i] = core.usageNews(core.now(), target, core.toldTo(target.Address))
	}
	core.mutex.Unlock()
	for i, word := range words {
		if word != nil {
			gateway.send(targets[i].Address, peers.Message{Delta: &peers.Delta{Usage: word}})
		}
	}
}

// usageNews returns what a target has not been told of accounts. The mutex is held.
func (core *core) usageNews(now clock.Millis, target topology.Target, told *toldState) *quota.Report {
	if !core.ledger.Limited() {
		return nil
	}
	word := &quota.Report{Incarnation: core.born}
	sharers := core.members.DaemonCount()
	switch target.Scope {
	case topology.Sums:
		word.Scope, word.Daemons, sharers = quota.Others, core.ledger.Site().Reached, hubTellers
	case topology.Group:
		word.Scope, word.Daemons = quota.Group, core.groupSize(now)
	default:
		word.Scope, word.Daemons = quota.Own, 1
	}
	due := now-told.usageAt >= usageInterval
	if due {
		told.usageAt = now
		sharers = 0
	}
	word.Readings = core.ledger.UnsentReadings(now, word.Scope, target.Name, told.usage, sharers)
	if len(word.Readings) == 0 && !due {
		return nil
	}
	return word
}

// groupSize is the number of daemons for which this one speaks as a hub. The mutex is held.
func (core *core) groupSize(now clock.Millis) int {
	size := 1
	for name, heard := range core.usedBy {
		if heard.scope == quota.Own && core.inGroup(name) && now-heard.at < quota.SourceTimeout {
			size++
		}
	}
	return size
}

// takeUsage takes over what a peer says of accounts. The mutex is held.
func (core *core) takeUsage(now clock.Millis, from string, word quota.Report) {
	core.usedBy[from] = usageHeard{at: now, scope: word.Scope, daemons: word.Daemons}
	core.ledger.ApplyReport(now, from, word, core.countsUsage(from, word.Scope))
	if len(word.Readings) > 0 && core.hub == "" && !core.members.Plan().Mesh {
		core.used() // a hub passes it on
	}
}

// countsUsage reports whether this daemon adds up what another one says in a scope. The
// mutex is held.
func (core *core) countsUsage(from string, scope quota.Scope) bool {
	mesh := core.members.Plan().Mesh
	switch scope {
	case quota.Own:
		return mesh || core.inGroup(from)
	case quota.Group:
		return !mesh && core.hub == ""
	default:
		return from == core.hub
	}
}

// limitSite returns what this daemon knows of those that use the limits with it. The
// mutex is held.
func (core *core) limitSite(now clock.Millis) quota.Site {
	site := quota.Site{Daemons: core.members.DaemonCount(), Reached: 1, Sources: make(map[string]quota.Source)}
	if !core.members.Joined() {
		site.Daemons = core.options.LoneDaemons
	}
	for name, heard := range core.usedBy {
		cutOff := core.hub == "" && name == core.followsAt && heard.scope == quota.Others
		if !cutOff && !core.countsUsage(name, heard.scope) {
			continue
		}
		source := quota.Source{Live: !cutOff && now-heard.at < quota.SourceTimeout, LastReportAt: heard.at, Daemons: heard.daemons}
		site.Sources[name] = source
		if source.Live {
			site.Reached += source.Daemons
		}
	}
	if core.hub != "" && site.Reached > 1 {
		site.Reached-- // the hub counts this daemon too
	}
	site.Reached = min(site.Reached, site.Daemons)
	return site
}

// renewLimits takes down which daemons use the limits with this one. The mutex is held.
func (core *core) renewLimits(now clock.Millis) {
	if !core.ledger.Limited() {
		return
	}
	core.ledger.SetSite(now, core.limitSite(now))
	if now-core.limitsPruned >= limitsPrune {
		core.limitsPruned = now
		core.ledger.Prune(now)
	}
	maps.DeleteFunc(core.usedBy, func(name string, _ usageHeard) bool {
		_, known := core.members.Peer(name)
		if !known {
			core.ledger.ForgetSource(name)
		}
		return !known
	})
}
