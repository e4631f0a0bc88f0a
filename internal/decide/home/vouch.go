package home

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/ownership"
)

// Key is an idempotency key with what its home follows from.
type Key struct {
	Key    string
	Caller string
	// Region is the caller's region; empty leaves the choice to a hash of the
	// caller's name. It never changes for a caller, or two regions could each
	// think themselves home.
	Region string
}

// roster lists the live daemons under one VM list, by region.
type roster map[string][]ident.DaemonID

func newRoster(view *members.View) roster {
	listed := roster{}
	for _, daemon := range view.Daemons(func(*members.VM) bool { return true }) {
		vm, _ := view.Daemon(daemon)
		listed[vm.Region] = append(listed[vm.Region], daemon)
	}
	return listed
}

// daemons returns the daemons that a key's home is chosen from.
func (roster roster) daemons(key Key) []ident.DaemonID {
	if len(roster) == 1 || key.Region != "" {
		for region, daemons := range roster {
			if key.Region == "" || key.Region == region {
				return daemons
			}
		}
		return nil
	}
	regions := make([]ident.DaemonID, 0, len(roster))
	for _, region := range slices.Sorted(maps.Keys(roster)) {
		regions = append(regions, ident.DaemonID(region))
	}
	region, _ := ownership.First("key region/"+key.Caller, regions)
	return roster[string(region)]
}

func (roster roster) first(key Key) (ident.DaemonID, bool) {
	return ownership.First(rankKey(key), roster.daemons(key))
}

func rankKey(key Key) string { return "key/" + key.Key }

// Of returns the daemon that is home to a key under a VM list.
func Of(view *members.View, key Key) (ident.DaemonID, bool) {
	return newRoster(view).first(key)
}

// history holds the rosters of the VM lists that this daemon has read without a
// gap: list versions rise by one, so that a list missed in between shows.
type history struct {
	version uint64
	readAt  clock.Millis // of the latest reading
	eras    []era
}

// era is the time in which one roster held.
type era struct {
	// since is when the roster was first read.
	since  clock.Millis
	roster roster
}

// latest returns the present roster, nil before the first.
func (history *history) latest() roster {
	if len(history.eras) == 0 {
		return nil
	}
	return history.eras[len(history.eras)-1].roster
}

// others returns the first daemons in a key's order without the given one.
func (history *history) others(key Key, without ident.DaemonID, count int) []ident.DaemonID {
	ranked := ownership.Rank(rankKey(key), history.latest().daemons(key))
	ranked = slices.DeleteFunc(ranked, func(daemon ident.DaemonID) bool { return daemon == without })
	return ranked[:min(count, len(ranked))]
}

// read takes in a reading of the VM list and reports whether the roster
// changed. A list older than one read before is no fresh knowledge.
func (history *history) read(view *members.View) bool {
	version := view.List.Version
	if len(history.eras) > 0 && version < history.version {
		return false
	}
	next := newRoster(view)
	same := maps.EqualFunc(history.latest(), next, slices.Equal)
	gap := version > history.version+1 || version == history.version && !same
	if gap || len(history.eras) == 0 {
		history.eras = []era{{since: view.ReadAt, roster: next}}
	} else if !same {
		history.eras = append(history.eras, era{since: view.ReadAt, roster: next})
	}
	history.version = version
	history.readAt = view.ReadAt
	return !same
}

// prune drops the eras that ended before a time.
func (history *history) prune(before clock.Millis) {
	for len(history.eras) > 1 && history.eras[1].since < before {
		history.eras = history.eras[1:]
	}
}

// acts reports whether this daemon may act as home of a key now.
func (home *Home) acts(now clock.Millis, key Key) bool {
	if len(home.history.eras) == 0 || now-home.history.readAt > home.options.MaxViewAge {
		return false
	}
	first, found := home.history.latest().first(key)
	return found && first == home.self
}

// vouches reports whether this home would know of an earlier attempt under a
// key. No attempt is granted before the key's issue, less the clock margin, by
// its home's clock; that clock differs from this one by the margin at most; and
// a home acts on a list that was current up to MaxViewAge and ListLag before. So
// this daemon must have been home under every list current since then.
func (home *Home) vouches(now clock.Millis, key Key, issuedAt clock.Millis) bool {
	margin := home.options.ClockMargin
	if issuedAt > now+margin || issuedAt < now-home.options.Retention+2*margin {
		return false
	}
	from := issuedAt - 2*margin - home.options.MaxViewAge - home.options.ListLag
	eras := home.history.eras
	if len(eras) == 0 || eras[0].since > from {
		return false
	}
	for i := len(eras) - 1; i >= 0; i-- {
		first, found := eras[i].roster.first(key)
		if !found || first != home.self {
			return false
		}
		if eras[i].since <= from {
			return true
		}
	}
	return true
}

// VouchesFresh reports whether this daemon could vouch for a key issued now, if
// it is that key's home under every list it has read.
func (home *Home) VouchesFresh(now clock.Millis) bool {
	span := 2*home.options.ClockMargin + home.options.MaxViewAge + home.options.ListLag
	eras := home.history.eras
	return len(eras) > 0 && eras[0].since <= now-span && now-home.history.readAt <= home.options.MaxViewAge
}

// ListRead takes in a reading of the VM list. Records that now have another
// home or copy holder are copied there; attempts granted to entries that are no
// longer listed become unknown.
func (home *Home) ListRead(now clock.Millis, view *members.View) []effect.Effect {
	before := home.history.latest()
	changed := home.history.read(view)
	home.history.prune(now - home.options.Retention - home.options.MaxViewAge - home.options.ListLag)
	if !changed || before == nil {
		return home.take()
	}
	home.lose(now, func(lost *record) bool {
		_, listed := view.Daemon(lost.stream.Daemon)
		return !listed
	})
	for _, known := range home.inOrder() {
		was, _ := before.first(known.key)
		is, _ := home.history.latest().first(known.key)
		if was == home.self || is == home.self {
			home.replicate(now, known)
		}
	}
	return home.take()
}
