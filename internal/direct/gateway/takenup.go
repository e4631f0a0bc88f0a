package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"

	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/takeup"
	"teaselmoor/internal/direct/topology"
)

// This file ends runs of streams that their callers have taken up at another daemon, or at this one on another connection: the connection
// to a caller or an entry that no longer listens may stay open for long.

// takenUpRuns are the runs of streams that may be taken up.
type takenUpRuns struct {
	mutex sync.Mutex // guards runs; core.mutex and entryLeases.mutex are not acquired while it is held
	runs  *takeup.Runs
}

// mayBeTakenUp reports whether a caller may send a request once more while an earlier attempt runs, to go on where that one has come to.
func (job *job) mayBeTakenUp() bool {
	return job.route.Kind == catalog.Streaming && job.route.Resumable
}

// takesUp reports whether a caller goes on with a stream that an earlier attempt has begun.
func (job *job) takesUp() bool {
	return job.entry == "" && job.mayBeTakenUp() && continuesStream(job.route, job.headers)
}

// takeUpRequest returns what tells a caller's request from others for its stream.
func (job *job) takeUpRequest() takeup.Request {
	request := takeup.Request{
		Content: takeup.HashOf(job.content.String() + job.headers.Model + "/" + job.headers.Adapter + partIDs(job)),
		First:   takeup.HashOf(job.headers.FirstAttempt), Attempt: takeup.HashOf(job.headers.Attempt), After: takeup.EventOf(job.headers.LastEventID),
	}
	if job.entry != "" {
		request.After = job.afterAtEntry
	}
	return request
}

// partIDs returns the ids of the parts of a request's prompt.
func partIDs(job *job) string {
	var ids strings.Builder
	for _, part := range job.headers.Parts {
		ids.WriteString(" ")
		ids.WriteString(part.ID)
	}
	return ids.String()
}

// endWhenTakenUp has a request end when its caller has taken the stream up, or its entry is silent for as long as a caller waits. The function
// that it returns is called at the end of the request.
func (gateway *Gateway) endWhenTakenUp(job *job, from entry) (release func()) {
	ctx, end := context.WithCancel(job.incoming.Context())
	job.incoming = job.incoming.WithContext(ctx)
	run := &takeup.Run{Request: job.takeUpRequest(), Entry: job.entry, End: func() {
		gateway.log.Info(ending.MessageStreamTakenUp, "Request", job.headers.Attempt, "Entry", job.entry)
		gateway.counters.recordTakenUp()
		end()
	}}
	if run.First == 0 {
		run.First = run.Attempt
	}
	gateway.takenUp.mutex.Lock()
	gateway.takenUp.runs.Add(run)
	gateway.takenUp.mutex.Unlock()
	releaseLease := func() {}
	if from.renewsLease {
		releaseLease = gateway.holdLease(job, end)
	}
	return func() {
		end()
		releaseLease()
		gateway.takenUp.mutex.Lock()
		defer gateway.takenUp.mutex.Unlock()
		gateway.takenUp.runs.Remove(run)
	}
}

// announceTakeUp tells all daemons that a request goes on with a stream, when it is first sent. One of them may still work on it.
func (gateway *Gateway) announceTakeUp(job *job) {
	if job.takeUpTold || !job.takesUp() {
		return
	}
	job.takeUpTold = true
	request := job.takeUpRequest()
	gateway.applyTakeUp(request)
	gateway.sendTakeUp(gateway.core.takeUpTargets("", 0), &peers.TakenUp{Request: request})
}

func (gateway *Gateway) sendTakeUp(to []topology.Target, message *peers.TakenUp) {
	for _, target := range to {
		gateway.send(target.Address, peers.Message{TakenUp: message})
	}
}

// applyTakeUp ends the runs that precede a request, and reports whether that was not done before.
func (gateway *Gateway) applyTakeUp(request takeup.Request) bool {
	gateway.takenUp.mutex.Lock()
	defer gateway.takenUp.mutex.Unlock()
	_, isNew := gateway.takenUp.runs.Apply(gateway.core.now(), request)
	return isNew
}

// handleTakenUp applies a peer's notice. A hub relays it: the first one to other hubs and its group, the next ones to their groups.
func (gateway *Gateway) handleTakenUp(from string, message *peers.TakenUp) {
	if !gateway.applyTakeUp(message.Request) {
		return
	}
	hops := message.Hops + 1
	gateway.sendTakeUp(gateway.core.takeUpTargets(from, hops), &peers.TakenUp{Request: message.Request, Hops: hops})
}

// takeUpTargets returns the daemons that a notice is sent to that has been relayed a number of times, without the one that it came from.
func (core *core) takeUpTargets(from string, hops int) []topology.Target {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	plan := core.members.Plan()
	if hops > 0 && (plan.Mesh || plan.Role != topology.Candidate) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(plan.Targets), func(target topology.Target) bool {
		return target.Name == from || hops > 1 && target.Scope == topology.Group
	})
}

// endTakenUpOfSilent ends the runs of silent entries whose streams may have been taken up.
func (gateway *Gateway) endTakenUpOfSilent(silent func(entry string) bool) {
	gateway.takenUp.mutex.Lock()
	defer gateway.takenUp.mutex.Unlock()
	gateway.takenUp.runs.EndSilent(gateway.core.now(), silent)
}
