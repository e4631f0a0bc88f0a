package compare

import (
	"cmp"
	"fmt"
	"strings"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// target is what requests address: an adapter version or a service.
type target struct {
	adapter *config.Adapter
	service *config.Service
}

func (target target) exists() bool {
	return target.adapter != nil || target.service != nil
}

// targetGroup is the targets whose keys are equal before and after.
type targetGroup struct {
	name          string // of the first
	before, after target
	count         int
}

func (comparison *comparison) targetGroups() []*targetGroup {
	groups := newGroups[targetGroup]()
	add := func(name string, before, after target) {
		group := groups.at(comparison.selectedBefore.target(before) + "|" + comparison.selectedAfter.target(after))
		group.name = cmp.Or(group.name, name)
		group.before, group.after = before, after
		group.count++
	}
	adapterName := func(adapter config.Adapter) string { return adapter.Address().String() }
	for _, name := range names(comparison.before.Config.Adapters, comparison.after.Config.Adapters, adapterName) {
		address, _ := ident.ParseAdapter(name)
		before, _ := comparison.before.Adapter(address)
		after, _ := comparison.after.Adapter(address)
		add(name, target{adapter: before}, target{adapter: after})
	}
	serviceName := func(service config.Service) string { return service.Name }
	for _, name := range names(comparison.before.Config.Services, comparison.after.Config.Services, serviceName) {
		before, _ := comparison.before.Service(name)
		after, _ := comparison.after.Service(name)
		add(name, target{service: before}, target{service: after})
	}
	return groups.list
}

// treatment is what a configuration does with a kind of request.
type treatment struct {
	permitted bool
	decision  config.Decision
	// places are where it may run: engines, or a service's addresses.
	places string
}

func treat(snapshot *config.Snapshot, caller *config.Caller, target target) treatment {
	if caller == nil || !target.exists() {
		return treatment{}
	}
	if target.service != nil {
		decision, matched := snapshot.DecideService(caller, target.service)
		return treatment{permitted: matched, decision: decision, places: strings.Join(target.service.Addresses, ", ")}
	}
	decision, matched := snapshot.DecideModel(caller, target.adapter)
	places := make([]string, 0, len(decision.Pool))
	for _, engine := range decision.Pool {
		if !engine.Leaving {
			places = append(places, string(engine.Name))
		}
	}
	// a request that a rule permits on no engine is refused all the same
	return treatment{permitted: matched && len(places) > 0, decision: decision, places: strings.Join(places, ", ")}
}

func (comparison *comparison) comparePair(caller *callerGroup, target *targetGroup) {
	count := caller.count * target.count
	comparison.requests += count
	before := treat(comparison.before, caller.before, target.before)
	after := treat(comparison.after, caller.after, target.after)
	add := func(kind Kind, before, after string) {
		comparison.add(kind, count, Example{Caller: caller.name(), Target: target.name, Before: before, After: after})
	}
	switch {
	case before.permitted && !after.permitted:
		add(Refused, "rule "+before.decision.Rule, whyRefused(caller.after != nil, target.after.exists(), after))
		return
	case !before.permitted && after.permitted:
		add(Permitted, whyRefused(caller.before != nil, target.before.exists(), before), "rule "+after.decision.Rule)
		return
	case !before.permitted:
		return
	}
	compareTreatments(before, after, add)
}

func whyRefused(callerKnown, targetKnown bool, refused treatment) string {
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

func compareTreatments(before, after treatment, add func(kind Kind, before, after string)) {
	if before.places != after.places {
		add(Moved, before.places, after.places)
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
