package gateway

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
	"teaselmoor/internal/direct/upstream"
)

// Headers between a daemon and the peer that it sends a request to.
const (
	entryHeader   = "Teaselmoor-Entry"   // name of the daemon that received the request from its caller
	runsHeader    = "Teaselmoor-Runs"    // number of servers that may have run the request
	configHeader  = "Teaselmoor-Config"  // version of the configuration that the request is served with
	countedHeader = "Teaselmoor-Counted" // present if another daemon has counted the request for the retry budget
	sendsHeader   = "Teaselmoor-Sends"   // in the answer: how often the peer has sent the refused request to servers
	proxiedHeader = "Teaselmoor-Proxied" // in the answer: answeredByServer, or the reason of the peer's refusal
)

// answeredByServer is the value of proxiedHeader in an answer that a server has given.
const answeredByServer = "Answered"

// maxPeerTries is the number of peers that a request is sent to at most. Peers that do not take it
// answer within a round trip.
const maxPeerTries = 8

// elsewhereRetryAfter is the time that a caller is told to wait whose request this daemon cannot serve, as it reaches no server or stops: a
// retry reaches another daemon, which may.
const elsewhereRetryAfter = 100 * clock.Millisecond

// needsPeer reports whether a request has to be sent to a peer, as this daemon reaches no server.
func (gateway *Gateway) needsPeer(job *job) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.needsPeer(job)
}

// needsPeer reports whether a request has to be sent to a peer. The mutex must be held.
func (core *core) needsPeer(job *job) bool {
	return core.links.CutOff() && job.entry == ""
}

// tryPeer sends a request to a peer that sends it to a server.
func (gateway *Gateway) tryPeer(ctx context.Context, writer http.ResponseWriter, job *job) tryResult {
	if callerLeft(job.incoming) {
		gateway.abandon(job)
	}
	core := gateway.core
	if refused := gateway.refuseStopping(core.now(), job); refused != nil {
		return *refused
	}
	core.mutex.Lock()
	now := core.now()
	left := job.deadline - now
	peer, ok := core.choosePeer(now)
	switch {
	case left <= 0:
		core.mutex.Unlock()
		return tryResult{status: http.StatusServiceUnavailable, reason: ending.Deadline}
	case !ok || job.peersTried >= maxPeerTries:
		core.mutex.Unlock()
		job.retryAfter = elsewhereRetryAfter
		return tryResult{status: http.StatusServiceUnavailable, reason: ending.Unreachable}
	}
	if !job.retry.Send(now, core.retryAllowance.Share(now)) {
		core.mutex.Unlock()
		return tryResult{status: http.StatusServiceUnavailable, reason: ending.RetryBudgetSpent}
	}
	core.beginProxied(peer.Name)
	if job.peersTried == 0 {
		core.budget(job.service).ReturnRequest(now) // this peer counts it
	}
	core.mutex.Unlock()
	defer core.endProxied(peer.Name)
	if job.mayBeTakenUp() {
		defer gateway.renewLease(peer.Address)()
	}
	job.peersTried++
	gateway.announceTakeUp(job)
	job.progress.recordSent(now)
	gateway.log.Info(ending.MessageRequestProxied, "Request", job.headers.Attempt, "Peer", peer.Name, "LeftMillis", left, "Tried", job.peersTried)
	answer, err := gateway.sendToPeer(upstream.WithSent(ctx, job.place.Release), peer.Address, gateway.proxiedRequest(ctx, job, left), job.body.pieces)
	if err != nil {
		return gateway.handleLostPeer(ctx, job, peer, err)
	}
	job.progress.answered = core.now()
	core.settleProxied(job, answer)
	return gateway.handlePeerAnswer(ctx, writer, job, peer, answer)
}

// proxiedRequest returns a request as it is sent to a peer.
func (gateway *Gateway) proxiedRequest(ctx context.Context, job *job, left clock.Millis) *http.Request {
	added := platformapi.ForwardHeaders{TimeLeft: left, Urgency: -1, LastEventID: job.lastEventID}
	request := &http.Request{
		Method: job.incoming.Method, URL: &url.URL{Opaque: job.incoming.RequestURI}, Host: job.incoming.Host,
		Header: gateway.protocol.ForwardedHeader(job.incoming.Header, added), ContentLength: job.body.size,
	}
	maps.DeleteFunc(request.Header, func(name string, _ []string) bool { return isInternal(name) }) // a caller's own
	request.Header.Set(entryHeader, gateway.settings.Name)
	request.Header.Set(runsHeader, strconv.Itoa(job.mayHaveRun))
	request.Header.Set(configHeader, strconv.FormatInt(job.configVersion, 10))
	if job.peersTried > 1 {
		request.Header.Set(countedHeader, "1")
	}
	if job.mayBeTakenUp() {
		setLease(request.Header, job)
	}
	if job.continues && job.originKnown {
		request.Header.Set(originHeader, formatOrigin(job.origin))
	}
	return request.WithContext(ctx)
}

// handleLostPeer decides how to go on with a request to which a peer gave no answer.
func (gateway *Gateway) handleLostPeer(ctx context.Context, job *job, peer topology.Daemon, err error) tryResult {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	if sent {
		job.mayHaveRun++
		job.timesSent++
		gateway.core.settleRetry(job)
	}
	if job.incoming.Context().Err() != nil {
		gateway.abandon(job)
	}
	gateway.markUnusablePeer(job, peer, err.Error())
	if !sent {
		gateway.core.recordRetryNotSent(job)
		return tryResult{retry: ctx.Err() == nil, status: http.StatusServiceUnavailable, reason: ending.Unreachable}
	}
	if ctx.Err() != nil {
		return tryResult{status: http.StatusGatewayTimeout, reason: ending.Timeout}
	}
	return gateway.lostResult(job, http.StatusBadGateway, ending.AnswerLost)
}

// markUnusablePeer records that a peer did not take a request, and logs the cause.
func (gateway *Gateway) markUnusablePeer(job *job, peer topology.Daemon, cause string) {
	gateway.core.markUnusable(peer.Name)
	gateway.counters.recordProxied(proxyUnusable)
	gateway.log.Info(ending.MessagePeerUnusable, "Request", job.headers.Attempt, "Peer", peer.Name, "Cause", cause)
}

// peerReasons are the reasons of refusals that depend on the peer, so that another one may take the
// request.
var peerReasons = []ending.Reason{
	ending.Unreachable, ending.NoConfiguration, ending.NoRoute, ending.BadRequest, ending.UnknownKey, ending.StaleAccounts, ending.TooLarge, ending.Crowded, ending.NoRoom, ending.Stopping,
}

// handlePeerAnswer passes on the answer that a peer has received from a server, or decides how to go on
// after the peer's refusal.
func (gateway *Gateway) handlePeerAnswer(ctx context.Context, writer http.ResponseWriter, job *job, peer topology.Daemon, answer *upstream.Answer) tryResult {
	outcome := answer.Header.Get(proxiedHeader)
	answer.Header.Del(proxiedHeader)
	if outcome == answeredByServer {
		job.mayHaveRun++
		job.timesSent++
		gateway.counters.recordProxied(proxyAnswered)
		return gateway.relayProxied(ctx, writer, job, peer, answer)
	}
	answer.Drain(maxFailureBytes)
	reason := ending.Reason(outcome)
	sends := sendsOf(answer)
	job.timesSent += sends
	if outcome == "" || slices.Contains(peerReasons, reason) {
		gateway.markUnusablePeer(job, peer, outcome)
		return tryResult{retry: ctx.Err() == nil, needsBudget: sends > 0, status: http.StatusServiceUnavailable, reason: ending.Unreachable}
	}
	gateway.counters.recordProxied(proxyRefused)
	if !slices.Contains(ending.Reasons(), reason) {
		reason = ending.TriesUsed // of a later version
	}
	if ending.PromisesNotRun(answer.StatusCode) {
		job.retryAfter = gateway.protocol.ParseAnswer(answer.Response).Pause
	} else {
		job.mayHaveRun++
	}
	return tryResult{status: answer.StatusCode, reason: reason}
}

// sendsOf returns how often a peer has sent a request to servers that it refused after all.
func sendsOf(answer *upstream.Answer) int {
	sends, err := strconv.Atoi(answer.Header.Get(sendsHeader))
	if err != nil {
		return 0 // the peer refused it before it chose a server
	}
	return max(0, sends)
}

// settleProxied records what has become of a request that a peer has answered, in case it is a retry.
func (core *core) settleProxied(job *job, answer *upstream.Answer) {
	if answer.Header.Get(proxiedHeader) == answeredByServer || sendsOf(answer) > 0 {
		core.settleRetry(job)
		return
	}
	core.recordRetryNotSent(job)
}

// relayProxied passes on a server's answer that a peer has passed on.
func (gateway *Gateway) relayProxied(ctx context.Context, writer http.ResponseWriter, job *job, peer topology.Daemon, answer *upstream.Answer) tryResult {
	job.releaseSentBody(answer)
	to := peerAssignment(peer.Name, answer)
	if job.route.Kind == catalog.Streaming && answer.StatusCode/100 == 2 {
		return gateway.relayStream(ctx, writer, job, to, nil, answer)
	}
	reason := ending.Complete
	if answer.StatusCode/100 != 2 {
		reason = ending.ServerFailure
	}
	body, ended, err := gateway.readStart(job, answer, maxWholeBytes)
	defer body.release()
	if err != nil {
		answer.Close(false)
		return gateway.handleBrokenAnswer(ctx, job, to, err)
	}
	if !ended {
		return gateway.relayLarge(ctx, writer, job, to, answer, body.bytes, reason)
	}
	answer.Close(true)
	copyHeader(writer.Header(), answer.Header)
	gateway.logEnd(job, answer.StatusCode, reason)
	job.headSent = true
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body.bytes) // the caller may have disconnected
	return tryResult{done: true}
}
