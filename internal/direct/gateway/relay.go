package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/upstream"
)

// maxFailureBytes bounds the body of a failure, maxWholeBytes that of an answer
// that is passed on in one piece.
const (
	maxFailureBytes = 64 << 10
	maxWholeBytes   = 16 << 20
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keep net/http from guessing one
	}
}

// whole reads an answer to its end before the caller sees any of it: an answer
// that broke off can then be replaced.
func (gateway *Gateway) whole(ctx context.Context, writer http.ResponseWriter, job *job, to placed, answer *upstream.Answer) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	answer.Close(err == nil)
	if err != nil {
		gateway.note(to, true)
		job.tried = append(job.tried, to.server.ID)
		return gateway.broken(ctx, job, to, err)
	}
	gateway.answeredWhole(job, to)
	copyHeader(writer.Header(), answer.Header)
	gateway.ended(job, answer.StatusCode, ending.Complete)
	job.started = true
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body) // the caller may have left
	return verdict{done: true}
}

// broken judges an answer that broke off before the caller saw any of it.
func (gateway *Gateway) broken(ctx context.Context, job *job, to placed, err error) verdict {
	gateway.log.Info(ending.MessageAnswerBroken, "Request", job.call.Attempt, "Error", err.Error())
	if job.incoming.Context().Err() != nil {
		gateway.ended(job, 0, ending.CallerLeft)
		return verdict{done: true}
	}
	if ctx.Err() != nil {
		return verdict{status: http.StatusGatewayTimeout, reason: ending.Timeout}
	}
	gateway.lostAt(job, to.server, err)
	return gateway.lost(job, http.StatusBadGateway, ending.Lost)
}

// stream passes events on as they arrive. An event is passed on whole, so that a
// resumed stream goes on behind it.
func (gateway *Gateway) stream(ctx context.Context, writer http.ResponseWriter, job *job, to placed, held *placement, answer *upstream.Answer) verdict {
	control := http.NewResponseController(writer)
	// A caller that does not read must not keep the stream beyond its deadline.
	_ = control.SetWriteDeadline(time.Now().Add((job.deadline - gateway.core.now()).Duration()))
	relayed := &events{answer: answer, buffer: make([]byte, 0, eventBuffer)}
	for {
		event, err := relayed.next()
		if len(event) > 0 {
			now := gateway.core.now()
			if !job.started {
				gateway.begin(writer, job, answer)
				held.first()
			} else {
				job.longestGap = max(job.longestGap, now-job.heardAt)
			}
			if _, failed := writer.Write(event); failed != nil {
				answer.Close(false)
				gateway.ended(job, answer.StatusCode, ending.CallerLeft)
				return verdict{done: true}
			}
			_ = control.Flush() // a failure shows at the next write
			job.lastSent = relayed.lastID
			job.heardAt = now
			continue
		}
		if errors.Is(err, io.EOF) {
			return gateway.streamEnded(writer, job, to, answer)
		}
		answer.Close(false)
		gateway.note(to, ctx.Err() == nil)
		job.tried = append(job.tried, to.server.ID)
		return gateway.streamBroken(ctx, job, to, err)
	}
}

// begin sends the head of an answer. Until then nothing of it is set, so that a
// refusal in its place bears no signature of the server.
func (gateway *Gateway) begin(writer http.ResponseWriter, job *job, answer *upstream.Answer) {
	job.started = true
	job.firstAt = gateway.core.now()
	copyHeader(writer.Header(), answer.Header)
	writer.WriteHeader(answer.StatusCode)
}

func (gateway *Gateway) streamEnded(writer http.ResponseWriter, job *job, to placed, answer *upstream.Answer) verdict {
	answer.Close(true)
	gateway.answeredWhole(job, to)
	if !job.started {
		gateway.begin(writer, job, answer)
	}
	gateway.ended(job, answer.StatusCode, ending.Complete)
	return verdict{done: true}
}

// streamBroken judges a stream that broke off. Only one that may be resumed goes
// on at another server.
func (gateway *Gateway) streamBroken(ctx context.Context, job *job, to placed, err error) verdict {
	if job.started && job.incoming.Context().Err() == nil && ctx.Err() == nil {
		gateway.log.Info(ending.MessageStreamBroken, "Request", job.call.Attempt, "After", job.lastSent, "Error", err.Error())
		gateway.lostAt(job, to.server, err)
		result := gateway.lost(job, http.StatusBadGateway, ending.StreamBroke)
		result.again = result.again && job.lastSent != ""
		return result
	}
	if job.started {
		why := ending.Timeout
		if job.incoming.Context().Err() != nil {
			why = ending.CallerLeft
		}
		return verdict{status: http.StatusGatewayTimeout, reason: why}
	}
	return gateway.broken(ctx, job, to, err)
}

// eventBuffer holds some events of usual size; it grows for larger ones.
const eventBuffer = 1024

// events splits a stream into whole events.
type events struct {
	answer *upstream.Answer
	buffer []byte
	done   int // bytes at the start of buffer that were returned
	lastID string
	err    error
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// next returns the whole events that have arrived, or the error that ended the
// stream. io.EOF means that it ended as it should.
func (events *events) next() ([]byte, error) {
	events.buffer = append(events.buffer[:0], events.buffer[events.done:]...)
	events.done = 0
	for {
		if end := bytes.LastIndex(events.buffer, eventEnd); end >= 0 {
			events.done = end + len(eventEnd)
			whole := events.buffer[:events.done]
			events.lastID = lastID(whole, events.lastID)
			return whole, nil
		}
		if events.err != nil {
			return nil, events.ending()
		}
		events.read()
	}
}

func (events *events) read() {
	if len(events.buffer) == cap(events.buffer) {
		events.buffer = slices.Grow(events.buffer, eventBuffer)
	}
	read, err := events.answer.Body.Read(events.buffer[len(events.buffer):cap(events.buffer)])
	events.buffer = events.buffer[:len(events.buffer)+read]
	events.err = err
}

// ending is the error of a stream: one that ends inside an event broke off.
func (events *events) ending() error {
	if errors.Is(events.err, io.EOF) && len(events.buffer) > 0 {
		return io.ErrUnexpectedEOF
	}
	return events.err
}

// lastID returns the id of the last event that has one.
func lastID(whole []byte, former string) string {
	at := bytes.LastIndex(whole, idField)
	if at < 0 {
		return former
	}
	line, _, _ := bytes.Cut(whole[at+len(idField):], []byte("\n"))
	return strings.TrimSpace(string(line))
}
