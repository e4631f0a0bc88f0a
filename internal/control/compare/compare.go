// Package compare reports how a change of the configuration affects requests:
// which of them would be refused, would run on other engines, or would be handled
// differently.
//
// It compares pairs of a caller and a target, which is an adapter version or a
// service. There may be hundreds of millions of pairs, so callers and targets that
// the selectors of the same rules match are grouped, and each pair of groups is
// evaluated once.
package compare

import (
	"cmp"
	"fmt"
	"slices"

	"teaselmoor/internal/control/config"
)

// Kind is a kind of effect that a change has on a pair of a caller and a target,
// or on a caller.
type Kind string

// Kinds of effects, the most severe first.
const (
	Refused     Kind = "Refused"     // was permitted and is refused now
	Permitted   Kind = "Permitted"   // was refused and is permitted now
	Moved       Kind = "Moved"       // may run on other engines or addresses
	Urgency     Kind = "Urgency"     // has another class
	Deadline    Kind = "Deadline"    // has another deadline
	Repeatable  Kind = "Repeatable"  // may now be repeated, or no longer
	CallerKey   Kind = "CallerKey"   // the caller has another API key
	CallerLimit Kind = "CallerLimit" // the caller has another rate limit
)

// reportOrder is the order in which a report lists the kinds of effects.
var reportOrder = []Kind{Refused, Permitted, Moved, Urgency, Deadline, Repeatable, CallerKey, CallerLimit}

// MaxExamples is the maximum number of examples for each kind of effect.
const MaxExamples = 5

// Example is a pair of a caller and a target that the change affects, with its
// handling before and after the change. Target is empty for effects on a caller.
type Example struct {
	Caller string
	Target string `json:",omitempty"`
	Before string
	After  string
}

// Effect summarises the effects of one kind.
type Effect struct {
	Kind Kind
	// Count is the number of affected pairs, or of affected callers for effects on
	// a caller.
	Count    int
	Examples []Example
}

// Report holds all effects of a change.
type Report struct {
	FromVersion uint64
	ToVersion   uint64
	// Requests is the number of pairs of a caller and a target, each defined in
	// either configuration.
	Requests int
	Effects  []Effect
}

// Compare returns the effects of a change from one configuration to another.
func Compare(before, after *config.Snapshot) Report {
	comparison := &comparison{
		before: before, after: after, effects: map[Kind]*Effect{},
		rulesBefore: newRuleMatcher(before), rulesAfter: newRuleMatcher(after),
	}
	comparison.compareCallers()
	callers, targets := comparison.callerGroups(), comparison.targetGroups()
	for _, caller := range callers {
		for _, target := range targets {
			comparison.comparePair(caller, target)
		}
	}
	report := Report{FromVersion: before.Version(), ToVersion: after.Version(), Requests: comparison.requests}
	for _, kind := range reportOrder {
		if effect := comparison.effects[kind]; effect != nil {
			report.Effects = append(report.Effects, *effect)
		}
	}
	return report
}

// comparison holds the state of one call of Compare.
type comparison struct {
	before, after           *config.Snapshot
	rulesBefore, rulesAfter *ruleMatcher
	requests                int
	effects                 map[Kind]*Effect
}

func (comparison *comparison) addEffect(kind Kind, count int, example Example) {
	effect := comparison.effects[kind]
	if effect == nil {
		effect = &Effect{Kind: kind}
		comparison.effects[kind] = effect
	}
	effect.Count += count
	if len(effect.Examples) < MaxExamples {
		effect.Examples = append(effect.Examples, example)
	}
}

// compareCallers finds the changes of callers' keys and limits, which do not
// depend on the target.
func (comparison *comparison) compareCallers() {
	for i := range comparison.after.Config.Callers {
		caller := &comparison.after.Config.Callers[i]
		former, known := comparison.before.Caller(caller.Name)
		if !known {
			continue
		}
		if former.KeyHash != caller.KeyHash {
			comparison.addEffect(CallerKey, 1, Example{Caller: caller.Name, Before: "former key", After: "another key"})
		}
		if former.RequestsPerSecond != caller.RequestsPerSecond || former.Burst != caller.Burst {
			comparison.addEffect(CallerLimit, 1, Example{Caller: caller.Name, Before: limitText(former), After: limitText(caller)})
		}
	}
}

func limitText(caller *config.Caller) string {
	if caller.RequestsPerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g a second, burst %d", caller.RequestsPerSecond, caller.Burst)
}

// callerGroup is a group of callers that the same rules match before the change,
// and the same rules after it.
type callerGroup struct {
	before, after *config.Caller // one of the callers; nil if not defined
	count         int
}

// name returns the name of a caller of the group.
func (callerGroup *callerGroup) name() string {
	if callerGroup.after != nil {
		return callerGroup.after.Name
	}
	return callerGroup.before.Name
}

func (comparison *comparison) callerGroups() []*callerGroup {
	groups := newGroups[callerGroup]()
	visit := func(name string) {
		before, _ := comparison.before.Caller(name)
		after, _ := comparison.after.Caller(name)
		group := groups.findOrAdd(comparison.rulesBefore.callerKey(before) + "|" + comparison.rulesAfter.callerKey(after))
		group.before, group.after = cmp.Or(group.before, before), cmp.Or(group.after, after)
		group.count++
	}
	for _, name := range uniqueNames(comparison.before.Config.Callers, comparison.after.Config.Callers, func(caller config.Caller) string { return caller.Name }) {
		visit(name)
	}
	return groups.list
}

// groups holds groups by key, and lists them in the order in which they were added.
type groups[Group any] struct {
	byKey map[string]*Group
	list  []*Group
}

func newGroups[Group any]() *groups[Group] {
	return &groups[Group]{byKey: map[string]*Group{}}
}

func (groups *groups[Group]) findOrAdd(key string) *Group {
	if found := groups.byKey[key]; found != nil {
		return found
	}
	added := new(Group)
	groups.byKey[key] = added
	groups.list = append(groups.list, added)
	return added
}

// uniqueNames returns the names of both lists, each once, in order of first
// occurrence.
func uniqueNames[Item any](before, after []Item, name func(Item) string) []string {
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
