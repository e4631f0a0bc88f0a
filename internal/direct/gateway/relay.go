package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/late"
	"teaselmoor/internal/direct/upstream"
)

// maxFailureBytes and maxWholeBytes bound how much of a failed and of a successful answer is read
// before the caller sees any of it. The rest of a larger answer is passed on as it arrives.
const (
	maxFailureBytes = 64 << 10
	maxWholeBytes   = 16 << 20
)

// connectionHeaders apply to a single connection and are not passed on.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) && !isInternal(name) {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents net/http from guessing one
	}
}

// relayWhole reads an answer to its end before the caller sees any of it, so that an answer
// that breaks off can still be replaced by another server's.
func (gateway *Gateway) relayWhole(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, answer *upstream.Answer) tryResult {
	body, ended, err := gateway.readStart(job, answer, maxWholeBytes)
	defer body.release()
	if err != nil {
		answer.Close(false)
		gateway.recordOutcome(to, true)
		job.triedServers = append(job.triedServers, to.server.ID)
		return gateway.handleBrokenAnswer(ctx, job, to, err)
	}
	if !ended {
		return gateway.relayLarge(ctx, writer, job, to, answer, body.bytes, ending.Complete)
	}
	answer.Close(true)
	gateway.recordSuccess(job, to)
	gateway.core.recordPlainAnswer(job, to)
	copyHeader(writer.Header(), answer.Header)
	gateway.logEnd(job, answer.StatusCode, ending.Complete)
	job.headSent = true
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body.bytes) // the caller may have disconnected
	return tryResult{done: true}
}

// relayBuffer is the size in bytes of the pieces in which the rest of a large answer is passed on.
const relayBuffer = 64 << 10

// relayLarge passes on an answer that is too large to be read to its end first: its start, which has
// been read, and the rest as it arrives. The reason is that of the request's end if the answer is
// complete. An answer that breaks off cannot be replaced any more.
func (gateway *Gateway) relayLarge(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, answer *upstream.Answer, piece []byte, reason ending.Reason) tryResult {
	job.keepTry()
	gateway.setWriteDeadline(writer, job)
	copyHeader(writer.Header(), answer.Header)
	job.headSent = true
	writer.WriteHeader(answer.StatusCode)
	rest := make([]byte, relayBuffer)
	for {
		if _, failed := writer.Write(piece); failed != nil {
			answer.Close(false)
			gateway.logEnd(job, answer.StatusCode, ending.CallerLeft)
			return tryResult{done: true}
		}
		read, err := answer.Body.Read(rest)
		piece = rest[:read]
		switch {
		case read > 0: // an error is returned again by the next read
		case errors.Is(err, io.EOF):
			answer.Close(true)
			if reason == ending.Complete {
				gateway.recordSuccess(job, to)
			}
			gateway.logEnd(job, answer.StatusCode, reason)
			return tryResult{done: true}
		case err != nil:
			answer.Close(false)
			gateway.recordOutcome(to, ctx.Err() == nil) // the server has not failed if the caller left or the time is up
			return gateway.handleBrokenStream(ctx, job, to, err)
		}
	}
}

// setWriteDeadline prevents a caller that does not read from keeping an answer open beyond the
// request's deadline.
func (gateway *Gateway) setWriteDeadline(writer http.ResponseWriter, job *job) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add((job.deadline - gateway.core.now()).Duration()))
}

// handleBrokenAnswer decides how to go on after an answer that broke off before the caller saw
// any of it.
func (gateway *Gateway) handleBrokenAnswer(ctx context.Context, job *job, to assignment, err error) tryResult {
	gateway.log.Info(ending.MessageAnswerBroken, "Request", job.headers.Attempt, "Error", err.Error())
	if job.incoming.Context().Err() != nil {
		gateway.abandon(job)
	}
	return gateway.handleLostAnswer(ctx, job, to, err)
}

// relayStream passes events on as they arrive, each only when it is complete, so that a stream
// can be resumed after the last event sent.
func (gateway *Gateway) relayStream(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, active *activeRequest, answer *upstream.Answer) tryResult {
	control := http.NewResponseController(writer)
	gateway.setWriteDeadline(writer, job)
	streamSpeed := gateway.measureStream(job, to)
	began, begun := gateway.core.now(), false
	relayed := gateway.newEventReader(job, answer)
	defer relayed.buffer.release()
	for {
		event, err := relayed.next()
		if len(event) > 0 {
			now := gateway.core.now()
			streamSpeed.record(now, relayed.scanner.Events)
			if active != nil && active.firstEventAt == 0 {
				active.recordFirstEvent()
			}
			if !begun {
				begun = true
				began = now
				gateway.core.recordBegin(job, to)
			}
			gateway.recordStreamGoesOn(job, now, began)
			if !job.headSent {
				gateway.sendHead(writer, job, answer)
			}
			if _, failed := writer.Write(event); failed != nil {
				answer.Close(false)
				gateway.logEnd(job, answer.StatusCode, ending.CallerLeft)
				return tryResult{done: true}
			}
			_ = control.Flush() // a failure shows at the next write
			job.lastEventID = relayed.scanner.ResumeID()
			job.lastEventAt = now
			job.stream.Event(now, gateway.core.conditions(now, job, to))
			continue
		}
		if errors.Is(err, io.EOF) {
			return gateway.finishStream(writer, job, to, answer)
		}
		answer.Close(false)
		gateway.recordOutcome(to, ctx.Err() == nil)
		job.triedServers = append(job.triedServers, to.server.ID)
		job.brokeAt = to.server.ID
		return gateway.handleBrokenStream(ctx, job, to, err)
	}
}

// sendHead sends the head of an answer. No header of the answer is set before, so that a
// refusal sent in its place does not carry the server's signature.
func (gateway *Gateway) sendHead(writer http.ResponseWriter, job *job, answer *upstream.Answer) {
	job.headSent = true
	copyHeader(writer.Header(), answer.Header)
	sendOriginHead(writer, job)
	writer.WriteHeader(answer.StatusCode)
}

// finishStream ends a stream that the server has completed.
func (gateway *Gateway) finishStream(writer http.ResponseWriter, job *job, to assignment, answer *upstream.Answer) tryResult {
	answer.Close(true)
	gateway.recordSuccess(job, to)
	if !job.headSent {
		gateway.sendHead(writer, job, answer)
		job.stream.Event(gateway.core.now(), late.Conditions{}) // an answer without events has begun when it has ended
	}
	gateway.logEnd(job, answer.StatusCode, ending.Complete)
	return tryResult{done: true}
}

// handleBrokenStream decides how to go on after a stream that broke off. Only a resumable
// stream continues on another server.
func (gateway *Gateway) handleBrokenStream(ctx context.Context, job *job, to assignment, err error) tryResult {
	if job.headSent && job.incoming.Context().Err() == nil && ctx.Err() == nil {
		gateway.log.Info(ending.MessageStreamBroken, "Request", job.headers.Attempt, "After", job.lastEventID, "Error", err.Error())
		gateway.recordLoss(job, to, err)
		result := gateway.lostResult(job, http.StatusBadGateway, ending.StreamBroken)
		result.retry = result.retry && job.lastEventID != ""
		return result
	}
	if job.headSent {
		reason := ending.Timeout
		if job.incoming.Context().Err() != nil {
			reason = ending.CallerLeft
		}
		return tryResult{status: http.StatusGatewayTimeout, reason: reason}
	}
	return gateway.handleBrokenAnswer(ctx, job, to, err)
}
