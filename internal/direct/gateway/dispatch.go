package gateway

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

// tryResult is the result of sending a request to one server, or of failing to place it.
type tryResult struct {
	done        bool          // the caller has its answer or has disconnected
	retry       bool          // another try is allowed
	status      int           // sent to the caller if there is no other try
	reason      ending.Reason // of the request's end if there is no other try
	needsBudget bool          // another try counts against the retry budget
}

// dispatch tries servers until the request is answered or no further try is allowed.
func (gateway *Gateway) dispatch(writer http.ResponseWriter, job *job) {
	ctx, cancel := context.WithTimeout(job.incoming.Context(), (job.deadline - gateway.core.now()).Duration())
	defer cancel()
	defer gateway.core.releaseRetry(job)
	for {
		result := gateway.try(ctx, writer, job)
		if result.done {
			return
		}
		if result.retry && result.needsBudget && !gateway.reserveRetry(job) {
			result.retry = false
			result.reason = ending.RetryBudgetSpent
		}
		if !result.retry && result.reason == ending.NoServer && gateway.confirmCutOff(ctx, job) {
			if job.entry == "" {
				continue // a peer may reach a server
			}
			result.reason = ending.Unreachable
		}
		if !result.retry || job.timesSent >= gateway.options.MostSends {
			gateway.failRequest(writer, job, result)
			return
		}
	}
}

// failRequest ends a request for which no further server is tried.
func (gateway *Gateway) failRequest(writer http.ResponseWriter, job *job, result tryResult) {
	if !job.headSent {
		if job.mayHaveRun > 0 && ending.PromisesNotRun(result.status) {
			result.status = http.StatusBadGateway // an earlier try may have run
		}
		if result.reason == ending.Stopping {
			writer.Header().Set("Connection", "close")
		}
		gateway.refuse(writer, job, result.status, result.reason)
		return
	}
	gateway.logEnd(job, 0, result.reason)
	panic(http.ErrAbortHandler) // prevents an aborted answer from looking complete
}

// try places a request and sends it to one server.
func (gateway *Gateway) try(ctx context.Context, writer http.ResponseWriter, job *job) tryResult {
	if failed := gateway.findOrigin(ctx, job); failed != nil {
		return *failed
	}
	if gateway.needsPeer(job) {
		return gateway.tryPeer(ctx, writer, job)
	}
	defer gateway.endTrial(job)
	assigned, failed := gateway.place(ctx, job)
	gateway.counters.recordTurn(job)
	if failed != nil {
		return *failed
	}
	active := &activeRequest{gateway: gateway, to: assigned, unreadTokens: job.headers.PromptTokens}
	defer active.end()
	return gateway.sendRequest(ctx, writer, job, assigned, active)
}

// sendRequest sends a request to its server and passes the answer on.
func (gateway *Gateway) sendRequest(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, active *activeRequest) tryResult {
	now := gateway.core.now()
	left := job.deadline - now
	if left <= 0 {
		return tryResult{status: http.StatusServiceUnavailable, reason: ending.Deadline}
	}
	if callerLeft(job.incoming) {
		gateway.abandon(job)
	}
	if refused := gateway.refuseStopping(now, job); refused != nil {
		return *refused
	}
	if !gateway.core.sendRetry(now, job) {
		return tryResult{status: http.StatusServiceUnavailable, reason: ending.RetryBudgetSpent}
	}
	job.timesSent++
	gateway.announceTakeUp(job)
	job.progress.recordSent(now)
	local := to.server.DataCentre == gateway.settings.DataCentre
	gateway.counters.recordSent(job.service, local)
	gateway.log.Info(ending.MessageRequestSent, "Request", job.headers.Attempt, "Server", to.server.ID, "Local", local, "Adapter", job.adapter.Name, "Prompt", job.headers.PromptTokens, "Alone", to.alone,
		"Offer", job.timesSent, "CostMillis", int(to.cost), "LeftMillis", left, "Version", to.version, "WaitedMillis", job.waited, "HeldMillis", job.holdTime, "TurnMillis", job.turnTime, "Turn", string(job.turn), "Content", job.content.String(), "Parts", job.partNames(),
		"Software", to.server.Software, "After", job.lastEventID, "FirstAttempt", job.headers.FirstAttempt)
	tryCtx, cancel := job.tryContext(ctx, left, gateway.answerTimes.expected(job.route))
	defer cancel()
	tryCtx = upstream.WithSent(tryCtx, job.place.Release)
	answer, err := gateway.pool.Send(tryCtx, to.server.Address, upstream.Call{
		Request: gateway.forwardedRequest(tryCtx, job, to, left), Name: job.headers.Attempt, Matches: gateway.answerMatcher(job),
		Body: job.body.pieces, Identification: gateway.identification(tryCtx, job, to),
	})
	if err != nil {
		return gateway.handleNoAnswer(ctx, job, to, err)
	}
	job.progress.answered = gateway.core.now()
	gateway.core.settleRetry(job)
	return gateway.handleAnswer(ctx, writer, job, gateway.core.identified(to, answer.StartedAt), active, answer)
}

// firstTryShare is the share of its remaining time that an idempotent request gives its first
// server. The rest is for a second server, as neither is known to be faster.
const firstTryShare = 0.5

// tryTime is how long one server may take for a request with the given time left. It is no shorter than most answers take.
func (job *job) tryTime(left, expected clock.Millis) clock.Millis {
	if job.route.Kind == catalog.Idempotent && job.mayHaveRun+1 < job.route.Attempts {
		return min(left, max(expected, clock.Millis(firstTryShare*float64(left))))
	}
	return left
}

// tryContext bounds one try of a request with the given time left, as most answers come within the expected time, until the bound is
// lifted by keepTry. If the try may use all of it, only the request's own deadline applies: with two timers that
// expire within a millisecond of each other, the try's could fire first, and a late answer would be
// recorded as a lost one.
func (job *job) tryContext(ctx context.Context, left, expected clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	job.tryTimer = nil
	timeout := job.tryTime(left, expected)
	if timeout >= left {
		return ctx, cancel
	}
	timer := time.AfterFunc(timeout.Duration(), cancel)
	job.tryTimer = timer
	return ctx, func() { timer.Stop(); cancel() }
}

// keepTry lets the present try use all of the request's time, as no other one can follow.
func (job *job) keepTry() {
	if job.tryTimer != nil {
		job.tryTimer.Stop()
	}
}

// urgencyBase is the urgency sent for a route of rank 0; the rank is added to it. Engines
// assume 5 if none is sent.
const urgencyBase = 3

// forwardedRequest returns the request as it is sent to a server.
func (gateway *Gateway) forwardedRequest(ctx context.Context, job *job, to assignment, left clock.Millis) *http.Request {
	added := platformapi.ForwardHeaders{Server: to.server.ID, TimeLeft: left, Version: to.version, Urgency: -1, LastEventID: job.lastEventID}
	if job.engine {
		added.Urgency = min(urgencyBase+job.rank, 9)
	}
	added.AccountsListed, added.Account = job.accountsListed, job.account.Name
	request := &http.Request{
		Method: job.incoming.Method, URL: &url.URL{Opaque: job.incoming.RequestURI}, Host: job.incoming.Host,
		Header: gateway.protocol.ForwardedHeader(job.incoming.Header, added), ContentLength: job.body.size,
	}
	return request.WithContext(ctx)
}
