package daemon

import (
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/relay"
)

// Begin takes in a caller's request. Its answer arrives in the ticket's inbox.
func (daemon *Daemon) Begin(arrived node.Arrived, ticket *Ticket) {
	ticket.Inbox = relay.NewInbox(arrived.Key != "")
	daemon.mutex.Lock()
	arrived.Stream = daemon.node.NewStream()
	daemon.streams.addTicket(arrived.Stream, ticket)
	effects := daemon.node.Step(daemon.options.Now(), arrived)
	daemon.mutex.Unlock()
	for _, next := range effects {
		daemon.perform(next)
	}
}

// Gone says that a ticket's caller closed its connection.
func (daemon *Daemon) Gone(ticket *Ticket) {
	daemon.enqueue(promptLane, node.CallerGone{Stream: daemon.streams.streamOf(ticket)})
}
