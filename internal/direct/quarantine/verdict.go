package quarantine

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Verdict says whether a request may be sent to a server.
type Verdict int

// Verdicts on a request.
const (
	Allowed Verdict = iota
	Suspect         // only as a trial of its suspect keys
	Refused
)

// Judgement is the verdict on a request.
type Judgement struct {
	Verdict  Verdict
	Suspects []content.ID // the suspect keys of a suspect request
	Left     clock.Millis // time until a refused request may be tried
	Servers  int          // servers that have ended under one of the keys of a suspect or refused request, at most
}

// verdicts is what follows from the records and findings of a list.
type verdicts struct {
	revision int64 // of the list that they were derived from
	at       clock.Millis
	stale    bool // the list has lost records or findings since
	suspects map[content.ID]bool
	holding  []holding // findings for which requests are refused
}

// holding is a finding for which requests are refused.
type holding struct {
	*finding
	inconclusive bool
}

// verdictInterval is how often verdicts are derived anew from an unchanged list, as answers stop to speak for keys.
const verdictInterval = clock.Second

// Judge returns the verdict on a request with the given keys.
func (list *List) Judge(now clock.Millis, keys []content.ID) Judgement {
	if len(list.entries) == 0 && len(list.findings) == 0 {
		return Judgement{}
	}
	list.derive(now)
	judgement := Judgement{Left: list.refusedFor(now, keys)}
	for _, key := range keys {
		if list.verdicts.suspects[key] {
			judgement.Suspects = append(judgement.Suspects, key)
		}
	}
	switch {
	case judgement.Left > 0:
		judgement.Verdict = Refused
	case len(judgement.Suspects) > 0:
		judgement.Verdict = Suspect
	default:
		return Judgement{}
	}
	for _, key := range judgement.Suspects {
		judgement.Servers = max(judgement.Servers, list.ServerCount(key))
	}
	return judgement
}

// Refuses reports whether requests with the given keys are refused.
func (list *List) Refuses(now clock.Millis, keys []content.ID) bool {
	list.derive(now)
	return list.refusedFor(now, keys) > 0
}

// refusedFor returns for how much longer a request is refused, or 0 if it is not.
func (list *List) refusedFor(now clock.Millis, keys []content.ID) clock.Millis {
	conclusive, weak, inconclusive := 0, 0, 0
	lastAt := clock.Millis(0)
	for _, known := range list.verdicts.holding {
		if !containsAll(keys, known.keys) {
			continue
		}
		switch {
		case known.inconclusive:
			inconclusive++
		case known.weak:
			weak++
		default:
			conclusive++
		}
		lastAt = max(lastAt, known.at)
		list.requested(now, known.finding)
	}
	if weak > 0 {
		conclusive += weak - 1
		inconclusive++
	}
	switch {
	case conclusive >= list.options.Findings:
		return list.options.Keep
	case conclusive > 0:
		return max(0, lastAt+grown(list.options.FirstSpan, list.options.Growth, conclusive-1)-now)
	case inconclusive > 0:
		return max(0, lastAt+grown(list.options.DoubtSpan, 2, min(inconclusive-1, maxDoublings))-now)
	}
	return 0
}

// maxDoublings bounds the span after inconclusive findings.
const maxDoublings = 6

// grown returns a span multiplied by a factor several times.
func grown(span clock.Millis, factor, times int) clock.Millis {
	for range times {
		span *= clock.Millis(factor)
	}
	return span
}

// containsAll reports whether a request with the given keys has all keys of a finding.
func containsAll(keys, required []content.ID) bool {
	for _, key := range required {
		if !slices.Contains(keys, key) {
			return false
		}
	}
	return len(required) > 0
}

// derive updates the verdicts to the present records and findings.
func (list *List) derive(now clock.Millis) {
	if list.verdicts.suspects != nil && !list.verdicts.stale && list.verdicts.revision == list.revision && now-list.verdicts.at < verdictInterval {
		return
	}
	derived := verdicts{revision: list.revision, at: now, suspects: make(map[content.ID]bool)}
	named := list.namedKeys()
	var all attributions
	for _, known := range list.findings {
		if len(known.keys) == 0 {
			continue
		}
		all = append(all, attribution{finding: known, servers: list.serversOf(known)})
	}
	explained := all.servers()
	for _, each := range all {
		if !all.doubtful(each) {
			derived.holding = append(derived.holding, holding{finding: each.finding, inconclusive: list.isInconclusive(each, explained)})
		}
	}
	for key, known := range list.entries {
		if named[key] || list.isSuspect(now, known, explained) {
			derived.suspects[key] = true
		}
	}
	for key := range named {
		derived.suspects[key] = true
	}
	list.verdicts = derived
}

// attribution is a finding with the servers that ended under all of its keys.
type attribution struct {
	*finding
	servers map[string]bool
}

// attributions are those of all findings.
type attributions []attribution

// serversOf returns the servers that ended under all keys of a finding.
func (list *List) serversOf(known *finding) map[string]bool {
	servers := map[string]bool{known.server: true}
	first, ok := list.entries[known.keys[0]]
	if !ok {
		return servers
	}
	for server := range first.servers {
		shared := true
		for _, key := range known.keys[1:] {
			other, ok := list.entries[key]
			shared = shared && ok && other.servers[server]
		}
		if shared {
			servers[server] = true
		}
	}
	return servers
}

// servers returns the servers whose ends findings explain.
func (attributions attributions) servers() map[string]bool {
	servers := make(map[string]bool)
	for _, each := range attributions {
		maps.Copy(servers, each.servers)
	}
	return servers
}

// explain reports whether a finding explains that a server ended, other than a finding that shares a key with
// the given ones.
func (attributions attributions) explain(server string, keys []content.ID) bool {
	for _, each := range attributions {
		if each.servers[server] && !sharesKey(each.keys, keys) {
			return true
		}
	}
	return false
}

// doubtful reports whether findings against other keys explain all ends of a finding: the server of its trial may
// have ended under another request.
func (attributions attributions) doubtful(finding attribution) bool {
	for server := range finding.servers {
		if !attributions.explain(server, finding.keys) {
			return false
		}
	}
	return true
}

func sharesKey(a, b []content.ID) bool {
	return slices.ContainsFunc(a, func(key content.ID) bool { return slices.Contains(b, key) })
}

// isInconclusive reports whether several other servers ended at the same time as that of a finding's trial, under
// requests that no finding names or under none.
func (list *List) isInconclusive(finding attribution, explained map[string]bool) bool {
	others := finding.others
	for process, ends := range list.ends {
		apart := max(ends.lastAt-finding.at, finding.at-ends.lastAt)
		name := ends.name(process)
		if apart < list.options.OthersTime && !finding.servers[name] && !explained[name] {
			others++
		}
	}
	return others >= list.options.Others
}

// isSuspect reports whether a key that no finding names is suspect.
func (list *List) isSuspect(now clock.Millis, known *entry, explained map[string]bool) bool {
	required := list.options.Servers
	if known.recentlyAnswered(now, list.options.Trust) {
		required = list.options.AnsweredServers
	} else if len(known.servers) >= list.options.AnyServers {
		return true
	}
	if len(known.servers) < required {
		return false
	}
	unexplained := 0
	for server := range known.servers {
		if !explained[server] {
			unexplained++
		}
	}
	return unexplained >= required
}

// ServerCount returns how many servers have ended under a key since it was last answered.
func (list *List) ServerCount(key content.ID) int {
	known, ok := list.entries[key]
	if !ok {
		return 0
	}
	return len(known.servers)
}

// Counts returns the number of suspect keys, and the number of sets of keys that requests are refused for.
func (list *List) Counts(now clock.Millis) (suspects, refused int) {
	list.derive(now)
	var sets [][]content.ID
	for _, known := range list.verdicts.holding {
		if !slices.ContainsFunc(sets, func(set []content.ID) bool { return slices.Equal(set, known.keys) }) {
			sets = append(sets, known.keys)
		}
	}
	return len(list.verdicts.suspects), len(sets)
}
