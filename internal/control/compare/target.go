package compare

import (
	"cmp"
	"fmt"
	"strings"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// target is what requests address: an adapter version or a service. Both are nil
// if the configuration does not define it.
type target struct {
	adapter *config.Adapter
	service *config.Service
}

func (target target) exists() bool {
	return target.adapter != nil || target.service != nil
}

// targetGroup is a group of targets that have the same key before the change, and
// the same key after it.
type targetGroup struct {
	name          string // of the first target
	before, after target
	count         int
}

func (comparison *comparison) targetGroups() []*targetGroup {
	groups := newGroups[targetGroup]()
	add := func(name string, before, after target) {
		group := groups.findOrAdd(comparison.rulesBefore.targetKey(before) + "|" + comparison.rulesAfter.targetKey(after))
		group.name = cmp.Or(group.name, name)
		group.before, group.after = before, after
		group.count++
	}
	adapterName := func(adapter config.Adapter) string { return adapter.Address().String() }
	for _, name := range uniqueNames(comparison.before.Config.Adapters, comparison.after.Config.Adapters, adapterName) {
		address, _ := ident.ParseAdapter(name)
		before, _ := comparison.before.Adapter(address)
		after, _ := comparison.after.Adapter(address)
		add(name, target{adapter: before}, target{adapter: after})
	}
	serviceName := func(service config.Service) string { return service.Name }
	for _, name := range uniqueNames(comparison.before.Config.Services, comparison.after.Config.Services, serviceName) {
		before, _ := comparison.before.Service(name)
		after, _ := comparison.after.Service(name)
		add(name, target{service: before}, target{service: after})
	}
	return groups.list
}

// handling says how a configuration handles a pair of a caller and a target.
type handling struct {
	permitted bool
	decision  config.Decision
	// locations lists the engines that may run a request, or the service's addresses.
	locations string
}

func handlingOf(snapshot *config.Snapshot, caller *config.Caller, target target) handling {
	if caller == nil || !target.exists() {
		return handling{}
	}
	if target.service != nil {
		decision, matched := snapshot.DecideService(caller, target.service)
		return handling{permitted: matched, decision: decision, locations: strings.Join(target.service.Addresses, ", ")}
	}
	decision, matched := snapshot.DecideModel(caller, target.adapter)
	engines := make([]string, 0, len(decision.Pool))
	for _, engine := range decision.Pool {
		if !engine.Leaving {
			engines = append(engines, string(engine.Name))
		}
	}
	// A request is also refused if a rule matches but no engine may run it.
	return handling{permitted: matched && len(engines) > 0, decision: decision, locations: strings.Join(engines, ", ")}
}

func (comparison *comparison) comparePair(caller *callerGroup, target *targetGroup) {
	count := caller.count * target.count
	comparison.requests += count
	before := handlingOf(comparison.before, caller.before, target.before)
	after := handlingOf(comparison.after, caller.after, target.after)
	add := func(kind Kind, before, after string) {
		comparison.addEffect(kind, count, Example{Caller: caller.name(), Target: target.name, Before: before, After: after})
	}
	switch {
	case before.permitted && !after.permitted:
		add(Refused, "rule "+before.decision.Rule, refusalReason(caller.after != nil, target.after.exists(), after))
		return
	case !before.permitted && after.permitted:
		add(Permitted, refusalReason(caller.before != nil, target.before.exists(), before), "rule "+after.decision.Rule)
		return
	case !before.permitted:
		return
	}
	compareHandling(before, after, add)
}

func refusalReason(callerKnown, targetKnown bool, refused handling) string {
	switch {
	case !callerKnown:
		return "caller not defined"
	case !targetKnown:
		return "adapter version or service not defined"
	case refused.decision.Rule != "":
		return "rule " + refused.decision.Rule + " permits no engine in service"
	}
	return "no rule matches"
}

func compareHandling(before, after handling, add func(kind Kind, before, after string)) {
	if before.locations != after.locations {
		add(Moved, before.locations, after.locations)
	}
	from, to := before.decision, after.decision
	if from.Class != to.Class {
		add(Urgency, from.Class.String(), to.Class.String())
	}
	if from.Deadline != to.Deadline {
		add(Deadline, fmt.Sprintf("%d ms", from.Deadline), fmt.Sprintf("%d ms", to.Deadline))
	}
	if from.Repeatable != to.Repeatable {
		add(Repeatable, fmt.Sprint(from.Repeatable), fmt.Sprint(to.Repeatable))
	}
}
