// Package modelengine is a stand-in for a model engine: an OpenAI-compatible
// API over adapter slots and a loop of shared steps that produce one token for
// every run in the batch. It computes nothing; answers name the adapter that
// produced them, so that tests can judge. Its ledger tells what ran.
package modelengine

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Options describe an engine.
type Options struct {
	Slots         int
	MaxRuns       int
	StepInterval  time.Duration
	ChecksFencing bool
	// StoreURL is where weights are loaded from; empty means at once.
	StoreURL string
	// ReportLag is how old a state report is.
	ReportLag time.Duration
	// DefaultTokens is the length of an answer when a request does not say.
	DefaultTokens int
}

// DefaultOptions returns a small, fast engine.
func DefaultOptions() Options {
	return Options{Slots: 8, MaxRuns: 16, StepInterval: 2 * time.Millisecond, DefaultTokens: 8}
}

// LedgerEntry is one run that the engine began.
type LedgerEntry struct {
	RunID string
	Model string
	// Served is the adapter that really produced the answer.
	Served string
	Boot   string
	Ended  string // Complete, Cancelled, or empty while running
}

// Engine is the stand-in. It serves HTTP; Run drives its steps.
type Engine struct {
	options Options
	mux     *http.ServeMux

	mutex   sync.Mutex // guards all below
	boot    string
	fence   uint64
	loaded  map[string]bool
	loading map[string]bool
	runs    map[string]*run
	order   []*run // unfinished runs, most urgent first
	ledger  []*LedgerEntry
	steps   uint64
	shared  uint64
	faults  Faults
	reports []timedReport
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
	if engine.frozen(request.Context()) {
		return
	}
	writer.Header().Set("X-Boot-Id", engine.Boot())
	engine.mux.ServeHTTP(writer, request)
}

// Run produces tokens until the context ends.
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

// Restart voids slots and runs, as a cold start does.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.restart()
}

func (engine *Engine) restart() {
	for _, running := range engine.order {
		running.abort()
	}
	engine.boot = uuid.NewString()
	engine.loaded = map[string]bool{}
	engine.loading = map[string]bool{}
	engine.runs = map[string]*run{}
	engine.order = nil
	engine.reports = nil
}

// Boot returns the boot id.
func (engine *Engine) Boot() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.boot
}

// Ledger returns what ran so far.
func (engine *Engine) Ledger() []LedgerEntry {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	entries := make([]LedgerEntry, 0, len(engine.ledger))
	for _, entry := range engine.ledger {
		entries = append(entries, *entry)
	}
	return entries
}

// step gives one token to each run of the batch.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.Frozen || len(engine.order) == 0 {
		return
	}
	batch := engine.order[:min(len(engine.order), engine.options.MaxRuns)]
	engine.steps++
	engine.shared += uint64(len(batch))
	for _, running := range batch {
		running.produce()
	}
	left := engine.order[:0]
	for _, running := range engine.order {
		if !running.ended {
			left = append(left, running)
		}
	}
	clear(engine.order[len(left):])
	engine.order = left
}

// begin starts a run, or finds the one that began under the same id.
func (engine *Engine) begin(id, model string, priority, tokens int) (*run, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if known, found := engine.runs[id]; found {
		return known, nil
	}
	if !engine.loaded[model] {
		return nil, fmt.Errorf("adapter %s is not loaded", model)
	}
	served := model
	if engine.faults.SwapTo != "" {
		served = engine.faults.SwapTo
	}
	entry := &LedgerEntry{RunID: id, Model: model, Served: served, Boot: engine.boot}
	engine.ledger = append(engine.ledger, entry)
	started := newRun(entry, priority, tokens)
	engine.runs[id] = started
	at := sort.Search(len(engine.order), func(i int) bool { return engine.order[i].priority > priority })
	engine.order = append(engine.order, nil)
	copy(engine.order[at+1:], engine.order[at:])
	engine.order[at] = started
	return started, nil
}

// inUse reports whether an unfinished run uses the adapter.
func (engine *Engine) inUse(model string) bool {
	for _, running := range engine.order {
		if running.entry.Model == model {
			return true
		}
	}
	return false
}

// checkFence takes in an order's fencing number and reports whether it stands.
func (engine *Engine) checkFence(fence uint64) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if fence < engine.fence && engine.options.ChecksFencing {
		return false
	}
	engine.fence = max(engine.fence, fence)
	return true
}
