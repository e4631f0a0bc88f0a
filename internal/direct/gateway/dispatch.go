package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/peers"
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
		gateway.refuse(writer, job, result.status, result.reason)
		return
	}
	gateway.logEnd(job, 0, result.reason)
	panic(http.ErrAbortHandler) // prevents an aborted answer from looking complete
}

// try places a request and sends it to one server.
func (gateway *Gateway) try(ctx context.Context, writer http.ResponseWriter, job *job) tryResult {
	if gateway.needsPeer(job) {
		return gateway.tryPeer(ctx, writer, job)
	}
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
	job.timesSent++
	gateway.core.recordRetrySent(now, job)
	local := to.server.DataCentre == gateway.settings.DataCentre
	gateway.counters.recordSent(job.service, local)
	gateway.log.Info(ending.MessageRequestSent, "Request", job.headers.Attempt, "Server", to.server.ID, "Local", local, "Adapter", job.adapter.Name, "Prompt", job.headers.PromptTokens, "Alone", to.alone,
		"Offer", job.timesSent, "CostMillis", int(to.cost), "LeftMillis", left, "Version", to.version, "WaitedMillis", job.waited, "HeldMillis", job.holdTime, "TurnMillis", job.turnTime, "Turn", string(job.turn), "Content", job.content.String())
	tryCtx, cancel := job.tryContext(ctx, left)
	defer cancel()
	answer, err := gateway.pool.Send(tryCtx, to.server.Address, gateway.forwardedRequest(tryCtx, job, to, left), gateway.answerMatcher(job))
	if err != nil {
		return gateway.handleNoAnswer(ctx, job, to, err)
	}
	return gateway.handleAnswer(ctx, writer, job, to, active, answer)
}

// firstTryShare is the share of its remaining time that an idempotent request gives its first
// server. The rest is for a second server, as neither is known to be faster.
const firstTryShare = 0.5

// tryTime is how long one server may take for a request with the given time left.
func (job *job) tryTime(left clock.Millis) clock.Millis {
	if job.route.Kind == catalog.Idempotent && job.mayHaveRun+1 < job.route.Attempts {
		return clock.Millis(firstTryShare * float64(left))
	}
	return left
}

// tryContext bounds one try of a request with the given time left, until the bound is lifted by
// keepTry. If the try may use all of it, only the request's own deadline applies: with two timers that
// expire within a millisecond of each other, the try's could fire first, and a late answer would be
// recorded as a lost one.
func (job *job) tryContext(ctx context.Context, left clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	job.tryTimer = nil
	timeout := job.tryTime(left)
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
		Header: gateway.protocol.ForwardedHeader(job.incoming.Header, added), ContentLength: int64(len(job.body)),
	}
	if len(job.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(job.body))
	}
	return request.WithContext(ctx)
}

// answerMatcher returns a function that reports whether an answer belongs to a request: it
// carries the id of the request's attempt, or it is unsigned, carries no id and is the first
// answer on its connection, so that it cannot belong to another request.
func (gateway *Gateway) answerMatcher(job *job) upstream.Matches {
	return func(response *http.Response, first bool) bool {
		headers := gateway.protocol.ParseAnswer(response)
		return headers.Attempt == job.headers.Attempt || headers.Attempt == "" && first && !headers.Signed
	}
}

// handleNoAnswer decides how to go on with a request that got no answer.
func (gateway *Gateway) handleNoAnswer(ctx context.Context, job *job, to assignment, err error) tryResult {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	gateway.log.Info(ending.MessageNoAnswer, "Request", job.headers.Attempt, "Server", to.server.ID, "Sent", sent, "Error", err.Error())
	if sent {
		job.mayHaveRun++
	}
	if job.incoming.Context().Err() != nil {
		gateway.logEnd(job, 0, ending.CallerLeft)
		return tryResult{done: true}
	}
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	if failed != nil && failed.Dial {
		core.fleet.MarkUnreachable(now, to.server.ID)
		if job.incoming.Context().Err() == nil {
			core.links.ConnectFailed(now)
			job.connectFailed = true
		}
	} else {
		core.fleet.RecordAnswer(now, to.server.ID, true)
	}
	core.mutex.Unlock()
	job.triedServers = append(job.triedServers, to.server.ID)
	if !sent {
		job.timesSent-- // no server has received it
		core.recordRetryNotSent(job)
		return tryResult{retry: ctx.Err() == nil && len(job.triedServers) < gateway.options.MostSends, status: http.StatusServiceUnavailable, reason: ending.NoServer}
	}
	return gateway.handleLostAnswer(ctx, job, to, err)
}

// handleLostAnswer decides how to go on with a request that was sent and whose answer did not
// arrive, or broke off before the caller saw any of it.
func (gateway *Gateway) handleLostAnswer(ctx context.Context, job *job, to assignment, err error) tryResult {
	if ctx.Err() != nil {
		return tryResult{status: http.StatusGatewayTimeout, reason: ending.Timeout}
	}
	gateway.recordLoss(job, to, err)
	return gateway.lostResult(job, http.StatusBadGateway, ending.AnswerLost)
}

// lostResult is the result of a try that may have run but gave no usable answer.
func (gateway *Gateway) lostResult(job *job, status int, reason ending.Reason) tryResult {
	again := job.route.Repeatable() && job.mayHaveRun < job.route.Attempts
	return tryResult{retry: again, needsBudget: true, status: status, reason: reason}
}

// handleAnswer evaluates the head of an answer, and passes the answer on.
func (gateway *Gateway) handleAnswer(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, active *activeRequest, answer *upstream.Answer) tryResult {
	headers := gateway.protocol.ParseAnswer(answer.Response)
	gateway.handleLimit(to, answer.StatusCode, headers)
	gateway.handleLeaving(to.server, headers.Leaving, "request "+job.headers.Attempt)
	gateway.core.recordPause(to.server.ID, headers.Pause)
	gateway.core.recordBrittle(job, to, answer.StatusCode, headers)
	if headers.NotRun {
		gateway.drain(answer)
		return gateway.handleNotRun(job, to, answer.StatusCode, headers)
	}
	success := answer.StatusCode/100 == 2
	job.mayHaveRun++
	if success && (!headers.Signed || answer.Header.Get("Content-Encoding") != "") {
		answer.Close(false)
		gateway.recordOutcome(to, true)
		job.triedServers = append(job.triedServers, to.server.ID)
		return gateway.lostResult(job, http.StatusBadGateway, ending.InvalidAnswer)
	}
	if !success {
		return gateway.handleFailure(ctx, writer, job, to, answer)
	}
	if job.route.Kind == catalog.Streaming {
		return gateway.relayStream(ctx, writer, job, to, active, answer)
	}
	return gateway.relayWhole(ctx, writer, job, to, answer)
}

// drain reads a short answer to its end so that its connection can be reused.
func (gateway *Gateway) drain(answer *upstream.Answer) {
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxFailureBytes))
	answer.Close(err == nil)
}

// recordOutcome records for health tracking whether a server failed.
func (gateway *Gateway) recordOutcome(to assignment, failed bool) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.fleet.RecordAnswer(core.now(), to.server.ID, failed)
}

// handleNotRun decides how to go on with a request that a server states it did not run.
func (gateway *Gateway) handleNotRun(job *job, to assignment, status int, headers platformapi.AnswerHeaders) tryResult {
	gateway.log.Info(ending.MessageServerDeclined, "Request", job.headers.Attempt, "Server", to.server.ID, "Status", status, "Absent", headers.Absent, "RestMillis", headers.Pause)
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if headers.Absent && job.engine {
		gateway.handleMissingAdapter(now, job, to)
	} else {
		core.fleet.RecordAnswer(now, to.server.ID, true)
		job.triedServers = append(job.triedServers, to.server.ID)
	}
	return tryResult{retry: true, needsBudget: true, status: http.StatusServiceUnavailable, reason: ending.TriesUsed}
}

// handleMissingAdapter records that a server lacks an adapter that this daemon expected there,
// and requests it from the server's owner. Without a known owner, the request is not sent to
// this server again. The mutex must be held.
func (gateway *Gateway) handleMissingAdapter(now clock.Millis, job *job, to assignment) {
	core := gateway.core
	core.fleet.MarkMissing(to.server.ID, job.adapter)
	owner, ok := core.ownerOf(now, to.server.ID)
	request := peers.AdapterRequest{
		Server: to.server.ID, Adapter: job.adapter, Version: core.newestVersion(job.adapter), Rank: job.rank,
		Left: core.maxAdapterWait(now, job), Absent: true,
	}
	if !ok {
		job.triedServers = append(job.triedServers, to.server.ID)
		return
	}
	gateway.sendAdapterRequest(owner, request)
}

// handleFailure passes a server's failure on, or tries another server if the request may be
// repeated.
func (gateway *Gateway) handleFailure(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, answer *upstream.Answer) tryResult {
	gateway.recordOutcome(to, answer.StatusCode >= 500)
	job.triedServers = append(job.triedServers, to.server.ID)
	gateway.log.Info(ending.MessageServerFailed, "Request", job.headers.Attempt, "Server", to.server.ID, "Status", answer.StatusCode)
	if answer.StatusCode >= 500 && job.route.Repeatable() && job.mayHaveRun < job.route.Attempts && gateway.reserveRetry(job) {
		gateway.drain(answer)
		return tryResult{retry: true, status: http.StatusBadGateway, reason: ending.AnswerLost}
	}
	if ending.PromisesNotRun(answer.StatusCode) || job.headSent {
		gateway.drain(answer)
		return tryResult{status: http.StatusBadGateway, reason: ending.InvalidAnswer}
	}
	body, ended, err := readStart(answer, maxFailureBytes)
	if err != nil {
		answer.Close(false)
		return tryResult{status: http.StatusBadGateway, reason: ending.AnswerLost}
	}
	if !ended {
		return gateway.relayLarge(ctx, writer, job, to, answer, body, ending.ServerFailure)
	}
	answer.Close(true)
	copyHeader(writer.Header(), answer.Header)
	gateway.logEnd(job, answer.StatusCode, ending.ServerFailure)
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body) // the caller may have disconnected
	return tryResult{done: true}
}
