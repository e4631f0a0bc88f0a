// Package loads schedules the adapter loads from a weight store. One daemon per store
// and region is the broker, which grants a lease for each load, because the store
// reaches its full rate only with one load at a time.
//
// Waiting loads form a feasible schedule: in order of class, and of deadline within a
// class, each one ends by its deadline at the measured rate of the store. If a new
// load makes the schedule infeasible, the broker at once refuses the load of the
// lowest class that serves the fewest requests. Because all loads take the same time,
// this greedy rule keeps the most valuable set of loads that the store can serve in
// time.
package loads

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
)

// Options are the limits and policies of a broker.
type Options struct {
	// Lease is the duration of a lease. When it ends, the broker grants another load
	// even if the lease was not returned.
	Lease clock.Millis
	// MaxParallel is the maximum number of leases at a time.
	MaxParallel int
	// LoadDuration is the assumed duration of a load. The mean of the measured durations
	// starts from it.
	LoadDuration clock.Millis
	// Interval is the minimum time between two grants. It limits the broker to its
	// region's share of a store that several regions load from. It is 0 if only this
	// region uses the store.
	Interval clock.Millis
	// DeadlineMargin is the minimum time between the end of a load and its deadline.
	DeadlineMargin clock.Millis
	// BrokerTimeout is the time without a reply after which a daemon treats the broker as
	// unreachable and loads at its own share of the store's rate.
	BrokerTimeout clock.Millis
	// MaxUrgentInRow is the number of urgent loads in a row after which a routine load is
	// granted next, unless that would make an urgent one late.
	MaxUrgentInRow int
	// NeverRefuse disables refusals. It is a baseline that replays compare with.
	NeverRefuse bool
	// ArrivalOrder grants loads in order of arrival and ignores class and deadline. It
	// is a baseline that replays compare with.
	ArrivalOrder bool
}

// DefaultOptions returns the limits that apply if the settings do not set any.
func DefaultOptions() Options {
	return Options{
		Lease: 5 * clock.Second, MaxParallel: 1, LoadDuration: 500 * clock.Millisecond,
		DeadlineMargin: 100 * clock.Millisecond, BrokerTimeout: 2 * clock.Second, MaxUrgentInRow: 7,
	}
}

// Broker schedules the loads from one weight store.
type Broker struct {
	options Options
	waiting []waitingLoad // in scheduled order
	leases  map[loadKey]lease
	// meanDuration is the moving average of the measured load durations, in
	// milliseconds.
	meanDuration float64
	// nextGrantAt is the earliest time at which the next load may be granted.
	nextGrantAt clock.Millis
	// consecutiveUrgent is the number of urgent loads granted since the last routine
	// one.
	consecutiveUrgent int
}

// loadKey identifies a load by the adapter and the engine that loads it.
type loadKey struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

// lease is the permission for one load.
type lease struct {
	startedAt clock.Millis
	expiresAt clock.Millis
}

// waitingLoad is a load that has not been granted yet.
type waitingLoad struct {
	request  message.LoadRequest
	from     ident.DaemonID
	deadline clock.Millis
}

// Reply is a message to the owner of an engine: a LoadGrant or a LoadDecision.
type Reply struct {
	To      ident.DaemonID
	Message message.Message
}

// New returns the broker of a weight store.
func New(options Options) *Broker {
	return &Broker{options: options, leases: map[loadKey]lease{}, meanDuration: float64(options.LoadDuration)}
}

// Request adds, replaces or withdraws a waiting load. Every request except a withdrawal
// is answered with at least a decision.
func (broker *Broker) Request(now clock.Millis, from ident.DaemonID, request message.LoadRequest) []Reply {
	key := loadKey{engine: request.Engine, adapter: request.Adapter}
	if at := broker.indexOf(key); at >= 0 {
		broker.waiting = slices.Delete(broker.waiting, at, at+1)
	}
	if request.Withdraw {
		return broker.grant(now, nil)
	}
	broker.insert(waitingLoad{request: request, from: from, deadline: now + request.Budget})
	replies := broker.refuseInfeasible(now)
	if at := broker.indexOf(key); at >= 0 {
		expectedEnd := broker.nextStart(now) + clock.Millis(float64(at+1)*broker.meanInterval())
		replies = append(replies, decision(&broker.waiting[at], false, expectedEnd-now))
	}
	return broker.grant(now, replies)
}

// indexOf returns the index of a load among the waiting ones, or -1.
func (broker *Broker) indexOf(key loadKey) int {
	return slices.IndexFunc(broker.waiting, func(load waitingLoad) bool {
		return load.request.Engine == key.engine && load.request.Adapter == key.adapter
	})
}

// insert adds a load to the waiting ones, which are in order of class, then deadline.
func (broker *Broker) insert(added waitingLoad) {
	if broker.options.ArrivalOrder {
		broker.waiting = append(broker.waiting, added)
		return
	}
	at, _ := slices.BinarySearchFunc(broker.waiting, added, func(a, b waitingLoad) int {
		if a.request.Class != b.request.Class {
			return int(a.request.Class) - int(b.request.Class)
		}
		if a.deadline <= b.deadline {
			return -1
		}
		return 1
	})
	broker.waiting = slices.Insert(broker.waiting, at, added)
}

// ReturnLease ends a returned lease and adds the duration of its load to the mean, unless
// the lease was not used.
func (broker *Broker) ReturnLease(now clock.Millis, done message.LoadDone) []Reply {
	key := loadKey{engine: done.Engine, adapter: done.Adapter}
	if lease, known := broker.leases[key]; known {
		delete(broker.leases, key)
		if !done.Unused {
			broker.updateMeanDuration(now - lease.startedAt)
		}
	}
	return broker.grant(now, nil)
}

// newestLoadWeight is the weight of the newest load in the mean duration.
const newestLoadWeight = 0.1

func (broker *Broker) updateMeanDuration(duration clock.Millis) {
	broker.meanDuration += newestLoadWeight * (float64(duration) - broker.meanDuration)
}

// Tick ends expired leases and grants waiting loads.
func (broker *Broker) Tick(now clock.Millis) []Reply {
	for key, lease := range broker.leases {
		if lease.expiresAt <= now {
			delete(broker.leases, key)
		}
	}
	return broker.grant(now, nil)
}

// meanInterval returns the expected time between the starts of two successive loads,
// in milliseconds.
func (broker *Broker) meanInterval() float64 {
	return max(broker.meanDuration, float64(broker.options.Interval))
}

// nextStart returns the time at which the next load is expected to be able to start.
func (broker *Broker) nextStart(now clock.Millis) clock.Millis {
	now = max(now, broker.nextGrantAt)
	if len(broker.leases) < broker.options.MaxParallel {
		return now
	}
	firstEnd := clock.Millis(0)
	for _, lease := range broker.leases {
		expectedEnd := lease.startedAt + clock.Millis(broker.meanDuration)
		if firstEnd == 0 || expectedEnd < firstEnd {
			firstEnd = expectedEnd
		}
	}
	return max(now, firstEnd)
}

// grant grants waiting loads while leases are free, and appends the grants to the
// replies.
func (broker *Broker) grant(now clock.Millis, replies []Reply) []Reply {
	for len(broker.waiting) > 0 && len(broker.leases) < broker.options.MaxParallel && now >= broker.nextGrantAt {
		broker.nextGrantAt = now + broker.options.Interval
		at := broker.nextIndex(now)
		next := broker.waiting[at]
		broker.waiting = slices.Delete(broker.waiting, at, at+1)
		broker.countConsecutiveUrgent(next.request.Class)
		broker.leases[loadKey{engine: next.request.Engine, adapter: next.request.Adapter}] = lease{startedAt: now, expiresAt: now + broker.options.Lease}
		replies = append(replies, Reply{To: next.from, Message: message.LoadGrant{
			Store: next.request.Store, Engine: next.request.Engine, Adapter: next.request.Adapter, Lease: broker.options.Lease,
		}})
	}
	return replies
}

func (broker *Broker) countConsecutiveUrgent(class config.Class) {
	if class == config.Urgent {
		broker.consecutiveUrgent++
	} else {
		broker.consecutiveUrgent = 0
	}
}
