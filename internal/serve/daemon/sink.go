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

// errEntryGone ends a relay whose entry is no longer connected.
var errEntryGone = errors.New("the entry is gone")

// sink relays one run's answer to its entry, within the stream's window.
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
		window: daemon.streams.window(start.Stream, message.LaneOf(start.Request.Class)),
	}
}

// Head implements engine.Sink.
func (sink *sink) Head(status int, contentType string) error {
	if sink.entry == sink.daemon.Self() {
		sink.daemon.putHead(sink.entry, sink.stream, status, contentType)
		return nil
	}
	if !sink.daemon.links.SendHead(sink.entry, sink.lane, sink.stream, status, contentType) {
		return errEntryGone
	}
	return nil
}

// Chunk implements engine.Sink.
func (sink *sink) Chunk(ctx context.Context, payload []byte) error {
	if err := sink.window.Take(ctx, len(payload)); err != nil {
		return err
	}
	index := sink.index
	sink.index++
	sink.daemon.options.Observer.Relayed(sink.lane, len(payload))
	if sink.entry == sink.daemon.Self() {
		sink.daemon.putChunk(sink.stream, index, payload)
		return nil
	}
	if !sink.daemon.links.SendChunk(sink.entry, sink.lane, sink.stream, index, payload) {
		return errEntryGone
	}
	return nil
}

// putHead asks the node whether an attempt's answer may go to the caller. It
// does so at once, ahead of the chunks that follow on the same connection.
func (daemon *Daemon) putHead(from ident.DaemonID, stream ident.StreamID, status int, contentType string) {
	daemon.step(node.AnswerStarted{Stream: stream, From: from, Status: status, ContentType: contentType})
}

// open lets an answer through and says where its credits go.
func (daemon *Daemon) open(next effect.ForwardAnswer) {
	ticket, found := daemon.streams.ticket(next.Stream)
	if !found {
		return
	}
	ticket.Inbox.Bind(func(count int) { daemon.grant(next.From, next.Lane, next.Stream, count) })
	ticket.Inbox.PutHead(next.Status, next.ContentType)
}

// putChunk adds to an answer. It reports false for a stream that has ended or
// was never here.
func (daemon *Daemon) putChunk(stream ident.StreamID, index uint64, payload []byte) bool {
	ticket, found := daemon.streams.ticket(stream)
	if !found {
		daemon.options.Observer.LateFrame()
		return false
	}
	ticket.Inbox.PutChunk(index, payload)
	return true
}

// grant gives credit for a stream to the daemon that sends it.
func (daemon *Daemon) grant(to ident.DaemonID, lane message.Lane, stream ident.StreamID, count int) {
	if to != daemon.Self() {
		daemon.links.SendCredit(to, lane, stream, count)
		return
	}
	if window, found := daemon.streams.knownWindow(stream); found {
		window.Grant(count)
	}
}
