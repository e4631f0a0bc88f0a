package daemon

import (
	"context"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/relay"
)

// errEntryDisconnected ends a relay when there is no connection to the entry.
var errEntryDisconnected = errors.New("the entry is gone")

// sink relays the answer of one run to its entry, within the stream's flow-control window.
// It implements engine.Sink.
type sink struct {
	daemon *Daemon
	entry  ident.DaemonID
	stream ident.StreamID
	lane   message.Lane
	window *relay.Window
	index  uint64 // of the next chunk
}

func (daemon *Daemon) newSink(start effect.StartRun) *sink {
	return &sink{
		daemon: daemon, entry: start.Entry, stream: start.Stream,
		lane: message.LaneOf(start.Request.Class), index: start.Received,
		window: daemon.streams.ensureWindow(start.Stream, message.LaneOf(start.Request.Class)),
	}
}

// Head relays the status and the content type of the answer.
func (sink *sink) Head(status int, contentType string) error {
	if sink.entry == sink.daemon.Self() {
		sink.daemon.acceptHead(sink.entry, sink.stream, status, contentType)
		return nil
	}
	if !sink.daemon.links.SendHead(sink.entry, sink.lane, sink.stream, status, contentType) {
		return errEntryDisconnected
	}
	return nil
}

// Chunk waits until the window allows it and relays a chunk of the answer.
func (sink *sink) Chunk(ctx context.Context, payload []byte) error {
	if err := sink.window.Acquire(ctx, len(payload)); err != nil {
		return err
	}
	index := sink.index
	sink.index++
	sink.daemon.options.Observer.CountRelayed(sink.lane, len(payload))
	if sink.entry == sink.daemon.Self() {
		sink.daemon.deliverChunk(sink.stream, index, payload)
		return nil
	}
	if !sink.daemon.links.SendChunk(sink.entry, sink.lane, sink.stream, index, payload) {
		return errEntryDisconnected
	}
	return nil
}

// acceptHead asks the node whether an attempt's answer may be forwarded to the caller. It
// steps the node directly instead of queueing the event, so that the node decides before
// the chunks that follow on the same connection are handled.
func (daemon *Daemon) acceptHead(from ident.DaemonID, stream ident.StreamID, status int, contentType string) {
	daemon.step(node.AnswerStarted{Stream: stream, From: from, Status: status, ContentType: contentType})
}

// forwardAnswer starts to forward an attempt's answer to the caller, and sets the daemon
// that receives the credits.
func (daemon *Daemon) forwardAnswer(next effect.ForwardAnswer) {
	pending, found := daemon.streams.findPending(next.Stream)
	if !found {
		return
	}
	pending.Inbox.SetGrant(func(count int) { daemon.sendCredit(next.From, next.Lane, next.Stream, count) })
	pending.Inbox.PutHead(next.Status, next.ContentType)
}

// deliverChunk adds a chunk to the inbox of its stream. It reports false if the stream has
// ended or is not known here.
func (daemon *Daemon) deliverChunk(stream ident.StreamID, index uint64, payload []byte) bool {
	pending, found := daemon.streams.findPending(stream)
	if !found {
		daemon.options.Observer.CountLateFrame()
		return false
	}
	pending.Inbox.PutChunk(index, payload)
	return true
}

// sendCredit gives credit for a stream to the daemon that relays its answer, which may be
// this one.
func (daemon *Daemon) sendCredit(to ident.DaemonID, lane message.Lane, stream ident.StreamID, count int) {
	if to != daemon.Self() {
		daemon.links.SendCredit(to, lane, stream, count)
		return
	}
	if window, found := daemon.streams.findWindow(stream); found {
		window.Grant(count)
	}
}
