package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/prefill"
	"teaselmoor/internal/direct/software"
)

// assignment is the server that a request is sent to.
type assignment struct {
	server  platformapi.Server
	use     inflight.Use
	version int
	cost    float64
	origin  software.Origin // of the stream that peer has begun
	peer    string          // the peer that the request is sent to in place of a server; empty: none
	alone   bool            // no other prompt was being read there
	at      clock.Millis    // when the server was chosen
}

// activeRequest counts a request at its server until end is called.
type activeRequest struct {
	gateway      *Gateway
	to           assignment
	unreadTokens int
	firstEventAt clock.Millis // when the answer's first event arrived; 0: not yet
}

// recordFirstEvent records that the first event of the answer has arrived.
func (activeRequest *activeRequest) recordFirstEvent() {
	core := activeRequest.gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.work.FirstEvent(activeRequest.to.use, activeRequest.unreadTokens)
	core.markWorkChanged()
	activeRequest.firstEventAt = core.now()
	if activeRequest.to.alone {
		took := activeRequest.firstEventAt - activeRequest.to.at
		core.readRate.Observe(activeRequest.unreadTokens, took)
		core.turns.rate.Observe(activeRequest.unreadTokens, clock.Millis(float64(took)*core.speedFactor(activeRequest.firstEventAt, activeRequest.to.server.ID)))
	}
	activeRequest.unreadTokens = 0
}

// end removes the request from its server's count.
func (activeRequest *activeRequest) end() {
	core := activeRequest.gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.work.End(activeRequest.to.use, activeRequest.unreadTokens)
	core.markWorkChanged()
	if activeRequest.firstEventAt > 0 {
		core.slotTime.Observe(core.now() - activeRequest.firstEventAt)
	}
	if worker, ok := core.orderWorkers[activeRequest.to.use.Server]; ok {
		worker.wakeUp()
	}
}

// countedUse is the server that a request counts at while it is being placed.
type countedUse struct {
	use           inflight.Use
	readingTokens int // prompt tokens counted as being read there
}

// moveCount moves a request's count to another server, including that server's rate limit. An
// empty use removes the count. The mutex must be held.
func (core *core) moveCount(from *countedUse, use inflight.Use, prompt int) {
	if from.use.Server != use.Server {
		now := core.now()
		core.serverLimits.Return(now, from.use.Server)
		core.serverLimits.Take(now, use.Server)
	}
	if from.use.Server != "" {
		core.work.End(from.use, from.readingTokens)
	}
	*from = countedUse{use: use, readingTokens: prompt}
	if use.Server != "" {
		core.work.Begin(use, prompt)
	}
	core.markWorkChanged()
}

// place chooses a server for a request. It waits for the adapter if the server does not hold it,
// and for prompts that the server is still reading. If the request cannot be placed, place
// returns the result of the try instead.
func (gateway *Gateway) place(ctx context.Context, job *job) (assignment, *tryResult) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	started := core.now()
	core.recordDemand(started, job)
	if refused := core.shedRequest(started, job); refused != nil {
		return assignment{}, refused
	}
	frequent := core.markRequested(started, job)
	maxWait := core.maxAdapterWait(started, job)
	lastRequest := clock.Millis(0)
	job.turn, job.turnTime, job.turnsWithdrawn = prefill.Pending, 0, 0
	counted := &countedUse{}
	turn := &promptTurn{}
	for {
		now := core.now()
		if refused := core.refuseQuarantined(now, job); refused != nil {
			core.moveCount(counted, inflight.Use{}, 0)
			job.waited += now - started
			return assignment{}, refused
		}
		if core.needsPeer(job) {
			core.moveCount(counted, inflight.Use{}, 0)
			job.waited += now - started
			return assignment{}, &tryResult{retry: true, status: http.StatusServiceUnavailable, reason: ending.Unreachable}
		}
		choice, ok := core.choose(core.query(now, job, counted.use.Server, frequent), job.adapterHash)
		if !ok {
			core.moveCount(counted, inflight.Use{}, 0)
			if gateway.waitForRoom(ctx, started, maxWait, job) {
				continue
			}
			return assignment{}, core.noServerResult(now, job)
		}
		use := inflight.Use{Server: choice.Member.ID, Adapter: job.adapter}
		if use != counted.use {
			core.moveCount(counted, use, job.headers.PromptTokens)
			lastRequest = 0
		}
		if choice.Ready && ctx.Err() == nil && !gateway.admitPrompt(ctx, started, job, &choice, counted, turn) {
			continue
		}
		if choice.Ready {
			admitted, refused := gateway.admitSuspect(ctx, started, job, counted)
			if refused != nil {
				job.waited += core.now() - started
				return assignment{}, refused
			}
			if !admitted {
				continue
			}
			now = core.now()
			core.moveCount(counted, use, job.headers.PromptTokens)
			gateway.reportPrompt(ctx, now, job, use.Server, turn)
			if choice.CopyTo != nil {
				gateway.requestCopy(job, choice.CopyTo, now)
			}
			return core.assign(now, started, job, choice, use), nil
		}
		tooLate := lastRequest == 0 && !isIncoming(choice.Member, job.adapter) && core.loadTooLate(choice.Member, maxWait)
		if tooLate || now-started >= maxWait || ctx.Err() != nil {
			core.moveCount(counted, inflight.Use{}, 0)
			job.waited += now - started
			core.logAdapterNotReady(now, job, choice.Member, tooLate, maxWait)
			result := waitEndedResult(ctx, job)
			core.setAdapterRetryAfter(now, job, choice.Member, result)
			return assignment{}, result
		}
		if lastRequest == 0 || now-lastRequest >= core.options.WantInterval {
			lastRequest = now
			gateway.requestAdapter(job, use, now, maxWait-(now-started))
		}
		gateway.waitForChange(ctx, job, min(core.options.WantInterval, maxWait-(now-started)))
	}
}

// shouldDelay reports whether a request has to wait for prompts that its server is still
// reading. The mutex must be held.
func (core *core) shouldDelay(now, waited clock.Millis, job *job, server string) bool {
	if !job.engine {
		return false
	}
	rate := core.readRate.TokensPerMS()
	prompt := choose.Prompt{Tokens: job.headers.PromptTokens, Goal: job.route.Goal, GapGoal: job.route.GapGoal, Waited: job.waited + waited}
	return core.options.Hold.ShouldDelay(prompt, core.promptBuckets.Level(now, server, rate), rate)
}

// frequentWindow is the time since the last request for an adapter within which it counts as
// frequently used.
const frequentWindow = 10 * clock.Second

// markRequested records that a caller requests an adapter here, and reports whether it was
// requested recently before. The mutex must be held.
func (core *core) markRequested(now clock.Millis, job *job) bool {
	if job.adapter.Name == "" {
		return false
	}
	last, ok := core.requestedAt[job.adapter]
	core.requestedAt[job.adapter] = now
	return ok && now-last < frequentWindow
}

// query returns the inputs for choosing a server; waiting is the server at which the request
// already waits, if any. The mutex must be held.
func (core *core) query(now clock.Millis, job *job, waiting string, frequent bool) choose.Query {
	query := choose.Query{
		Now:          now,
		Service:      job.service,
		DataCentre:   core.settings.DataCentre,
		Attempt:      xxhash.Sum64String(job.headers.Attempt),
		Adapter:      job.adapter,
		Version:      core.requiredVersion(now, job.adapter),
		Prompt:       job.headers.PromptTokens,
		AdapterSlots: job.adapterSlots,
		Tried:        core.tried(now, job),
		Blocked:      core.blocked(now, waiting),
		Fits:         core.fits(now, job),
		HasOwner:     func(server string) bool { _, ok := core.ownerOf(now, server); return ok },
		Frequent:     frequent,
		ManyDaemons:  !core.members.Plan().Mesh,
		WaitingAt:    waiting,
		Short:        core.shortLoads(job),
	}
	core.addPauses(&query, job.route.GapGoal)
	core.addLocality(&query)
	return query
}

// assign records that a request is sent to the chosen server, and returns the assignment. The
// mutex must be held.
func (core *core) assign(now, started clock.Millis, job *job, choice choose.Choice, use inflight.Use) assignment {
	job.waited += now - started
	if job.engine {
		core.promptBuckets.Add(now, use.Server, job.headers.PromptTokens, core.readRate.TokensPerMS())
		core.sentTokens[use.Server] += job.headers.PromptTokens
	}
	if worker, ok := core.orderWorkers[use.Server]; ok {
		worker.planner.RecordUse(now, job.adapter, 1)
	}
	result := assignment{server: choice.Member.Server, use: use, cost: choice.Cost, alone: core.work.Load(use.Server).Reading == job.headers.PromptTokens, at: now}
	if slot, ok := choice.Member.Slot(job.adapter); ok && core.newestVersion(job.adapter) > 0 && slot.Version >= core.newestVersion(job.adapter) {
		result.version = core.newestVersion(job.adapter)
	}
	return result
}

// copyMaxStoreLoad is the highest load of the weight store at which copies that no request
// waits for are loaded, as a share of the loads in flight at full speed.
const copyMaxStoreLoad = 0.5

// copyRequestLifetime is how long a request for a copy stays valid: a few load times.
const copyRequestLifetime = 1 * clock.Second

// requestCopy requests a further copy of a request's adapter, unless the weight store is busy.
// The mutex must be held.
func (gateway *Gateway) requestCopy(job *job, server *fleet.Member, now clock.Millis) {
	if gateway.storeBusy() {
		return
	}
	gateway.requestAdapter(job, inflight.Use{Server: server.ID, Adapter: job.adapter}, now, copyRequestLifetime)
}

// requestAdapter requests an adapter from the owner of a server. The mutex must be held.
func (gateway *Gateway) requestAdapter(job *job, use inflight.Use, now, left clock.Millis) {
	core := gateway.core
	request := peers.AdapterRequest{Server: use.Server, Adapter: use.Adapter, Version: core.newestVersion(use.Adapter), Rank: job.rank, Left: left}
	owner, ok := core.ownerOf(now, use.Server)
	gateway.log.Info(ending.MessageAdapterRequested, "Request", job.headers.Attempt, "Server", use.Server, "Adapter", use.Adapter.Name, "Owner", owner)
	if !ok && core.hub == "" {
		return
	}
	gateway.sendAdapterRequest(owner, request)
}

// waitForChange has a request wait until holdings change, the timeout expires or the context ends. The mutex must be held; it is
// released during the wait.
func (gateway *Gateway) waitForChange(ctx context.Context, job *job, timeout clock.Millis) {
	job.place.Release()
	core := gateway.core
	changed := core.holdingsChanged
	core.mutex.Unlock()
	awaitAny(ctx, changed, timeout)
	core.mutex.Lock()
}

// awaitAny waits until a channel can be received from, the timeout expires or the context ends.
func awaitAny(ctx context.Context, changed <-chan struct{}, timeout clock.Millis) {
	timer := time.NewTimer(max(1, timeout).Duration())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
