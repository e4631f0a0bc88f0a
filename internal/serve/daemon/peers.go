package daemon

import (
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
)

// peerHandler handles what other daemons send. It implements link.Handler.
type peerHandler struct {
	daemon *Daemon
}

// Message queues a message as an event and runs the next job. Before the end
// of an attempt, it queues how much of the attempt's answer has arrived here.
func (handler *peerHandler) Message(from ident.DaemonID, received message.Message) {
	event := node.MessageReceived{From: from, Message: received}
	priority := priorityOf(received.Lane())
	if ended, isEnd := received.(message.Ended); isEnd {
		handler.daemon.jobs.push(priority, []node.Event{handler.daemon.answerReceived(ended.Stream), event})
	} else {
		handler.daemon.jobs.push(priority, []node.Event{event})
	}
	handler.daemon.runNextJob()
}

// Head handles the status and the content type of an attempt's answer.
func (handler *peerHandler) Head(from ident.DaemonID, stream ident.StreamID, status int, contentType string) {
	handler.daemon.acceptHead(from, stream, status, contentType)
}

// Chunk handles a chunk of an answer. If this daemon does not know the stream, it sends
// a reset.
func (handler *peerHandler) Chunk(from ident.DaemonID, stream ident.StreamID, index uint64, payload []byte) {
	if !handler.daemon.deliverChunk(stream, index, payload) {
		handler.daemon.links.SendReset(from, stream)
	}
}

// Reset ends the relay of a run whose entry no longer knows the stream. It is ignored
// unless it comes from the stream's own entry.
func (handler *peerHandler) Reset(from ident.DaemonID, stream ident.StreamID) {
	if window, found := handler.daemon.streams.findWindow(stream); found && stream.Daemon == from {
		window.Close(true)
	}
}

// Credit adds a peer's credit to the window of a run's relay.
func (handler *peerHandler) Credit(_ ident.DaemonID, stream ident.StreamID, count int) {
	if window, found := handler.daemon.streams.findWindow(stream); found {
		window.Grant(count)
	}
}

// Connected logs that a lane to a peer is connected.
func (handler *peerHandler) Connected(peer ident.DaemonID, lane message.Lane) {
	handler.daemon.options.Log.Info("connected to peer", "Peer", peer, "Lane", lane)
}

// Lost ends the relays over a lost lane and queues the loss as an event.
func (handler *peerHandler) Lost(peer ident.DaemonID, lane message.Lane) {
	handler.daemon.streams.closeWindows(peer, lane)
	handler.daemon.enqueue(highPriority, node.PeerLost{Peer: peer, Lane: lane})
}
