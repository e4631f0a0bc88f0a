// Package modelengine is a stand-in for a model engine: it has an OpenAI-compatible
// API, adapter slots, and a loop of batched steps, each of which produces one token
// for every run in the batch. It runs no model; each token names the adapter that
// served it, so that tests can check which one was used. A ledger records the runs.
package modelengine

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Options configure an engine.
type Options struct {
	// Slots is the number of adapters that can be loaded at a time.
	Slots int
	// MaxRuns is the maximum number of runs in the batch of one step.
	MaxRuns int
	// StepInterval is the time between steps.
	StepInterval time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is lower than
	// one that it has received.
	ChecksFencing bool
	// AllowsUnloadInUse makes the engine unload an adapter that is in use by a run when it
	// receives the order, as some engines do. The ledger then marks the run as violated.
	// Otherwise the engine refuses the order.
	AllowsUnloadInUse bool
	// CachedPrefixes is the maximum number of prompt prefixes in the cache.
	CachedPrefixes int
	// EventLag is the delay until readers see a cache event.
	EventLag time.Duration
	// EventLossInterval makes the engine lose every n-th cache event; 0 loses none.
	EventLossInterval int
	// StoreURL is the URL from which weights are loaded. If it is empty, loads take no
	// time.
	StoreURL string
	// ReportLag is the age of the state reports that are served.
	ReportLag time.Duration
	// TokenPadding is the number of padding bytes added to each streamed token.
	TokenPadding int
	// DefaultTokens is the length of an answer when the request has no max_tokens.
	DefaultTokens int
}

// DefaultOptions returns the options of a small, fast engine.
func DefaultOptions() Options {
	return Options{Slots: 8, MaxRuns: 16, StepInterval: 2 * time.Millisecond, DefaultTokens: 8, CachedPrefixes: 64}
}

// LedgerEntry is the ledger's record of one run that the engine started.
type LedgerEntry struct {
	RunID string
	Model string
	// Served is the adapter that produced the answer. It differs from Model under the
	// fault SwapTo.
	Served string
	// Prompt is the prompt of the request, which tests use to identify the request.
	Prompt string
	Fence  uint64 // fencing number of the request that started the run
	Boot   string // boot id of the engine
	Ended  Ending
	// Violated is set when the adapter was unloaded while the run used it.
	Violated bool
}

// Ending is the way in which a run ended. It is empty while the run continues.
type Ending string

// Endings of runs.
const (
	Complete  Ending = "Complete"  // produced its last token
	Cancelled Ending = "Cancelled" // cancelled by a daemon
	Restarted Ending = "Restarted" // lost when the engine restarted
)

// Engine is a model engine. It serves HTTP; its steps are taken by Run.
type Engine struct {
	options      Options
	mux          *http.ServeMux
	blockedCalls atomic.Int64 // blocked while the engine is frozen

	mutex      sync.Mutex // guards the fields below
	bootID     string     // boot id, new at each restart
	fence      uint64     // highest fencing number received
	loaded     map[string]bool
	loading    map[string]bool
	runs       map[string]*run // by run id
	unfinished []*run          // most urgent first
	ledger     []*LedgerEntry
	steps      uint64
	stepRuns   uint64 // sum of the batch sizes of all steps
	faults     Faults
	reports    []timedReport // kept for ReportLag, oldest first
	cache      *prefixCache
}

// New returns an engine that has just started.
func New(options Options) *Engine {
	engine := &Engine{options: options, mux: http.NewServeMux()}
	engine.restart()
	engine.routes()
	return engine
}

// ServeHTTP serves the engine's API.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if engine.waitWhileFrozen(request.Context()) {
		return
	}
	writer.Header().Set("X-Boot-Id", engine.BootID())
	engine.mux.ServeHTTP(writer, request)
}

// Run takes a step at each step interval until the context ends.
func (engine *Engine) Run(ctx context.Context) error {
	ticker := time.NewTicker(engine.options.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			engine.step()
		}
	}
}

// Restart simulates a restart of the engine's process: it aborts all runs, unloads all
// adapters and changes the boot id. The ledger stays.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.restart()
}

// restart is Restart for a caller that holds the mutex, or for New.
func (engine *Engine) restart() {
	for _, running := range engine.unfinished {
		running.abort(Restarted)
	}
	engine.bootID = uuid.NewString()
	engine.loaded = map[string]bool{}
	engine.loading = map[string]bool{}
	engine.runs = map[string]*run{}
	engine.unfinished = nil
	engine.reports = nil
	engine.cache = newPrefixCache(engine.options)
}

// BootID returns the boot id, which changes at each restart.
func (engine *Engine) BootID() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.bootID
}

// Ledger returns a copy of the ledger, in the order in which runs started.
func (engine *Engine) Ledger() []LedgerEntry {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	entries := make([]LedgerEntry, 0, len(engine.ledger))
	for _, entry := range engine.ledger {
		entries = append(entries, *entry)
	}
	return entries
}

// step produces one token for each run of the batch.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.Frozen || len(engine.unfinished) == 0 {
		return
	}
	batch := engine.unfinished[:min(len(engine.unfinished), engine.options.MaxRuns)]
	engine.steps++
	engine.stepRuns += uint64(len(batch))
	for _, running := range batch {
		running.produce()
	}
	remaining := engine.unfinished[:0]
	for _, running := range engine.unfinished {
		if !running.ended {
			remaining = append(remaining, running)
		}
	}
	clear(engine.unfinished[len(remaining):])
	engine.unfinished = remaining
}

// runRequest is a request for a run.
type runRequest struct {
	id       string
	model    string
	prompt   string
	priority int
	tokens   int
	fence    uint64
}

// startRun starts a run, or returns the one that has been started under the same id.
func (engine *Engine) startRun(request runRequest) (*run, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if existing, found := engine.runs[request.id]; found {
		return existing, nil
	}
	if !engine.loaded[request.model] {
		return nil, fmt.Errorf("adapter %s is not loaded", request.model)
	}
	served := request.model
	if engine.faults.SwapTo != "" {
		served = engine.faults.SwapTo
	}
	entry := &LedgerEntry{
		RunID: request.id, Model: request.model, Served: served, Prompt: request.prompt, Fence: request.fence, Boot: engine.bootID,
	}
	engine.ledger = append(engine.ledger, entry)
	engine.cache.recordUse(request.model, request.prompt)
	started := newRun(entry, request)
	started.padding = strings.Repeat("x", engine.options.TokenPadding)
	engine.runs[request.id] = started
	index := sort.Search(len(engine.unfinished), func(i int) bool { return engine.unfinished[i].priority > request.priority })
	engine.unfinished = append(engine.unfinished, nil)
	copy(engine.unfinished[index+1:], engine.unfinished[index:])
	engine.unfinished[index] = started
	return started, nil
}

// markViolated marks the unfinished runs of an adapter that is being unloaded. The
// caller holds the mutex.
func (engine *Engine) markViolated(model string) {
	for _, running := range engine.unfinished {
		if running.entry.Model == model {
			running.entry.Violated = true
		}
	}
}

// inUse reports whether an unfinished run uses the adapter. The caller holds the
// mutex.
func (engine *Engine) inUse(model string) bool {
	for _, running := range engine.unfinished {
		if running.entry.Model == model {
			return true
		}
	}
	return false
}

// acceptFence reports whether an order with the fencing number is to be executed, and
// if so updates the highest number received.
func (engine *Engine) acceptFence(fence uint64) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if fence < engine.fence && engine.options.ChecksFencing {
		return false
	}
	engine.fence = max(engine.fence, fence)
	return true
}
