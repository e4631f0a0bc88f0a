package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// placed is the server that a request goes to.
type placed struct {
	server  platformapi.Server
	use     inflight.Use
	version int
	cost    float64
	alone   bool         // no other prompt was being read there
	at      clock.Millis // when it was chosen
}

// placement counts a request at its server until end.
type placement struct {
	gateway *Gateway
	to      placed
	prompt  int
	firstAt clock.Millis // of the answer's first event; 0: none has come
}

// first notes the first event of the answer.
func (placement *placement) first() {
	core := placement.gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.work.FirstEvent(placement.to.use, placement.prompt)
	core.worked()
	placement.firstAt = core.now()
	if placement.to.alone {
		core.readRate.Observe(placement.prompt, placement.firstAt-placement.to.at)
	}
	placement.prompt = 0
}

func (placement *placement) end() {
	core := placement.gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.work.End(placement.to.use, placement.prompt)
	core.worked()
	if placement.firstAt > 0 {
		core.slotTime.Observe(core.now() - placement.firstAt)
	}
	if held, ok := core.orders[placement.to.use.Server]; ok {
		held.poke()
	}
}

// spot is the server at which a request that is being placed counts.
type spot struct {
	use    inflight.Use
	prompt int // tokens that count as being read there
}

// move counts a request at another server and in its limit, or with an empty use at none.
// The mutex is held.
func (core *core) move(from *spot, use inflight.Use, prompt int) {
	if from.use.Server != use.Server {
		now := core.now()
		core.limits.Return(now, from.use.Server)
		core.limits.Take(now, use.Server)
	}
	if from.use.Server != "" {
		core.work.End(from.use, from.prompt)
	}
	*from = spot{use: use, prompt: prompt}
	if use.Server != "" {
		core.work.Begin(use, prompt)
	}
	core.worked()
}

// place chooses a server and waits there for the adapter where it is not held.
func (gateway *Gateway) place(ctx context.Context, job *job) (placed, *verdict) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	started := core.now()
	frequent := core.frequent(started, job)
	patience := core.patience(started, job)
	asked := clock.Millis(0)
	at := &spot{}
	for {
		now := core.now()
		if refused := core.quarantined(now, job); refused != nil {
			core.move(at, inflight.Use{}, 0)
			job.waited += now - started
			return placed{}, refused
		}
		choice, ok := core.choose(core.query(now, job, at.use.Server, frequent), job.hash)
		if !ok {
			core.move(at, inflight.Use{}, 0)
			return placed{}, core.unplaced(now, job)
		}
		use := inflight.Use{Server: choice.Member.ID, Adapter: job.adapter}
		if use != at.use {
			core.move(at, use, job.call.PromptTokens)
			asked = 0
		}
		if choice.Ready && ctx.Err() == nil && core.holds(now, now-started, job, use.Server) {
			core.move(at, use, 0)
			gateway.await(ctx, core.options.Hold.Look)
			job.held += core.now() - now
			continue
		}
		if choice.Ready {
			core.move(at, use, job.call.PromptTokens)
			if choice.CopyTo != nil {
				gateway.askCopy(job, choice.CopyTo, now)
			}
			return core.settled(now, started, job, choice, use), nil
		}
		hopeless := asked == 0 && !coming(choice.Member, job.adapter) && core.hopeless(choice.Member, patience)
		if hopeless || now-started >= patience || ctx.Err() != nil {
			core.move(at, inflight.Use{}, 0)
			job.waited += now - started
			core.logNotPlaced(now, job, choice.Member, hopeless, patience)
			return placed{}, notPlaced(ctx, job)
		}
		if asked == 0 || now-asked >= core.options.WantInterval {
			asked = now
			gateway.ask(job, use, now, patience-(now-started))
		}
		gateway.await(ctx, min(core.options.WantInterval, patience-(now-started)))
	}
}

// holds reports whether a request waits for prompts that are being read at its server.
// The mutex is held.
func (core *core) holds(now, waited clock.Millis, job *job, server string) bool {
	if !job.engine {
		return false
	}
	rate := core.readRate.TokensPerMS()
	prompt := choose.Prompt{Tokens: job.call.PromptTokens, Goal: job.route.Goal, GapGoal: job.route.GapGoal, Waited: job.waited + waited}
	return core.options.Hold.ShouldDelay(prompt, core.intake.Level(now, server, rate), rate)
}

// frequentSpan is how long ago an adapter may have been asked for here last to count
// as one that is asked for often.
const frequentSpan = 10 * clock.Second

// frequent reports whether callers asked for the adapter here of late, and notes
// that one does now. The mutex is held.
func (core *core) frequent(now clock.Millis, job *job) bool {
	if job.adapter.Name == "" {
		return false
	}
	last, ok := core.askedAt[job.adapter]
	core.askedAt[job.adapter] = now
	return ok && now-last < frequentSpan
}

func (core *core) query(now clock.Millis, job *job, waiting string, frequent bool) choose.Query {
	return choose.Query{
		Now:          now,
		Service:      job.service,
		DataCentre:   core.settings.DataCentre,
		Attempt:      xxhash.Sum64String(job.call.Attempt),
		Adapter:      job.adapter,
		Version:      core.required(now, job.adapter),
		Prompt:       job.call.PromptTokens,
		AdapterSlots: job.places,
		Tried:        job.tried,
		Blocked:      core.barred(now, waiting),
		HasOwner:     func(server string) bool { _, ok := core.ownerOf(now, server); return ok },
		Frequent:     frequent,
		ManyDaemons:  !core.members.Plan().Mesh,
		WaitingAt:    waiting,
	}
}

func (core *core) settled(now, started clock.Millis, job *job, choice choose.Choice, use inflight.Use) placed {
	job.waited += now - started
	if job.engine {
		core.intake.Add(now, use.Server, job.call.PromptTokens, core.readRate.TokensPerMS())
		core.sentTokens[use.Server] += job.call.PromptTokens
	}
	if held, ok := core.orders[use.Server]; ok {
		held.planner.RecordUse(now, job.adapter, 1)
	}
	result := placed{server: choice.Member.Server, use: use, cost: choice.Cost, alone: core.work.Load(use.Server).Reading == job.call.PromptTokens, at: now}
	if slot, ok := choice.Member.Slot(job.adapter); ok && core.newest(job.adapter) > 0 && slot.Version >= core.newest(job.adapter) {
		result.version = core.newest(job.adapter)
	}
	return result
}

// copyCrowd is how crowded the weight store may be for loads that no request
// waits for, as a share of what it sends at full speed.
const copyCrowd = 0.5

// copyLife is how long the want of a copy stands: some loads.
const copyLife = 1 * clock.Second

// askCopy asks for a further copy of an adapter. The mutex is held.
func (gateway *Gateway) askCopy(job *job, server *fleet.Member, now clock.Millis) {
	if gateway.storeCrowded() {
		return
	}
	gateway.ask(job, inflight.Use{Server: server.ID, Adapter: job.adapter}, now, copyLife)
}

// ask tells the daemon that orders a server which adapter is needed. The mutex
// is held.
func (gateway *Gateway) ask(job *job, use inflight.Use, now, left clock.Millis) {
	core := gateway.core
	want := peers.AdapterRequest{Server: use.Server, Adapter: use.Adapter, Version: core.newest(use.Adapter), Rank: job.rank, Left: left}
	owner, ok := core.ownerOf(now, use.Server)
	gateway.log.Info(ending.MessageAdapterRequested, "Request", job.call.Attempt, "Server", use.Server, "Adapter", use.Adapter.Name, "Owner", owner)
	if !ok && core.hub == "" {
		return
	}
	gateway.sendWant(owner, want)
}

// await releases the mutex until holdings change or the time is over.
func (gateway *Gateway) await(ctx context.Context, most clock.Millis) {
	core := gateway.core
	changed := core.changed
	core.mutex.Unlock()
	timer := time.NewTimer(max(1, most).Duration())
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	core.mutex.Lock()
}
