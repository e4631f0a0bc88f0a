// Package loads decides which adapter load goes next at a weight store. One
// daemon per store grants leases, because the store loads at full speed only
// one adapter at a time.
//
// Waiting loads are kept as a feasible schedule: in order of class, and of
// deadline within a class, every one ends by its deadline at the rate that the
// store has shown. When an arrival makes the schedule infeasible, the load that
// would serve the fewest requests of the lowest class is refused at once. As
// all loads take the same time, this greedy rule keeps the most valuable set of
// loads that the store can serve in time.
package loads

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
)

// Options are the limits of a broker.
type Options struct {
	// Lease is the span after which an unreturned grant is given to another load.
	Lease clock.Millis
	// Parallel is the number of loads granted at once.
	Parallel int
	// Span is how long a load takes, until the store has shown it.
	Span clock.Millis
	// Interval is the shortest span between two grants. It holds a broker to its
	// region's share of a store that several regions load from; 0 when it has the
	// store to itself.
	Interval clock.Millis
	// Margin is the span kept free before each deadline.
	Margin clock.Millis
	// Silence is the span without a reply after which a daemon takes the broker as
	// out of reach and loads at its own share of the store's rate.
	Silence clock.Millis
	// Floor is the number of urgent loads in a row after which a routine one
	// goes next, unless an urgent one would then be late.
	Floor int
	// Patient never refuses a load on arrival. It is a baseline.
	Patient bool
	// ArrivalOrder grants loads in order of arrival, whatever their class and
	// deadline. It is a baseline.
	ArrivalOrder bool
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{
		Lease: 5 * clock.Second, Parallel: 1, Span: 500 * clock.Millisecond,
		Margin: 100 * clock.Millisecond, Silence: 2 * clock.Second, Floor: 7,
	}
}

// Broker holds the loads that wait for one weight store.
type Broker struct {
	options Options
	waiting []wait // in the order of the schedule
	leases  map[load]lease
	// span is the mean span of a load, as measured.
	span float64
	// notBefore is the earliest time of the next grant.
	notBefore clock.Millis
	// urgentRun is the number of urgent loads granted in a row.
	urgentRun int
}

// load identifies one load: one adapter at one engine.
type load struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

type lease struct {
	began clock.Millis
	ends  clock.Millis
}

type wait struct {
	ask      message.LoadRequest
	from     ident.DaemonID
	deadline clock.Millis
}

// Reply is a message for the owner of an engine: a grant or a verdict.
type Reply struct {
	To      ident.DaemonID
	Message message.Message
}

// New returns the broker of a weight store.
func New(options Options) *Broker {
	return &Broker{options: options, leases: map[load]lease{}, span: float64(options.Span)}
}

// Ask takes in, replaces or withdraws a waiting load. Every ask but a
// withdrawal is answered, by a verdict at least.
func (broker *Broker) Ask(now clock.Millis, from ident.DaemonID, ask message.LoadRequest) []Reply {
	key := load{engine: ask.Engine, adapter: ask.Adapter}
	if at := broker.find(key); at >= 0 {
		broker.waiting = slices.Delete(broker.waiting, at, at+1)
	}
	if ask.Withdraw {
		return broker.grant(now, nil)
	}
	broker.insert(wait{ask: ask, from: from, deadline: now + ask.Budget})
	replies := broker.refuse(now)
	if at := broker.find(key); at >= 0 {
		ends := broker.start(now) + clock.Millis(float64(at+1)*broker.pace())
		replies = append(replies, verdict(&broker.waiting[at], false, ends-now))
	}
	return broker.grant(now, replies)
}

func (broker *Broker) find(key load) int {
	return slices.IndexFunc(broker.waiting, func(waiting wait) bool {
		return waiting.ask.Engine == key.engine && waiting.ask.Adapter == key.adapter
	})
}

// insert keeps the waiting loads in order of class, then deadline.
func (broker *Broker) insert(arrived wait) {
	if broker.options.ArrivalOrder {
		broker.waiting = append(broker.waiting, arrived)
		return
	}
	at, _ := slices.BinarySearchFunc(broker.waiting, arrived, func(a, b wait) int {
		if a.ask.Class != b.ask.Class {
			return int(a.ask.Class) - int(b.ask.Class)
		}
		if a.deadline <= b.deadline {
			return -1
		}
		return 1
	})
	broker.waiting = slices.Insert(broker.waiting, at, arrived)
}

// Done takes back a lease and learns from it how long a load takes.
func (broker *Broker) Done(now clock.Millis, done message.LoadDone) []Reply {
	key := load{engine: done.Engine, adapter: done.Adapter}
	if held, known := broker.leases[key]; known {
		delete(broker.leases, key)
		if !done.Unused {
			broker.learn(now - held.began)
		}
	}
	return broker.grant(now, nil)
}

// learnShare is the weight of the newest load in the mean span.
const learnShare = 0.1

func (broker *Broker) learn(span clock.Millis) {
	broker.span += learnShare * (float64(span) - broker.span)
}

// Tick ends leases that were not returned.
func (broker *Broker) Tick(now clock.Millis) []Reply {
	for key, held := range broker.leases {
		if held.ends <= now {
			delete(broker.leases, key)
		}
	}
	return broker.grant(now, nil)
}

// pace is the mean span from one load's begin to the next one's, in milliseconds.
func (broker *Broker) pace() float64 {
	return max(broker.span, float64(broker.options.Interval))
}

// start is the point in time at which the next load can begin.
func (broker *Broker) start(now clock.Millis) clock.Millis {
	now = max(now, broker.notBefore)
	if len(broker.leases) < broker.options.Parallel {
		return now
	}
	first := clock.Millis(0)
	for _, held := range broker.leases {
		ends := held.began + clock.Millis(broker.span)
		if first == 0 || ends < first {
			first = ends
		}
	}
	return max(now, first)
}

// grant lets loads begin while the store has room, and adds to the replies.
func (broker *Broker) grant(now clock.Millis, replies []Reply) []Reply {
	for len(broker.waiting) > 0 && len(broker.leases) < broker.options.Parallel && now >= broker.notBefore {
		broker.notBefore = now + broker.options.Interval
		at := broker.next(now)
		next := broker.waiting[at]
		broker.waiting = slices.Delete(broker.waiting, at, at+1)
		broker.countRun(next.ask.Class)
		broker.leases[load{engine: next.ask.Engine, adapter: next.ask.Adapter}] = lease{began: now, ends: now + broker.options.Lease}
		replies = append(replies, Reply{To: next.from, Message: message.LoadGrant{
			Store: next.ask.Store, Engine: next.ask.Engine, Adapter: next.ask.Adapter, Lease: broker.options.Lease,
		}})
	}
	return replies
}

func (broker *Broker) countRun(class config.Class) {
	if class == config.Urgent {
		broker.urgentRun++
	} else {
		broker.urgentRun = 0
	}
}
