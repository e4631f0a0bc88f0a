// Package compare tells what a change of the configuration does to requests:
// which would be refused, moved to other engines, or treated otherwise.
//
// A kind of request is one caller with one adapter version or service. There may
// be hundreds of millions of them, so callers and targets that the same selectors
// of the same rules select are decided once and counted together.
package compare

import (
	"cmp"
	"fmt"
	"slices"

	"teaselmoor/internal/control/config"
)

// Kind is the effect of a change on one kind of request.
type Kind string

// Effects of a change, the gravest first.
const (
	Refused     Kind = "Refused"     // was permitted and is no longer
	Permitted   Kind = "Permitted"   // was refused and is permitted now
	Moved       Kind = "Moved"       // may run on other engines or addresses
	Urgency     Kind = "Urgency"     // has another class
	Deadline    Kind = "Deadline"    // has another deadline
	Repeatable  Kind = "Repeatable"  // may, or may no longer, be repeated
	CallerKey   Kind = "CallerKey"   // the caller has another API key
	CallerLimit Kind = "CallerLimit" // the caller has another rate limit
)

// kinds is the order of a report.
var kinds = []Kind{Refused, Permitted, Moved, Urgency, Deadline, Repeatable, CallerKey, CallerLimit}

// Examples is the number of examples kept for each kind of effect.
const Examples = 5

// Example is one kind of request and what the change does to it.
type Example struct {
	Caller string
	Target string `json:",omitempty"`
	Before string
	After  string
}

// Effect sums up one kind of effect.
type Effect struct {
	Kind Kind
	// Count is the number of kinds of request, or of callers, affected.
	Count    int
	Examples []Example
}

// Report is what a change does.
type Report struct {
	FromVersion uint64
	ToVersion   uint64
	// Requests is the number of kinds of request in either configuration.
	Requests int
	Effects  []Effect
}

// Compare tells what going from one configuration to another does.
func Compare(before, after *config.Snapshot) Report {
	comparison := &comparison{
		before: before, after: after, effects: map[Kind]*Effect{},
		selectedBefore: newSelection(before), selectedAfter: newSelection(after),
	}
	comparison.compareCallers()
	callers, targets := comparison.callerGroups(), comparison.targetGroups()
	for _, caller := range callers {
		for _, target := range targets {
			comparison.comparePair(caller, target)
		}
	}
	report := Report{FromVersion: before.Version(), ToVersion: after.Version(), Requests: comparison.requests}
	for _, kind := range kinds {
		if effect := comparison.effects[kind]; effect != nil {
			report.Effects = append(report.Effects, *effect)
		}
	}
	return report
}

type comparison struct {
	before, after                 *config.Snapshot
	selectedBefore, selectedAfter *selection
	requests                      int
	effects                       map[Kind]*Effect
}

func (comparison *comparison) add(kind Kind, count int, example Example) {
	effect := comparison.effects[kind]
	if effect == nil {
		effect = &Effect{Kind: kind}
		comparison.effects[kind] = effect
	}
	effect.Count += count
	if len(effect.Examples) < Examples {
		effect.Examples = append(effect.Examples, example)
	}
}

// compareCallers finds what changes for callers whatever they ask for.
func (comparison *comparison) compareCallers() {
	for i := range comparison.after.Config.Callers {
		caller := &comparison.after.Config.Callers[i]
		former, known := comparison.before.Caller(caller.Name)
		if !known {
			continue
		}
		if former.KeyHash != caller.KeyHash {
			comparison.add(CallerKey, 1, Example{Caller: caller.Name, Before: "former key", After: "another key"})
		}
		if former.RequestsPerSecond != caller.RequestsPerSecond || former.Burst != caller.Burst {
			comparison.add(CallerLimit, 1, Example{Caller: caller.Name, Before: limit(former), After: limit(caller)})
		}
	}
}

func limit(caller *config.Caller) string {
	if caller.RequestsPerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g a second, burst %d", caller.RequestsPerSecond, caller.Burst)
}

// callerGroup is the callers that the same rules select before and after.
type callerGroup struct {
	before, after *config.Caller // one of them; nil where there is none
	count         int
}

func (group *callerGroup) name() string {
	if group.after != nil {
		return group.after.Name
	}
	return group.before.Name
}

func (comparison *comparison) callerGroups() []*callerGroup {
	groups := newGroups[callerGroup]()
	visit := func(name string) {
		before, _ := comparison.before.Caller(name)
		after, _ := comparison.after.Caller(name)
		group := groups.at(comparison.selectedBefore.caller(before) + "|" + comparison.selectedAfter.caller(after))
		group.before, group.after = cmp.Or(group.before, before), cmp.Or(group.after, after)
		group.count++
	}
	for _, name := range names(comparison.before.Config.Callers, comparison.after.Config.Callers, func(caller config.Caller) string { return caller.Name }) {
		visit(name)
	}
	return groups.list
}

// groups finds groups by key and lists them in the order of their first member.
type groups[Group any] struct {
	byKey map[string]*Group
	list  []*Group
}

func newGroups[Group any]() *groups[Group] {
	return &groups[Group]{byKey: map[string]*Group{}}
}

func (groups *groups[Group]) at(key string) *Group {
	if found := groups.byKey[key]; found != nil {
		return found
	}
	added := new(Group)
	groups.byKey[key] = added
	groups.list = append(groups.list, added)
	return added
}

// names lists the names in either list, each once, the first list's first.
func names[Item any](before, after []Item, name func(Item) string) []string {
	seen := map[string]bool{}
	var all []string
	for _, item := range slices.Concat(before, after) {
		if !seen[name(item)] {
			seen[name(item)] = true
			all = append(all, name(item))
		}
	}
	return all
}
