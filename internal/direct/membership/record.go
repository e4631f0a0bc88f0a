package membership

import (
	"cmp"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// State is the known state of a daemon.
type State int

// States of a daemon. The numbers are part of the wire format.
const (
	Alive   State = iota
	Leaving       // it has announced that it stops
	Gone          // a former peer of it has received nothing from it for Options.Memory
)

// Record is what daemons send each other about one daemon. Of two records of a daemon, the
// one with the later incarnation is valid, or with the higher number if they are equal.
type Record struct {
	topology.Daemon
	Incarnation int64 // time at which the process started
	Number      int64 // raised when State changes, and to refute a wrong State
	State       State
}

func (record Record) newerThan(other Record) bool {
	return cmp.Or(cmp.Compare(record.Incarnation, other.Incarnation), cmp.Compare(record.Number, other.Number)) > 0
}

// Status is what a daemon reports about itself to the daemons that it is connected to.
type Status struct {
	Record
	Role            topology.Role
	Hub             string       // the daemon chosen as hub; empty: none
	WantsConnection bool         // the sender itself wants the connection, rather than only answering
	Interval        clock.Millis // maximum time until the next report
	Era             int64        // era of the store that Revision belongs to
	Revision        int64        // store revision up to which the sender knows all changes
	Version         int64        // configuration version in force at that revision
	// OrderSenders are the daemons that may send orders, as far as the sender knows, without
	// the sender itself; nil: unchanged.
	OrderSenders []string
}
