package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

// answerMatcher returns a function that tells whether an answer belongs to a request: it carries the id of the request's attempt,
// or it is unsigned, carries no id and is the first answer on its connection, so that it cannot belong to another request. An
// attempt without an id is known by the order of answers alone.
func (gateway *Gateway) answerMatcher(job *job) upstream.Matches {
	return func(response *http.Response, first bool) upstream.Match {
		headers := gateway.protocol.ParseAnswer(response)
		switch {
		case headers.Attempt == "" && first && (!headers.Signed || job.headers.Attempt == ""):
			return upstream.ByOrder
		case headers.Attempt == "":
			return upstream.Nameless
		case headers.Attempt == job.headers.Attempt:
			return upstream.ByName
		}
		return upstream.OtherName
	}
}

// handleNoAnswer decides how to go on with a request that got no answer.
func (gateway *Gateway) handleNoAnswer(ctx context.Context, job *job, to assignment, err error) tryResult {
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.Refused {
		return gateway.handleProcessDeclined(ctx, job, to)
	}
	sent := failed == nil || failed.Sent
	var use upstream.Use
	if failed != nil {
		use = failed.Use
	}
	gateway.log.Info(ending.MessageNoAnswer, append(useFields(use), "Request", job.headers.Attempt, "Server", to.server.ID, "Sent", sent, "Error", err.Error())...)
	if sent {
		job.mayHaveRun++
		gateway.core.settleRetry(job)
	}
	if job.incoming.Context().Err() != nil {
		gateway.abandon(job)
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

// mayRunAgain reports whether the request may be sent to another server although it may have run.
func (job *job) mayRunAgain() bool {
	return job.route.Repeatable() && job.mayHaveRun < job.route.Attempts
}

// lostResult is the result of a try that may have run but gave no usable answer.
func (gateway *Gateway) lostResult(job *job, status int, reason ending.Reason) tryResult {
	return tryResult{retry: job.mayRunAgain(), needsBudget: true, status: status, reason: reason}
}

// handleAnswer evaluates the head of an answer, and passes the answer on.
func (gateway *Gateway) handleAnswer(ctx context.Context, writer http.ResponseWriter, job *job, to assignment, active *activeRequest, answer *upstream.Answer) tryResult {
	headers := gateway.protocol.ParseAnswer(answer.Response)
	gateway.handleLimit(to, answer.StatusCode, headers)
	gateway.handleLeaving(to.server, headers.Leaving, "request "+job.headers.Attempt)
	gateway.core.recordPause(to.server.ID, headers.Pause)
	gateway.core.recordBrittle(job, to, answer.StatusCode, headers)
	if headers.NotRun {
		answer.Drain(maxFailureBytes)
		return gateway.handleNotRun(job, to, answer, headers)
	}
	success := answer.StatusCode/100 == 2
	job.mayHaveRun++
	if success && (!headers.Signed || answer.Header.Get("Content-Encoding") != "") {
		answer.Close(false)
		gateway.recordOutcome(to, true)
		job.triedServers = append(job.triedServers, to.server.ID)
		return gateway.lostResult(job, http.StatusBadGateway, ending.InvalidAnswer)
	}
	job.releaseSentBody(answer)
	if !success {
		return gateway.handleFailure(ctx, writer, job, to, answer)
	}
	if job.route.Kind == catalog.Streaming {
		return gateway.relayStream(ctx, writer, job, to, active, answer)
	}
	return gateway.relayWhole(ctx, writer, job, to, answer)
}

// recordOutcome records for health tracking whether a server failed.
func (gateway *Gateway) recordOutcome(to assignment, failed bool) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.fleet.RecordAnswer(core.now(), to.server.ID, failed)
}

// handleNotRun decides how to go on with a request that a server states it did not run.
func (gateway *Gateway) handleNotRun(job *job, to assignment, answer *upstream.Answer, headers platformapi.AnswerHeaders) tryResult {
	gateway.log.Info(ending.MessageServerDeclined, append(useFields(answer.Use), "Request", job.headers.Attempt, "Server", to.server.ID, "Status", answer.StatusCode,
		"Absent", headers.Absent, "RestMillis", headers.Pause, "Match", string(answer.Match))...)
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
	if answer.StatusCode >= 500 && job.mayRunAgain() && gateway.reserveRetry(job) {
		answer.Drain(maxFailureBytes)
		return tryResult{retry: true, status: http.StatusBadGateway, reason: ending.AnswerLost}
	}
	if ending.PromisesNotRun(answer.StatusCode) || job.headSent {
		answer.Drain(maxFailureBytes)
		return tryResult{status: http.StatusBadGateway, reason: ending.InvalidAnswer}
	}
	body, ended, err := gateway.readStart(job, answer, maxFailureBytes)
	defer body.release()
	if err != nil {
		answer.Close(false)
		return tryResult{status: http.StatusBadGateway, reason: ending.AnswerLost}
	}
	if !ended {
		return gateway.relayLarge(ctx, writer, job, to, answer, body.bytes, ending.ServerFailure)
	}
	answer.Close(true)
	copyHeader(writer.Header(), answer.Header)
	gateway.logEnd(job, answer.StatusCode, ending.ServerFailure)
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body.bytes) // the caller may have disconnected
	return tryResult{done: true}
}
