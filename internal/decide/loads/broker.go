// Package loads decides which adapter load goes next at a weight store. One
// daemon per store grants leases, because the store loads at full speed only
// one adapter at a time.
package loads

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// Options are the limits of a broker.
type Options struct {
	// Lease is the span after which an unreturned grant is given to another load.
	Lease clock.Millis
	// Parallel is the number of loads granted at once.
	Parallel int
	// ArrivalOrder grants loads in order of arrival, whatever their class and
	// deadline. It is a baseline.
	ArrivalOrder bool
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{Lease: 5 * clock.Second, Parallel: 1}
}

// Broker holds the loads that wait for one weight store.
type Broker struct {
	options Options
	waiting []wait
	leases  map[load]clock.Millis // end of the lease
}

// load identifies one load: one adapter at one engine.
type load struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

type wait struct {
	ask      message.LoadAsk
	from     ident.DaemonID
	deadline clock.Millis
}

// Grant is leave to load, addressed to a daemon.
type Grant struct {
	To    ident.DaemonID
	Grant message.LoadGrant
}

// New returns the broker of a weight store.
func New(options Options) *Broker {
	return &Broker{options: options, leases: map[load]clock.Millis{}}
}

// Ask takes in, replaces or withdraws a waiting load.
func (broker *Broker) Ask(now clock.Millis, from ident.DaemonID, ask message.LoadAsk) []Grant {
	key := load{engine: ask.Engine, adapter: ask.Adapter}
	broker.waiting = slices.DeleteFunc(broker.waiting, func(waiting wait) bool {
		return waiting.ask.Engine == key.engine && waiting.ask.Adapter == key.adapter
	})
	if !ask.Withdraw {
		broker.insert(wait{ask: ask, from: from, deadline: now + ask.Budget})
	}
	return broker.grant(now)
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

// Done takes back a lease.
func (broker *Broker) Done(now clock.Millis, done message.LoadDone) []Grant {
	delete(broker.leases, load{engine: done.Engine, adapter: done.Adapter})
	return broker.grant(now)
}

// Tick ends leases that were not returned.
func (broker *Broker) Tick(now clock.Millis) []Grant {
	for key, end := range broker.leases {
		if end <= now {
			delete(broker.leases, key)
		}
	}
	return broker.grant(now)
}

func (broker *Broker) grant(now clock.Millis) []Grant {
	var grants []Grant
	for len(broker.waiting) > 0 && len(broker.leases) < broker.options.Parallel {
		next := broker.waiting[0]
		broker.waiting = broker.waiting[1:]
		broker.leases[load{engine: next.ask.Engine, adapter: next.ask.Adapter}] = now + broker.options.Lease
		grants = append(grants, Grant{To: next.from, Grant: message.LoadGrant{
			Store: next.ask.Store, Engine: next.ask.Engine, Adapter: next.ask.Adapter, Lease: broker.options.Lease,
		}})
	}
	return grants
}
