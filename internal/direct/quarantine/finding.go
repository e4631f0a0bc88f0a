package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Finding is the result of a trial whose server ended: requests that have all its keys crash servers. Of
// two findings of the same name, the keys that both have hold, as answers remove keys.
type Finding struct {
	Name         string // of the server process and the attempt
	Server       string // the process that ended
	Keys         []content.ID
	Age          clock.Millis // time since the server ended
	Weak         bool         // all keys had been answered recently
	Others       int          // other servers that ended at the same time without any request lost there
	RequestedAge clock.Millis // time since a request was last refused for it, known to an eighth of Options.Keep only
}

// finding is a Finding in a list. One without keys is kept so that daemons which still have its keys are
// corrected.
type finding struct {
	server      string
	keys        []content.ID
	weak        bool
	others      int
	at          clock.Millis // when the server ended
	requestedAt clock.Millis // when a request was last refused for it
	revision    int64        // revision of the list at which the finding changed last
}

// addFinding records that the server of a trial ended. Any of its keys may be the cause, but keys that were answered
// recently only if there are no others, and the content only if a server had ended under it before.
func (list *List) addFinding(now clock.Millis, server string, request LostRequest, others int) {
	var keys []content.ID
	for i, key := range request.Keys {
		known, ok := list.entries[key]
		answered := ok && known.recentlyAnswered(now, list.options.Trust)
		first := i == 0 && list.ServerCount(key) < 2
		if !answered && !first {
			keys = append(keys, key)
		}
	}
	weak := len(keys) == 0
	if weak {
		keys = slices.Clone(request.Trial)
	}
	slices.SortFunc(keys, compareKeys)
	name := server + " " + strconv.FormatUint(xxhash.Sum64String(request.Attempt), 16) // callers choose the attempt's id, of any length
	list.findings[name] = &finding{server: server, keys: keys, weak: weak, others: others, at: now, requestedAt: now, revision: list.nextRevision()}
}

func compareKeys(a, b content.ID) int {
	return slices.Compare(a[:], b[:])
}

// mergeFinding applies a finding of another daemon. It reports whether the finding changed.
func (list *List) mergeFinding(now clock.Millis, received Finding) bool {
	known, ok := list.findings[received.Name]
	if !ok {
		known = &finding{server: received.Server, keys: received.Keys, weak: received.Weak, others: received.Others, at: now - received.Age, requestedAt: now - received.RequestedAge}
		list.findings[received.Name] = known
	}
	changed := !ok
	if requestedAt := now - received.RequestedAge; requestedAt >= known.requestedAt+list.options.Keep/8 {
		known.requestedAt = requestedAt
		changed = true
	}
	before := len(known.keys)
	known.keys = slices.DeleteFunc(slices.Clone(known.keys), func(key content.ID) bool {
		answeredAt, answered := list.answers.last(now, key)
		return !slices.Contains(received.Keys, key) || answered && answeredAt > known.at
	})
	changed = changed || len(known.keys) != before
	if changed {
		known.revision = list.nextRevision()
	}
	return changed
}

// clearFindings removes a key from all findings. It reports whether any had it.
func (list *List) clearFindings(key content.ID) bool {
	changed := false
	for _, known := range list.findings {
		if at := slices.Index(known.keys, key); at >= 0 {
			known.keys = slices.Delete(slices.Clone(known.keys), at, at+1)
			known.revision = list.nextRevision()
			changed = true
		}
	}
	return changed
}

// namedKeys returns the keys that findings name.
func (list *List) namedKeys() map[content.ID]bool {
	named := make(map[content.ID]bool)
	for _, known := range list.findings {
		for _, key := range known.keys {
			named[key] = true
		}
	}
	return named
}

// requested records that a request was refused for a finding. Other daemons are told from time to time, so that they
// keep the finding as long as such requests come anywhere.
func (list *List) requested(now clock.Millis, known *finding) {
	if now-known.requestedAt < list.options.Keep/8 {
		return
	}
	known.requestedAt = now
	known.revision = list.nextRevision()
}

// pruneFindings removes findings for which no request has come for long.
func (list *List) pruneFindings(now clock.Millis) {
	before := len(list.findings)
	maps.DeleteFunc(list.findings, func(_ string, known *finding) bool { return now-known.requestedAt >= list.options.Keep })
	if len(list.findings) != before {
		list.verdicts.stale = true
	}
}

// evictFindings removes the findings beyond the bound: those without keys first, and of the others those
// for which no request has come for longest.
func (list *List) evictFindings() {
	if len(list.findings) <= list.options.MostFindings {
		return
	}
	names := slices.SortedFunc(maps.Keys(list.findings), func(a, b string) int {
		first, second := list.findings[a], list.findings[b]
		return cmp.Or(cmp.Compare(min(1, len(first.keys)), min(1, len(second.keys))), cmp.Compare(first.requestedAt, second.requestedAt))
	})
	for _, name := range names[:len(names)-list.options.MostFindings] {
		delete(list.findings, name)
	}
	list.verdicts.stale = true
}
