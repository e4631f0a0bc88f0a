package loads

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
)

// refuseInfeasible refuses waiting loads until the schedule of the others is feasible.
func (broker *Broker) refuseInfeasible(now clock.Millis) []Reply {
	if broker.options.NeverRefuse || broker.options.ArrivalOrder {
		return nil
	}
	var replies []Reply
	for {
		late := broker.firstLate(now)
		if late < 0 {
			return replies
		}
		at := broker.leastValuable(late)
		emptyAt := broker.nextStart(now) + clock.Millis(float64(len(broker.waiting))*broker.meanInterval())
		replies = append(replies, decision(&broker.waiting[at], true, emptyAt-now))
		broker.waiting = append(broker.waiting[:at], broker.waiting[at+1:]...)
	}
}

// firstLate returns the index of the first load that would end too late, or -1.
func (broker *Broker) firstLate(now clock.Millis) int {
	expectedEnd := float64(broker.nextStart(now) + broker.options.DeadlineMargin)
	for i := range broker.waiting {
		expectedEnd += broker.meanInterval()
		if clock.Millis(expectedEnd) > broker.waiting[i].deadline {
			return i
		}
	}
	return -1
}

// leastValuable returns the index of the load to refuse, among those up to the given
// index: of the lowest class, then with the fewest waiting requests, then the last
// in the schedule.
func (broker *Broker) leastValuable(last int) int {
	least := 0
	for i := 1; i <= last; i++ {
		if !servesLess(&broker.waiting[least].request, &broker.waiting[i].request) {
			least = i
		}
	}
	return least
}

// servesLess reports whether a has a lower class than b or, within a class, fewer
// waiting requests.
func servesLess(a, b *message.LoadRequest) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Waiters < b.Waiters
}

// decision returns the message that refuses a load or informs its owner of the expected
// wait: the time until the load ends or, for a refused load, until all loads that wait
// now have ended.
func decision(load *waitingLoad, refused bool, wait clock.Millis) Reply {
	return Reply{To: load.from, Message: message.LoadDecision{
		Store: load.request.Store, Engine: load.request.Engine, Adapter: load.request.Adapter,
		Refused: refused, Wait: wait,
	}}
}

// nextIndex returns the index of the load to grant next.
func (broker *Broker) nextIndex(now clock.Millis) int {
	if broker.options.ArrivalOrder {
		return 0
	}
	if routine := broker.firstOfClass(config.Routine); routine >= 0 && broker.consecutiveUrgent >= broker.options.MaxUrgentInRow &&
		broker.feasibleAfter(now, routine) {
		return routine
	}
	return 0
}

// firstOfClass returns the index of the first load of a class, or -1.
func (broker *Broker) firstOfClass(class config.Class) int {
	for i := range broker.waiting {
		if broker.waiting[i].request.Class == class {
			return i
		}
	}
	return -1
}

// feasibleAfter reports whether the loads ahead of the given one in the schedule
// would still end in time if that one were granted first.
func (broker *Broker) feasibleAfter(now clock.Millis, first int) bool {
	expectedEnd := float64(broker.nextStart(now)+broker.options.DeadlineMargin) + broker.meanInterval()
	for i := range first {
		expectedEnd += broker.meanInterval()
		if clock.Millis(expectedEnd) > broker.waiting[i].deadline {
			return false
		}
	}
	return true
}
