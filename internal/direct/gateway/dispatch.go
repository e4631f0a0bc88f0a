package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

// verdict is what one try of a request came to.
type verdict struct {
	done   bool          // the caller has its answer, or has left
	again  bool          // another try is allowed
	status int           // to answer with when there is no other try
	reason ending.Reason // why
	repeat bool          // another try is a repeat, which the budget must allow
}

// dispatch tries servers until the request has its answer or none is left.
func (gateway *Gateway) dispatch(writer http.ResponseWriter, job *job) {
	ctx, cancel := context.WithTimeout(job.incoming.Context(), (job.deadline - gateway.core.now()).Duration())
	defer cancel()
	for {
		result := gateway.try(ctx, writer, job)
		if result.done {
			return
		}
		if result.again && result.repeat && !gateway.mayRepeat(job) {
			result.again = false
			result.reason = ending.NoBudget
		}
		if !result.again || job.offers >= gateway.options.MostSends {
			gateway.fail(writer, job, result)
			return
		}
	}
}

// fail ends a request for which no further server is tried.
func (gateway *Gateway) fail(writer http.ResponseWriter, job *job, result verdict) {
	if !job.started {
		if job.sends > 0 && ending.PromisesNotRun(result.status) {
			result.status = http.StatusBadGateway // an earlier try may have run
		}
		gateway.refuse(writer, job, result.status, result.reason)
		return
	}
	gateway.ended(job, 0, result.reason)
	panic(http.ErrAbortHandler) // an answer that ends early must not look complete
}

// mayRepeat takes leave for sending a request once more.
func (gateway *Gateway) mayRepeat(job *job) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.budget(job.service).Take(core.now(), core.daemons())
}

// try places a request and sends it to one server.
func (gateway *Gateway) try(ctx context.Context, writer http.ResponseWriter, job *job) verdict {
	placed, failed := gateway.place(ctx, job)
	if failed != nil {
		return *failed
	}
	held := &placement{gateway: gateway, to: placed, prompt: job.call.PromptTokens}
	defer held.end()
	return gateway.offer(ctx, writer, job, placed, held)
}

// offer sends a request to its server and passes the answer on.
func (gateway *Gateway) offer(ctx context.Context, writer http.ResponseWriter, job *job, to placed, held *placement) verdict {
	now := gateway.core.now()
	left := job.deadline - now
	if left <= 0 {
		return verdict{status: http.StatusServiceUnavailable, reason: ending.Deadline}
	}
	job.offers++
	gateway.log.Info(ending.MessageRequestSent, "Request", job.call.Attempt, "Server", to.server.ID, "Adapter", job.adapter.Name, "Prompt", job.call.PromptTokens, "Alone", to.alone,
		"Offer", job.offers, "CostMillis", int(to.cost), "LeftMillis", left, "Version", to.version, "WaitedMillis", job.waited, "HeldMillis", job.held, "Content", job.content.String())
	tryCtx, cancel := job.tryContext(ctx, left)
	defer cancel()
	answer, err := gateway.pool.Send(tryCtx, to.server.Address, gateway.outgoing(tryCtx, job, to, left), gateway.matches(job))
	if err != nil {
		return gateway.unanswered(ctx, job, to, err)
	}
	return gateway.answered(ctx, writer, job, to, held, answer)
}

// firstTryShare is the part of its time that an idempotent request waits for its
// first server: as much is left for another one, where nothing says that either is
// faster.
const firstTryShare = 0.5

// tryTime is how long a server may take for a request that has so much time left.
func (job *job) tryTime(left clock.Millis) clock.Millis {
	if job.route.Kind == catalog.Idempotent && job.sends+1 < job.route.Attempts {
		return clock.Millis(firstTryShare * float64(left))
	}
	return left
}

// tryContext bounds one try of a request that has so much time left. Where it is all of
// that time the bound is the request's own: of two that end within a millisecond the
// try's may come first, and an answer that is late look lost.
func (job *job) tryContext(ctx context.Context, left clock.Millis) (context.Context, context.CancelFunc) {
	if span := job.tryTime(left); span < left {
		return context.WithTimeout(ctx, span.Duration())
	}
	return context.WithCancel(ctx)
}

// urgencyBase is the urgency of a route of rank 0; less urgent ranks follow. The
// engines take 5 where nothing is said.
const urgencyBase = 3

func (gateway *Gateway) outgoing(ctx context.Context, job *job, to placed, left clock.Millis) *http.Request {
	sending := platformapi.ForwardHeaders{Server: to.server.ID, TimeLeft: left, Version: to.version, Urgency: -1, LastEventID: job.lastSent}
	if job.engine {
		sending.Urgency = min(urgencyBase+job.rank, 9)
	}
	sending.AccountsListed, sending.Account = job.accounts, job.account.Name
	request := &http.Request{
		Method: job.incoming.Method, URL: &url.URL{Opaque: job.incoming.RequestURI}, Host: job.incoming.Host,
		Header: gateway.protocol.ForwardedHeader(job.incoming.Header, sending), ContentLength: int64(len(job.body)),
	}
	if len(job.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(job.body))
	}
	return request.WithContext(ctx)
}

// matches accepts the answer to this request, and one that names none if it is
// the only one that can have come.
func (gateway *Gateway) matches(job *job) upstream.Matches {
	return func(response *http.Response, first bool) bool {
		reply := gateway.protocol.ParseAnswer(response)
		return reply.Attempt == job.call.Attempt || reply.Attempt == "" && first && !reply.Signed
	}
}

// unanswered judges a request without an answer.
func (gateway *Gateway) unanswered(ctx context.Context, job *job, to placed, err error) verdict {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	gateway.log.Info(ending.MessageNoAnswer, "Request", job.call.Attempt, "Server", to.server.ID, "Sent", sent, "Error", err.Error())
	if sent {
		job.sends++
	}
	if job.incoming.Context().Err() != nil {
		gateway.ended(job, 0, ending.CallerLeft)
		return verdict{done: true}
	}
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	if failed != nil && failed.Dial {
		core.fleet.MarkUnreachable(now, to.server.ID)
	} else {
		core.fleet.RecordAnswer(now, to.server.ID, true)
	}
	core.mutex.Unlock()
	job.tried = append(job.tried, to.server.ID)
	if !sent {
		job.offers-- // no server has seen it
		return verdict{again: ctx.Err() == nil && len(job.tried) < gateway.options.MostSends, status: http.StatusServiceUnavailable, reason: ending.NoServer}
	}
	if ctx.Err() != nil {
		return verdict{status: http.StatusGatewayTimeout, reason: ending.Timeout}
	}
	gateway.lostAt(job, to.server, err)
	return gateway.lost(job, http.StatusBadGateway, ending.Lost)
}

// lost judges a request that may have run without an answer that can be used.
func (gateway *Gateway) lost(job *job, status int, why ending.Reason) verdict {
	again := job.route.Repeatable() && job.sends < job.route.Attempts
	return verdict{again: again, repeat: true, status: status, reason: why}
}

// answered judges an answer by its head and passes it on.
func (gateway *Gateway) answered(ctx context.Context, writer http.ResponseWriter, job *job, to placed, held *placement, answer *upstream.Answer) verdict {
	reply := gateway.protocol.ParseAnswer(answer.Response)
	gateway.noteLimit(to, answer.StatusCode, reply)
	gateway.noteLeaving(to.server, reply.Leaving, "request "+job.call.Attempt)
	gateway.core.noteRest(to.server.ID, reply.Pause)
	if reply.NotRun {
		gateway.finish(answer)
		return gateway.declined(job, to, answer.StatusCode, reply)
	}
	success := answer.StatusCode/100 == 2
	job.sends++
	if success && (!reply.Signed || answer.Header.Get("Content-Encoding") != "") {
		answer.Close(false)
		gateway.note(to, true)
		job.tried = append(job.tried, to.server.ID)
		return gateway.lost(job, http.StatusBadGateway, ending.Invalid)
	}
	if !success {
		return gateway.failure(writer, job, to, answer)
	}
	if job.route.Kind == catalog.Streaming {
		return gateway.stream(ctx, writer, job, to, held, answer)
	}
	return gateway.whole(ctx, writer, job, to, answer)
}

// finish reads a short answer to its end, so that its connection can be kept.
func (gateway *Gateway) finish(answer *upstream.Answer) {
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxFailureBytes))
	answer.Close(err == nil)
}

// note remembers how a server did.
func (gateway *Gateway) note(to placed, failed bool) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.fleet.RecordAnswer(core.now(), to.server.ID, failed)
}

// declined judges the statement of a server that it did not run the request.
func (gateway *Gateway) declined(job *job, to placed, status int, reply platformapi.AnswerHeaders) verdict {
	gateway.log.Info(ending.MessageServerDeclined, "Request", job.call.Attempt, "Server", to.server.ID, "Status", status, "Absent", reply.Absent, "RestMillis", reply.Pause)
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if reply.Absent && job.engine {
		gateway.absent(now, job, to)
	} else {
		core.fleet.RecordAnswer(now, to.server.ID, true)
		job.tried = append(job.tried, to.server.ID)
	}
	return verdict{again: true, repeat: true, status: http.StatusServiceUnavailable, reason: ending.Tries}
}

// absent notes that a server lacks an adapter that it was thought to hold. The
// mutex is held.
func (gateway *Gateway) absent(now clock.Millis, job *job, to placed) {
	core := gateway.core
	core.fleet.MarkMissing(to.server.ID, job.adapter)
	owner, ok := core.ownerOf(now, to.server.ID)
	want := peers.AdapterRequest{
		Server: to.server.ID, Adapter: job.adapter, Version: core.newest(job.adapter), Rank: job.rank,
		Left: core.patience(now, job), Absent: true,
	}
	if !ok {
		job.tried = append(job.tried, to.server.ID)
		return
	}
	gateway.sendWant(owner, want)
}

// failure passes a server's failure on, or tries another server where the
// request may be repeated.
func (gateway *Gateway) failure(writer http.ResponseWriter, job *job, to placed, answer *upstream.Answer) verdict {
	gateway.note(to, answer.StatusCode >= 500)
	job.tried = append(job.tried, to.server.ID)
	gateway.log.Info(ending.MessageServerFailed, "Request", job.call.Attempt, "Server", to.server.ID, "Status", answer.StatusCode)
	if answer.StatusCode >= 500 && job.route.Repeatable() && job.sends < job.route.Attempts && gateway.mayRepeat(job) {
		gateway.finish(answer)
		return verdict{again: true, status: http.StatusBadGateway, reason: ending.Lost}
	}
	if ending.PromisesNotRun(answer.StatusCode) || job.started {
		gateway.finish(answer)
		return verdict{status: http.StatusBadGateway, reason: ending.Invalid}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxFailureBytes))
	answer.Close(err == nil)
	if err != nil {
		return verdict{status: http.StatusBadGateway, reason: ending.Lost}
	}
	copyHeader(writer.Header(), answer.Header)
	gateway.ended(job, answer.StatusCode, ending.ServerFailure)
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body) // the caller may have left
	return verdict{done: true}
}
