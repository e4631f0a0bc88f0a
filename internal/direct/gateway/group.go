package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// groupShare is what a hub and those that have chosen it have in progress, with the
// number under which it was told.
type groupShare struct {
	number int64
	share  inflight.Share
}

// renewGroup adds up, as a hub, what this daemon and those that have chosen it have in
// progress.
func (core *core) renewGroup() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.members.Plan().Mesh || core.hub != "" {
		return
	}
	var group []string
	for name, peer := range core.members.Peers() {
		if peer.Hub == core.settings.Name {
			group = append(group, name)
		}
	}
	share := core.work.Group(group)
	if changes := share.DeltaFrom(core.group.share); !changes.Empty() {
		core.group = groupShare{number: core.group.number + 1, share: share}
		core.groupChanges = changes
	}
}

// renewOwners takes down, as a hub, who gives orders to which server and what it has
// learned of the weight store. The mutex is held.
func (core *core) renewOwners(now clock.Millis) {
	if core.members.Plan().Mesh || core.hub != "" {
		return
	}
	owners, learned := core.ownersNow(now), core.loadRate.Estimate()
	if maps.Equal(owners, core.owners) && learned.SimilarTo(core.learned) {
		return
	}
	core.owners, core.learned = owners, learned
	core.ownersNumber++
	core.hurry()
}

// groupNews returns the group's share, or what has changed since a target was told. The
// mutex is held.
func (core *core) groupNews(told *toldState) *peers.GroupShare {
	if told.group == core.group.number {
		return nil
	}
	news := &peers.GroupShare{Number: core.group.number, Whole: true, Share: core.group.share}
	if told.group == core.group.number-1 && told.group > 0 {
		news.Whole, news.Share = false, core.groupChanges
	}
	told.group = core.group.number
	return news
}

// takeGroup takes over the share of another hub. The mutex is held.
func (core *core) takeGroup(now clock.Millis, from string, news *peers.GroupShare) {
	known, ok := core.groups[from]
	switch {
	case news.Whole:
		known = groupShare{number: news.Number, share: news.Share}
	case ok && news.Number == known.number+1:
		known = groupShare{number: news.Number, share: known.share.ApplyDelta(news.Share)}
	default:
		return // the whole share was lost with its connection, and comes with the next one
	}
	core.groups[from] = known
	if core.hub == "" {
		core.countUses(now, core.work.SetPeer(from, known.share))
	}
}

// ownersNow returns which daemons give orders to servers. The mutex is held.
func (core *core) ownersNow(now clock.Millis) map[string]string {
	owners := make(map[string]string)
	for _, member := range core.fleet.Members() {
		if owner, ok := core.tenure.Owner(now, member.ID); ok {
			owners[member.ID] = owner
		}
	}
	return owners
}

// ownerNews returns who gives orders, if a target was told otherwise. The mutex is held.
func (core *core) ownerNews(told *toldState) *peers.Owners {
	if told.owners == core.ownersNumber {
		return nil
	}
	told.owners = core.ownersNumber
	return &peers.Owners{By: core.owners, Learned: core.learned}
}

// reportNews returns what servers say themselves that no daemon has told of, where a
// target does not know it. The mutex is held.
func (core *core) reportNews(told *toldState) []peers.ServerReport {
	if told.reports == core.fleet.ReportCount() {
		return nil
	}
	told.reports = core.fleet.ReportCount()
	var news []peers.ServerReport
	for _, member := range core.fleet.Members() {
		born, holdings, ok := member.Reported()
		if ok && told.reported[member.ID] < born {
			told.reported[member.ID] = born
			news = append(news, peers.ServerReport{Server: member.ID, Born: born, Holdings: holdings})
		}
	}
	return news
}

// takeReported takes over what servers say. The mutex is held.
func (core *core) takeReported(news []peers.ServerReport) {
	for _, reported := range news {
		core.fleet.SetReport(reported.Server, reported.Born, reported.Holdings)
	}
	if len(news) > 0 {
		core.notify()
	}
}
