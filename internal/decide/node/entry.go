package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// transientRetryDelay is the retry delay given to a caller after a refusal for a
// temporary cause. Another daemon, or this one a little later, may accept the request.
const transientRetryDelay = clock.Second

// requestArrived handles a caller's request: it refuses it, asks the home of its
// key, or places it.
func (node *Node) requestArrived(event RequestArrived) {
	request := &request{state: requestNew, arrival: event, stream: event.Stream}
	request.record = outcome.Record{Request: event.RequestID, Daemon: node.options.Self, At: node.now, Target: event.Model + event.Service}
	node.requests[event.Stream] = request
	if refusal := node.admit(request); refusal.Reason != "" {
		node.answer(request, refusal)
		return
	}
	request.deadline = node.now + request.rule.Deadline
	request.record.Rule = request.rule.Rule
	request.record.Class = request.rule.Class.String()
	request.record.Repeatable = request.rule.Repeatable
	request.record.Deadline = request.deadline
	node.retries.addFirstAttempt()
	if request.rule.Repeatable {
		node.place(request)
		return
	}
	node.askHome(request)
}

// admit resolves the caller, target and rule of a request and applies the caller's
// rate limit. It returns the refusal, if any.
func (node *Node) admit(request *request) outcome.Outcome {
	if node.draining {
		return outcome.Refused(outcome.ShuttingDown, transientRetryDelay)
	}
	if node.config == nil {
		return outcome.Refused(outcome.NoConfiguration, transientRetryDelay)
	}
	request.record.ConfigVersion = node.config.Version()
	caller, known := node.config.CallerByKey(request.arrival.APIKey)
	if !known {
		return outcome.Refused(outcome.Unauthorized, 0)
	}
	request.caller = caller
	request.record.Caller = caller.Name
	if wait := node.limits.take(node.now, caller.Name, rateOf(caller)); wait > 0 {
		return outcome.Refused(outcome.CallerLimit, wait)
	}
	return node.resolve(request)
}

func (node *Node) resolve(request *request) outcome.Outcome {
	if reason := node.matchRule(request); reason != "" {
		return outcome.Refused(reason, 0)
	}
	request.rule.Repeatable = request.rule.Repeatable && !request.arrival.NotRepeatable
	if !request.rule.Repeatable && request.arrival.Key == "" {
		return outcome.Refused(outcome.KeyMissing, 0)
	}
	return outcome.Outcome{}
}

func (node *Node) matchRule(request *request) outcome.Reason {
	var matched bool
	if request.arrival.Service != "" {
		service, known := node.config.Service(request.arrival.Service)
		if !known {
			return outcome.UnknownService
		}
		request.service = service
		request.rule, matched = node.config.DecideService(request.caller, service)
	} else {
		address, err := ident.ParseAdapter(request.arrival.Model)
		adapter, known := node.config.Adapter(address)
		if err != nil || !known {
			return outcome.UnknownModel
		}
		request.adapter = address
		request.rule, matched = node.config.DecideModel(request.caller, adapter)
	}
	if !matched {
		return outcome.NoRule
	}
	return ""
}

func rateOf(caller *config.Caller) rateLimit {
	return rateLimit{perSecond: caller.RequestsPerSecond, burst: caller.Burst}
}
