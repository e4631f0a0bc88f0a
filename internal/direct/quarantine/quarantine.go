// Package quarantine decides which requests may be sent to servers, given that server processes have
// ended while they ran requests with the same content or the same part of a prompt. It covers the case
// that requests which crash every server that runs them keep coming under other ids, perhaps alike only
// in one part of their prompts, at any daemon, and each time destroy the work of the server's other
// callers. It does no I/O and reads no clock.
//
// A request has keys: its content and the parts of its prompt. Each daemon keeps a List. For each key it
// records the servers that ended while they had a request with it. Most of these keys are innocent: they
// belong to other requests at those servers, or are shared by sound requests. The list tells them apart:
//
//   - An answer to a request with a key clears the key.
//   - A key that several servers have ended under is suspect. Of all requests with a suspect key, one at a
//     time is sent to a server, over all daemons: a trial. Package gateway asks the site's Examiner for it.
//   - If the server of a trial ends, that is a Finding against all keys of the trial that were not answered
//     lately, suspect or not. Requests that have all keys of a finding are refused. A sound key in it is
//     cleared by the trial of a request that has that key without the others. If all keys were answered
//     lately the finding is weak: one alone is inconclusive.
//   - Ends that a finding explains no longer count against other keys.
//   - A finding is inconclusive, too, if several other servers ended at the same time for no known reason, and void if findings
//     against other keys explain all its ends.
//
// After a span that grows with each finding a further trial is allowed, and after Options.Findings
// of them no more, as long as such requests come. Daemons send each other their records and findings.
package quarantine

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Options are the limits of a list.
type Options struct {
	// Servers is how many servers must have ended under a key before it is suspect, and
	// AnsweredServers how many if the key was answered less than Trust ago. Only ends that no finding
	// explains count.
	Servers, AnsweredServers int
	// AnyServers is how many servers make a key suspect that was not answered, whatever explains them: two keys
	// that crash servers may be in progress at the same ones.
	AnyServers int
	// FirstSpan is how long requests are refused after a finding. The span is multiplied by Growth for each
	// further finding against the same keys. After Findings of them there is no further trial.
	FirstSpan clock.Millis
	Growth    int
	Findings  int
	// DoubtSpan is how long requests are refused after a finding that is inconclusive, as Others servers or more ended
	// within OthersTime of it for no known reason. The span is doubled for each further one against the same keys.
	DoubtSpan  clock.Millis
	Others     int
	OthersTime clock.Millis
	// Keep is how long a record or finding is kept after the last end or the last request that it
	// refused.
	Keep clock.Millis
	// Records and MostFindings bound the records and the findings in the list.
	Records, MostFindings int
	// Trust is for how long an answer speaks for a key. Answers is how many answered keys are remembered at least.
	Trust   clock.Millis
	Answers int
	// SameEnd is the time within which daemons notice the end of a process. A process that ends later under
	// the same name is another one.
	SameEnd clock.Millis
}

// DefaultOptions returns limits under which requests that crash servers, and keep coming, end two servers
// and those that have one in progress at that time, one in a trial, and two in further ones, after
// 10 minutes and after 2 hours.
func DefaultOptions() Options {
	return Options{
		Servers: 2, AnsweredServers: 4, AnyServers: 4,
		FirstSpan: 10 * clock.Minute, Growth: 12, Findings: 3, DoubtSpan: clock.Second, Others: 2, OthersTime: clock.Second,
		Keep: clock.Hour, Records: 2048, MostFindings: 64,
		Trust: 30 * clock.Second, Answers: 2048, SameEnd: 2 * clock.Second,
	}
}

// List holds what a daemon knows of the keys of requests that servers were running when they ended.
type List struct {
	options  Options
	entries  map[content.ID]*entry
	findings map[string]*finding // by name
	answers  *recentTimes[content.ID]
	ends     map[string]processEnds // by process
	revision int64
	verdicts verdicts // derived from the fields above
}

// New returns an empty list.
func New(options Options) *List {
	return &List{
		options: options, entries: make(map[content.ID]*entry), findings: make(map[string]*finding),
		answers: newRecentTimes[content.ID](options.Trust, options.Answers), ends: make(map[string]processEnds),
	}
}

// LostRequest is a request that was lost when a server ended.
type LostRequest struct {
	Attempt string
	Keys    []content.ID // its content first, then the parts of its prompt
	Trial   []content.ID // suspect keys of which it was the only request in progress; empty: it was no trial
}

// ServerEnded records the requests that were lost when a server process ended. Others is the number of other
// servers that were found to have ended at the same time without any request lost there; it matters for trials only.
func (list *List) ServerEnded(now clock.Millis, process string, lost []LostRequest, others int) {
	name := list.endName(now, process)
	for _, request := range lost {
		for _, key := range request.Keys {
			list.addEnd(now, key, name)
		}
	}
	for _, request := range lost {
		if len(request.Trial) > 0 {
			list.addFinding(now, name, request, others)
		}
	}
	list.evict(now)
}

// Answered records that a server has answered a request with the given keys. It reports whether that
// changed what is held against any of them.
func (list *List) Answered(now clock.Millis, keys []content.ID) bool {
	changed := false
	for _, key := range keys {
		list.answers.add(now, key)
		changed = list.clear(now, key) || changed
	}
	return changed
}

// Ended reports whether a process is known to have ended.
func (list *List) Ended(process string) bool {
	_, ok := list.ends[process]
	return ok
}

// RecentlyAnswered reports whether this daemon has seen an answer to a request with a key recently.
func (list *List) RecentlyAnswered(now clock.Millis, key content.ID) bool {
	_, ok := list.answers.last(now, key)
	return ok
}

// clear removes what is held against a key. It reports whether there was anything.
func (list *List) clear(now clock.Millis, key content.ID) bool {
	changed := list.clearFindings(key)
	if known, ok := list.entries[key]; ok && len(known.servers) > 0 {
		known.number++
		known.servers = make(map[string]bool)
		known.updatedAt = now
		list.markEntry(known)
		changed = true
	}
	return changed
}

// Revision returns the revision of the list. It increases with each change.
func (list *List) Revision() int64 {
	return list.revision
}

// nextRevision begins a new revision of the list, and returns it.
func (list *List) nextRevision() int64 {
	list.revision++
	return list.revision
}

// Prune removes what has had no effect for Options.Keep.
func (list *List) Prune(now clock.Millis) {
	list.pruneFindings(now)
	list.pruneEntries(now)
	list.pruneEnds(now)
}
