package daemon

import (
	"sync"

	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/serve/relay"
)

// Ticket is a caller's request in progress at its entry.
type Ticket struct {
	Inbox *relay.Inbox
	// Call is what a plain service is sent; unset for model requests.
	Call service.Call

	stream ident.StreamID // present attempt; guarded by streamTable.mutex
}

// streamTable finds what belongs to a stream: tickets at the entry, windows and
// chunk counts at the owner. Safe for concurrent use.
type streamTable struct {
	mutex   sync.RWMutex // guards tickets, windows and Ticket.stream
	tickets map[ident.StreamID]*Ticket
	windows map[ident.StreamID]laneWindow
}

// laneWindow is a stream's window and the lane that its answer travels on.
type laneWindow struct {
	*relay.Window
	lane message.Lane
}

func newStreamTable() *streamTable {
	return &streamTable{
		tickets: map[ident.StreamID]*Ticket{},
		windows: map[ident.StreamID]laneWindow{},
	}
}

func (table *streamTable) addTicket(stream ident.StreamID, ticket *Ticket) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	ticket.stream = stream
	table.tickets[stream] = ticket
}

func (table *streamTable) ticket(stream ident.StreamID) (*Ticket, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	ticket, found := table.tickets[stream]
	return ticket, found
}

// streamOf returns the present attempt of a ticket.
func (table *streamTable) streamOf(ticket *Ticket) ident.StreamID {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	return ticket.stream
}

// rebind moves a ticket to another attempt.
func (table *streamTable) rebind(from, to ident.StreamID) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	ticket, found := table.tickets[from]
	if !found {
		return
	}
	delete(table.tickets, from)
	ticket.stream = to
	table.tickets[to] = ticket
}

func (table *streamTable) takeTicket(stream ident.StreamID) (*Ticket, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	ticket, found := table.tickets[stream]
	delete(table.tickets, stream)
	return ticket, found
}

// window returns the stream's window, new when there is none.
func (table *streamTable) window(stream ident.StreamID, lane message.Lane) *relay.Window {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	window, found := table.windows[stream]
	if !found {
		window = laneWindow{Window: relay.NewWindow(), lane: lane}
		table.windows[stream] = window
	}
	return window.Window
}

func (table *streamTable) knownWindow(stream ident.StreamID) (*relay.Window, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	window, found := table.windows[stream]
	return window.Window, found
}

// closeWindows ends the relays to an entry whose lane broke: no credit will come.
func (table *streamTable) closeWindows(entry ident.DaemonID, lane message.Lane) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	for stream, window := range table.windows {
		if stream.Daemon == entry && window.lane == lane {
			window.Close(false)
		}
	}
}

func (table *streamTable) dropWindow(stream ident.StreamID) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.windows, stream)
}
