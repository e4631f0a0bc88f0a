package loads

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
)

// refuse drops loads until the rest of the schedule is feasible.
func (broker *Broker) refuse(now clock.Millis) []Reply {
	if broker.options.Patient || broker.options.ArrivalOrder {
		return nil
	}
	var replies []Reply
	for {
		late := broker.firstLate(now)
		if late < 0 {
			return replies
		}
		at := broker.leastValuable(late)
		drained := broker.start(now) + clock.Millis(float64(len(broker.waiting))*broker.pace())
		replies = append(replies, verdict(&broker.waiting[at], true, drained-now))
		broker.waiting = append(broker.waiting[:at], broker.waiting[at+1:]...)
	}
}

// firstLate returns the first load of the schedule that would end too late, or -1.
func (broker *Broker) firstLate(now clock.Millis) int {
	ends := float64(broker.start(now) + broker.options.Margin)
	for i := range broker.waiting {
		ends += broker.pace()
		if clock.Millis(ends) > broker.waiting[i].deadline {
			return i
		}
	}
	return -1
}

// leastValuable returns the load up to an index whose refusal costs least: of
// the lowest class, then that with the fewest waiting requests, then the latest.
func (broker *Broker) leastValuable(last int) int {
	least := 0
	for i := 1; i <= last; i++ {
		if !lessValuable(&broker.waiting[least].ask, &broker.waiting[i].ask) {
			least = i
		}
	}
	return least
}

// lessValuable reports whether a serves less than b.
func lessValuable(a, b *message.LoadRequest) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Waiters < b.Waiters
}

func verdict(waiting *wait, refused bool, wait clock.Millis) Reply {
	return Reply{To: waiting.from, Message: message.LoadDecision{
		Store: waiting.ask.Store, Engine: waiting.ask.Engine, Adapter: waiting.ask.Adapter,
		Refused: refused, Wait: wait,
	}}
}

// next returns the index of the load that is granted next.
func (broker *Broker) next(now clock.Millis) int {
	if broker.options.ArrivalOrder {
		return 0
	}
	if routine := broker.firstOf(config.Routine); routine >= 0 && broker.urgentRun >= broker.options.Floor &&
		broker.feasibleAfter(now, routine) {
		return routine
	}
	return 0
}

func (broker *Broker) firstOf(class config.Class) int {
	for i := range broker.waiting {
		if broker.waiting[i].ask.Class == class {
			return i
		}
	}
	return -1
}

// feasibleAfter reports whether the loads ahead of one in the schedule still
// end in time when that one goes first.
func (broker *Broker) feasibleAfter(now clock.Millis, first int) bool {
	ends := float64(broker.start(now)+broker.options.Margin) + broker.pace()
	for i := range first {
		ends += broker.pace()
		if clock.Millis(ends) > broker.waiting[i].deadline {
			return false
		}
	}
	return true
}
