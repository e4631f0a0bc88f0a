package gateway

import (
	"io"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/eventstream"
	"teaselmoor/internal/direct/upstream"
)

const (
	// eventBuffer holds several events of usual size; it grows for larger ones.
	eventBuffer = 1024
	// maxEventBytes is far more than any event has.
	maxEventBytes = 1 << 20
)

// errEventTooLong is the error of a stream with an event that is not kept in memory, as it is too long or others are.
var errEventTooLong = errors.New("the stream has an event without end")

// eventReader splits a stream into complete events.
type eventReader struct {
	answer  *upstream.Answer
	buffer  *keptBytes
	scanner *eventstream.Scanner
	goesOn  bool // the caller has received the start of the stream from another server
	err     error
}

// newEventReader returns a reader of a request's answer.
func (gateway *Gateway) newEventReader(job *job, answer *upstream.Answer) *eventReader {
	return &eventReader{answer: answer, buffer: &keptBytes{budget: gateway.kept, hold: job.hold}, scanner: eventstream.NewScanner(job.lastEventID), goesOn: job.headSent}
}

// next returns the complete events that have arrived, or the error that ended the stream.
// io.EOF means that the stream ended normally.
func (eventReader *eventReader) next() ([]byte, error) {
	eventReader.dropReturned()
	for {
		eventReader.scanner.Scan(eventReader.buffer.bytes)
		atEnd := eventReader.err != nil && eventReader.scanner.Complete > 0 // a line feed after the last event
		if eventReader.scanner.Events > 0 || atEnd {
			return eventReader.complete(), nil
		}
		if eventReader.err != nil {
			return nil, eventReader.endError()
		}
		if !eventReader.buffer.grow(maxEventBytes) {
			return nil, errEventTooLong
		}
		eventReader.err = eventReader.buffer.read(eventReader.answer.Body)
	}
}

// complete returns the complete events. A byte order mark may stand at the start of a stream only, not where it goes on.
func (eventReader *eventReader) complete() []byte {
	events := eventReader.buffer.bytes[:eventReader.scanner.Complete]
	if eventReader.goesOn {
		eventReader.goesOn = false
		return eventstream.TrimMark(events)
	}
	return events
}

// dropReturned drops the events that have been returned.
func (eventReader *eventReader) dropReturned() {
	rest := copy(eventReader.buffer.bytes, eventReader.buffer.bytes[eventReader.scanner.Complete:])
	eventReader.buffer.bytes = eventReader.buffer.bytes[:rest]
	eventReader.scanner.Drop()
}

// endError returns the error that ended the stream. A stream that ends inside an event broke
// off.
func (eventReader *eventReader) endError() error {
	if errors.Is(eventReader.err, io.EOF) && len(eventReader.buffer.bytes) > eventReader.scanner.Complete {
		return io.ErrUnexpectedEOF
	}
	return eventReader.err
}
