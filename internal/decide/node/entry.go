package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// transientRetry is when a caller may come back after a refusal that another
// daemon, or this one a little later, would not give.
const transientRetry = clock.Second

// arrived takes in a request: refused at once, or on its way to its key's home
// or an engine.
func (node *Node) arrived(event RequestArrived) {
	arrived := &request{state: requestNew, arrived: event, stream: event.Stream}
	arrived.record = outcome.Record{Request: event.RequestID, Daemon: node.options.Self, At: node.now, Target: event.Model + event.Service}
	node.requests[event.Stream] = arrived
	if refusal := node.admit(arrived); refusal.Reason != "" {
		node.answer(arrived, refusal)
		return
	}
	arrived.deadline = node.now + arrived.rule.Deadline
	arrived.record.Rule = arrived.rule.Rule
	arrived.record.Class = arrived.rule.Class.String()
	arrived.record.Repeatable = arrived.rule.Repeatable
	arrived.record.Deadline = arrived.deadline
	node.retries.first()
	if arrived.rule.Repeatable {
		node.place(arrived)
		return
	}
	node.askHome(arrived)
}

// admit resolves caller, target and rule; it returns the refusal, if any.
func (node *Node) admit(arrived *request) outcome.Outcome {
	if node.draining {
		return outcome.Refused(outcome.ShuttingDown, transientRetry)
	}
	if node.config == nil {
		return outcome.Refused(outcome.NoConfiguration, transientRetry)
	}
	arrived.record.ConfigVersion = node.config.Version()
	caller, known := node.config.CallerByKey(arrived.arrived.APIKey)
	if !known {
		return outcome.Refused(outcome.Unauthorized, 0)
	}
	arrived.caller = caller
	arrived.record.Caller = caller.Name
	if wait := node.limits.take(node.now, caller.Name, rateOf(caller)); wait > 0 {
		return outcome.Refused(outcome.CallerLimit, wait)
	}
	return node.resolve(arrived)
}

func (node *Node) resolve(arrived *request) outcome.Outcome {
	if reason := node.matchRule(arrived); reason != "" {
		return outcome.Refused(reason, 0)
	}
	arrived.rule.Repeatable = arrived.rule.Repeatable && !arrived.arrived.NotRepeatable
	if !arrived.rule.Repeatable && arrived.arrived.Key == "" {
		return outcome.Refused(outcome.KeyMissing, 0)
	}
	return outcome.Outcome{}
}

func (node *Node) matchRule(arrived *request) outcome.Reason {
	var matched bool
	if arrived.arrived.Service != "" {
		service, known := node.config.Service(arrived.arrived.Service)
		if !known {
			return outcome.UnknownService
		}
		arrived.service = service
		arrived.rule, matched = node.config.DecideService(arrived.caller, service)
	} else {
		address, err := ident.ParseAdapter(arrived.arrived.Model)
		adapter, known := node.config.Adapter(address)
		if err != nil || !known {
			return outcome.UnknownModel
		}
		arrived.adapter = address
		arrived.rule, matched = node.config.DecideModel(arrived.caller, adapter)
	}
	if !matched {
		return outcome.NoRule
	}
	return ""
}

func rateOf(caller *config.Caller) rate {
	return rate{perSecond: caller.RequestsPerSecond, burst: caller.Burst}
}
