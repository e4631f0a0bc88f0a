package daemon

import (
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
)

// peerHandler takes in what other daemons send. It implements link.Handler.
type peerHandler struct {
	daemon *Daemon
}

// Message queues a message as an event.
func (handler *peerHandler) Message(from ident.DaemonID, received message.Message) {
	event := node.MessageReceived{From: from, Message: received}
	lane := laneOf(received.Lane())
	if ended, isEnd := received.(message.Ended); isEnd {
		handler.daemon.jobs.push(lane, []node.Event{handler.daemon.received(ended.Stream), event})
	} else {
		handler.daemon.jobs.push(lane, []node.Event{event})
	}
	handler.daemon.workOnce()
}

// Head opens an answer.
func (handler *peerHandler) Head(from ident.DaemonID, stream ident.StreamID, status int, contentType string) {
	handler.daemon.putHead(from, stream, status, contentType)
}

// Chunk adds to an answer.
func (handler *peerHandler) Chunk(from ident.DaemonID, stream ident.StreamID, index uint64, payload []byte) {
	if !handler.daemon.putChunk(stream, index, payload) {
		handler.daemon.links.SendReset(from, stream)
	}
}

// Reset ends the relay of a run whose answer nobody waits for. Only the stream's
// own entry may say so.
func (handler *peerHandler) Reset(from ident.DaemonID, stream ident.StreamID) {
	if window, found := handler.daemon.streams.knownWindow(stream); found && stream.Daemon == from {
		window.Close(true)
	}
}

// Credit lets a run's relay go on.
func (handler *peerHandler) Credit(_ ident.DaemonID, stream ident.StreamID, count int) {
	if window, found := handler.daemon.streams.knownWindow(stream); found {
		window.Grant(count)
	}
}

// Connected notes a lane's connection.
func (handler *peerHandler) Connected(peer ident.DaemonID, lane message.Lane) {
	handler.daemon.options.Log.Info("peer lane connected", "Peer", peer, "Lane", lane)
}

// Lost queues the loss of a lane.
func (handler *peerHandler) Lost(peer ident.DaemonID, lane message.Lane) {
	handler.daemon.streams.closeWindows(peer, lane)
	handler.daemon.enqueue(promptLane, node.PeerLost{Peer: peer, Lane: lane})
}
