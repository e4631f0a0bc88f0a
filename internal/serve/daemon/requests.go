package daemon

import (
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/relay"
)

// StartRequest starts a caller's request. The answer is delivered to the inbox of pending.
func (daemon *Daemon) StartRequest(arrived node.RequestArrived, pending *PendingRequest) {
	pending.Inbox = relay.NewInbox(arrived.Key != "")
	daemon.withNode(func() {
		arrived.Stream = daemon.node.NewStream()
		daemon.streams.addPending(arrived.Stream, pending)
		daemon.stepLocked(arrived)
	})
	daemon.performEffects()
}

// RecordRefusal counts and audits a request that was refused before it reached the node.
// It returns the record with the daemon and the time set.
func (daemon *Daemon) RecordRefusal(record outcome.Record) outcome.Record {
	record.Daemon = daemon.Self()
	record.At = daemon.options.Now()
	daemon.options.Observer.CountRefused(record.Outcome)
	daemon.options.Audit.AddRefusal(record)
	return record
}

// CallerDisconnected notifies the node that the caller of a request closed its connection.
func (daemon *Daemon) CallerDisconnected(pending *PendingRequest) {
	daemon.enqueue(highPriority, node.CallerDisconnected{Stream: daemon.streams.streamOf(pending)})
}
