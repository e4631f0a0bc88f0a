package gateway

import (
	"context"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/quarantine"
)

// maxKeys bounds the keys of a request: its content and the first parts of its prompt.
const maxKeys = 256

// findKeys finds the keys by which the quarantine knows the request: its content, and the parts of its prompt but the last
// one, which belongs to the request itself or to its session.
func (job *job) findKeys(request content.Request) {
	job.content = content.Of(request)
	parts := job.headers.Parts
	parts = parts[:min(max(0, len(parts)-1), maxKeys-1)]
	job.keys = make([]content.ID, 0, 1+len(parts))
	job.keys = append(job.keys, job.content)
	for _, part := range parts {
		job.keys = append(job.keys, content.PartID(request.Account, part.ID))
	}
}

// refuseQuarantined refuses a request that would crash its server. The mutex must be held.
func (core *core) refuseQuarantined(now clock.Millis, job *job) *tryResult {
	judgement := core.quarantine.Judge(now, job.keys)
	if judgement.Verdict != quarantine.Refused {
		return nil
	}
	return core.quarantineResult(job, judgement, judgement.Left, ending.Quarantined)
}

// suspectRetryAfter is the time that a caller is told to wait whose request is suspect and was not tried. Trials of
// requests like it take about as long.
const suspectRetryAfter = clock.Second

// quarantineResult returns the result of a try that the quarantine prevents, and logs why. The mutex must be held.
func (core *core) quarantineResult(job *job, judgement quarantine.Judgement, retryAfter clock.Millis, reason ending.Reason) *tryResult {
	if job.mayHaveRun == 0 {
		job.retryAfter = retryAfter
	}
	core.log.Info(ending.MessageContentRefused, "Request", job.headers.Attempt, "Content", job.content.String(), "Parts", job.partNames(),
		"Suspects", keyNames(judgement.Suspects), "Servers", judgement.Servers, "LeftMillis", judgement.Left, "Reason", string(reason))
	return &tryResult{status: http.StatusServiceUnavailable, reason: reason}
}

// admitSuspect reports whether a request may be sent to a server as far as the quarantine is concerned. Of a suspect
// request it waits a while for the others like it. If it reports false, a server has to be chosen again, or result holds
// the result of the try. The mutex must be held; it is released during the wait.
func (gateway *Gateway) admitSuspect(ctx context.Context, started clock.Millis, job *job, counted *countedUse) (admitted bool, result *tryResult) {
	core := gateway.core
	now := core.now()
	if job.trial == nil && now-started < maxExaminationWait && core.isExamined(now, job) {
		gateway.waitForChange(ctx, job, maxExaminationWait-(now-started))
		return false, nil
	}
	judgement := core.quarantine.Judge(now, job.keys)
	switch {
	case judgement.Verdict == quarantine.Allowed || judgement.Verdict == quarantine.Suspect && job.trial.covers(judgement.Suspects):
		return true, nil
	case judgement.Verdict == quarantine.Refused:
		return false, nil // the next look at it refuses it
	}
	core.moveCount(counted, inflight.Use{}, 0)
	if ctx.Err() != nil || now-started >= job.trialPatience(started) {
		return false, core.quarantineResult(job, judgement, suspectRetryAfter, ending.Suspected)
	}
	gateway.endTrial(job)
	if gateway.requestTrial(ctx, job, judgement.Suspects) {
		return false, nil
	}
	gateway.waitForChange(ctx, job, core.trialInterval())
	return false, nil
}

// recordSuccess records that a server has answered a request completely and successfully, which
// clears its keys.
func (gateway *Gateway) recordSuccess(job *job, to assignment) {
	core := gateway.core
	core.mutex.Lock()
	core.fleet.RecordAnswer(core.now(), to.server.ID, false)
	core.mutex.Unlock()
	gateway.recordKeysAnswered(job.keys)
}

// innocentStreamTime is the time after the first event of a stream when the parts of its prompt are taken to be sound: a
// part that crashes a server does so when the answer begins.
const innocentStreamTime = clock.Second

// recordStreamGoesOn records that a stream has gone on until now. The content may still crash the server.
func (gateway *Gateway) recordStreamGoesOn(job *job, now, began clock.Millis) {
	if job.partsAnswered || now-began < innocentStreamTime {
		return
	}
	job.partsAnswered = true
	gateway.recordKeysAnswered(job.keys[1:])
}

// recordKeysAnswered records that a server has answered a request with the given keys.
func (gateway *Gateway) recordKeysAnswered(keys []content.ID) {
	core := gateway.core
	core.mutex.Lock()
	cleared := core.quarantine.Answered(core.now(), keys)
	if cleared {
		core.wakeWaitingRequests()
	}
	core.mutex.Unlock()
	if cleared {
		gateway.sendWarnings()
	}
}

// keyNames formats keys for the log.
func keyNames(keys []content.ID) []string {
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.String()
	}
	return names
}
