package daemon

import (
	"sync"

	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/serve/relay"
)

// PendingRequest is a caller's request in progress at its entry, the daemon that received
// it.
type PendingRequest struct {
	Inbox *relay.Inbox
	// Call is the request to a plain service. It is not set for model requests.
	Call service.Call

	stream ident.StreamID // current attempt; guarded by streamTable.mutex
}

// streamTable looks up what belongs to a stream: the pending request at the entry, and
// the flow-control window at the owner of the engine. It is safe for concurrent use.
type streamTable struct {
	mutex   sync.RWMutex // guards pending, windows and PendingRequest.stream
	pending map[ident.StreamID]*PendingRequest
	windows map[ident.StreamID]laneWindow
}

// laneWindow is a stream's window and the lane over which its answer is sent.
type laneWindow struct {
	*relay.Window
	lane message.Lane
}

func newStreamTable() *streamTable {
	return &streamTable{
		pending: map[ident.StreamID]*PendingRequest{},
		windows: map[ident.StreamID]laneWindow{},
	}
}

func (table *streamTable) addPending(stream ident.StreamID, pending *PendingRequest) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	pending.stream = stream
	table.pending[stream] = pending
}

func (table *streamTable) findPending(stream ident.StreamID) (*PendingRequest, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	pending, found := table.pending[stream]
	return pending, found
}

// streamOf returns the stream of the current attempt of a request.
func (table *streamTable) streamOf(pending *PendingRequest) ident.StreamID {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	return pending.stream
}

// rebind moves a request to the stream of another attempt.
func (table *streamTable) rebind(from, to ident.StreamID) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	pending, found := table.pending[from]
	if !found {
		return
	}
	delete(table.pending, from)
	pending.stream = to
	table.pending[to] = pending
}

func (table *streamTable) removePending(stream ident.StreamID) (*PendingRequest, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	pending, found := table.pending[stream]
	delete(table.pending, stream)
	return pending, found
}

// ensureWindow returns the stream's window, and creates it if there is none.
func (table *streamTable) ensureWindow(stream ident.StreamID, lane message.Lane) *relay.Window {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	window, found := table.windows[stream]
	if !found {
		window = laneWindow{Window: relay.NewWindow(), lane: lane}
		table.windows[stream] = window
	}
	return window.Window
}

func (table *streamTable) findWindow(stream ident.StreamID) (*relay.Window, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	window, found := table.windows[stream]
	return window.Window, found
}

// closeWindows ends the relays to an entry over a lost lane, on which no credit can arrive
// any more.
func (table *streamTable) closeWindows(entry ident.DaemonID, lane message.Lane) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	for stream, window := range table.windows {
		if stream.Daemon == entry && window.lane == lane {
			window.Close(false)
		}
	}
}

func (table *streamTable) removeWindow(stream ident.StreamID) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.windows, stream)
}
