package daemon

import (
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/relay"
)

// Begin takes in a caller's request. Its answer arrives in the ticket's inbox.
func (daemon *Daemon) Begin(arrived node.RequestArrived, ticket *Ticket) {
	ticket.Inbox = relay.NewInbox(arrived.Key != "")
	daemon.exclusive(func() {
		arrived.Stream = daemon.node.NewStream()
		daemon.streams.addTicket(arrived.Stream, ticket)
		daemon.stepLocked(arrived)
	})
	daemon.flush()
}

// Refused notes a request that was refused before the decision machines saw it.
// It returns the record with daemon and time filled in.
func (daemon *Daemon) Refused(record outcome.Record) outcome.Record {
	record.Daemon = daemon.Self()
	record.At = daemon.options.Now()
	daemon.options.Observer.Refused(record.Outcome)
	daemon.options.Audit.Refusal(record)
	return record
}

// Gone says that a ticket's caller closed its connection.
func (daemon *Daemon) Gone(ticket *Ticket) {
	daemon.enqueue(promptLane, node.CallerDisconnected{Stream: daemon.streams.streamOf(ticket)})
}
