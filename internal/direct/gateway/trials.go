package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// trialsPath is the HTTP path at which the site's examiner grants trials (POST) and learns of their ends (DELETE).
const trialsPath = "/trials"

// trial is the right to send a server the only request of the site in progress that has certain suspect keys.
type trial struct {
	name     string
	keys     []content.ID
	examiner topology.Daemon
}

// covers reports whether a trial is one of all the given keys.
func (trial *trial) covers(keys []content.ID) bool {
	if trial == nil {
		return false
	}
	for _, key := range keys {
		if !slices.Contains(trial.keys, key) {
			return false
		}
	}
	return true
}

// trialKeys returns the keys of which a request is a trial.
func (trial *trial) trialKeys() []content.ID {
	if trial == nil {
		return nil
	}
	return trial.keys
}

// wireTrial is a trial that a daemon asks the examiner for.
type wireTrial struct {
	Name string
	Keys [][]byte `cbor:",omitempty"`
	Time int64    `cbor:",omitempty"` // for which the trial is granted at most, in milliseconds
}

const (
	// maxTrialBytes bounds the body of a request for a trial.
	maxTrialBytes = 16 << 10
	// maxTrialTime bounds a trial whose end the examiner does not learn of.
	maxTrialTime = 15 * clock.Second
	// maxTrialWait and trialWaitShare bound the time for which a suspect request waits to be tried: it is most of
	// the duration of a trial, and leaves time for the answer.
	maxTrialWait   = 2 * clock.Second
	trialWaitShare = 0.5
	// trialQuestionTimeout bounds the time of a question to the examiner.
	trialQuestionTimeout = 300 * time.Millisecond
	// trialsPerSecond is how often all daemons together ask the examiner for a trial of one key.
	trialsPerSecond = 200
	// minTrialInterval is the shortest time between two questions of a daemon about one key.
	minTrialInterval = 50 * clock.Millisecond
	// findingDelay is the time in which daemons learn of a finding. The trial is over only then.
	findingDelay = 500 * time.Millisecond
)

// trialPatience is how long a suspect request that has been placed since started waits to be tried.
func (job *job) trialPatience(started clock.Millis) clock.Millis {
	return min(maxTrialWait, clock.Millis(trialWaitShare*float64(job.deadline-started)))
}

// trialInterval is the time between two questions of this daemon about one key. The mutex must be held.
func (core *core) trialInterval() clock.Millis {
	return max(minTrialInterval, clock.Millis(core.members.DaemonCount())*clock.Second/trialsPerSecond)
}

// examiner returns the daemon that grants trials. All daemons that know the same others agree on it. The mutex must be
// held.
func (core *core) examiner(now clock.Millis) topology.Daemon {
	chosen := core.self()
	for _, daemon := range core.members.AliveDaemons(now) {
		if examinerRank(daemon.Name) > examinerRank(chosen.Name) {
			chosen = daemon
		}
	}
	return chosen
}

func examinerRank(daemon string) uint64 {
	return xxhash.Sum64String("examiner " + daemon)
}

// requestTrial asks the examiner for a trial of the suspect keys of a request, and reports whether it was granted. The
// mutex must be held; it is released during the question.
func (gateway *Gateway) requestTrial(ctx context.Context, job *job, keys []content.ID) bool {
	core := gateway.core
	now := core.now()
	if !core.mayRequestTrial(now, keys) {
		return false
	}
	core.trialCount++
	requested := &trial{
		name: fmt.Sprintf("%s@%d/%d", core.settings.Name, core.incarnation, core.trialCount),
		keys: slices.Clone(keys), examiner: core.examiner(now),
	}
	lease := min(maxTrialTime, job.deadline-now)
	if requested.examiner.Name == core.settings.Name {
		if !core.trials.Grant(now, requested.name, keys, lease) {
			return false
		}
	} else {
		core.mutex.Unlock()
		status := gateway.askExaminer(ctx, http.MethodPost, requested, lease)
		core.mutex.Lock()
		if status != http.StatusNoContent {
			if status == 0 {
				gateway.endTrialAfter(requested, 0) // the examiner may have granted it
			}
			return false
		}
	}
	job.trial = requested
	core.log.Info(ending.MessageTrialGranted, "Request", job.headers.Attempt, "Examiner", requested.examiner.Name, "Suspects", keyNames(keys))
	return true
}

// mayRequestTrial reports whether this daemon may ask the examiner about keys now, and counts the question. The mutex must
// be held.
func (core *core) mayRequestTrial(now clock.Millis, keys []content.ID) bool {
	interval := core.trialInterval()
	for key, at := range core.trialsRequestedAt {
		if now-at >= interval {
			delete(core.trialsRequestedAt, key)
		}
	}
	for _, key := range keys {
		if _, ok := core.trialsRequestedAt[key]; ok {
			return false
		}
	}
	for _, key := range keys {
		core.trialsRequestedAt[key] = now
	}
	return true
}

// askExaminer sends the examiner a question about a trial, and returns its status, or 0 if there was no answer.
func (gateway *Gateway) askExaminer(ctx context.Context, method string, asked *trial, time clock.Millis) int {
	wire := wireTrial{Name: asked.name, Time: int64(time)}
	for _, key := range asked.keys {
		wire.Keys = append(wire.Keys, key[:])
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, trialQuestionTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+asked.examiner.Address+trialsPath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	answer, err := gateway.sendToPeer(ctx, asked.examiner.Address, request, nil)
	if err != nil {
		return 0
	}
	answer.Drain(maxFailureBytes)
	return answer.StatusCode
}

// serveTrials answers a question about a trial: 204 if it is granted or has ended, 409 if there is another one.
func (gateway *Gateway) serveTrials(writer http.ResponseWriter, request *http.Request) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(trialQuestionTimeout)) // the server always supports it
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxTrialBytes))
	var wire wireTrial
	if err != nil || cbor.Unmarshal(body, &wire) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var keys []content.ID
	for _, key := range wire.Keys {
		if len(key) != len(content.ID{}) {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		keys = append(keys, content.ID(key))
	}
	if request.Method == http.MethodDelete {
		gateway.core.releaseTrial(wire.Name)
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	status := http.StatusConflict
	if gateway.core.grantTrial(wire.Name, keys, clock.Millis(wire.Time)) {
		status = http.StatusNoContent
	}
	writer.WriteHeader(status)
}

// grantTrial grants a peer a trial, unless there is another one or this daemon knows that requests with these keys are
// refused.
func (core *core) grantTrial(name string, keys []content.ID, time clock.Millis) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if core.quarantine.Refuses(now, keys) {
		return false
	}
	return core.trials.Grant(now, name, keys, min(time, maxTrialTime))
}

// releaseTrial ends a trial that this daemon has granted.
func (core *core) releaseTrial(name string) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.trials.Release(name)
	core.wakeWaitingRequests()
}

// endTrial tells the examiner that the trial of a request, if it is one, has ended.
func (gateway *Gateway) endTrial(job *job) {
	if job.trial == nil {
		return
	}
	gateway.endTrialAfter(job.trial, 0)
	job.trial = nil
}

// endTrialAfter tells the examiner after a delay that a trial has ended.
func (gateway *Gateway) endTrialAfter(ended *trial, delay time.Duration) {
	gateway.tasks.Go("end trial", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		if ended.examiner.Name == gateway.settings.Name {
			gateway.core.releaseTrial(ended.name)
		} else {
			gateway.askExaminer(ctx, http.MethodDelete, ended, 0)
		}
		return nil
	})
}

// lostTrial reports whether a trial was lost at a server since the last probe ended.
func (core *core) lostTrial(server platformapi.Server) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return len(core.lostTrials(server)) > 0
}

// lostTrials returns the trials that were lost at a server since the last probe ended. The mutex must be held.
func (core *core) lostTrials(server platformapi.Server) []*trial {
	lost, ok := core.lostRequests[server.ID]
	if !ok {
		return nil
	}
	var trials []*trial
	for _, request := range lost.unprobed {
		if request.trial != nil {
			trials = append(trials, request.trial)
		}
	}
	return trials
}
