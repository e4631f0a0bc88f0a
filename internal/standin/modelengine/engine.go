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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Options describe an engine.
type Options struct {
	Slots         int
	MaxRuns       int
	StepInterval  time.Duration
	ChecksFencing bool
	// ObeysUnload makes the engine unload an adapter that a run uses, as some
	// engines do. The ledger then marks the run as violated.
	ObeysUnload bool
	// CachedPrefixes is the number of prompt prefixes that the engine keeps.
	CachedPrefixes int
	// EventLag is how late a cache event is shown.
	EventLag time.Duration
	// EventGap loses one cache event in that many; 0 loses none.
	EventGap int
	// StoreURL is where weights are loaded from; empty means at once.
	StoreURL string
	// ReportLag is how old a state report is.
	ReportLag time.Duration
	// TokenPadding makes each streamed token that many bytes longer.
	TokenPadding int
	// DefaultTokens is the length of an answer when a request does not say.
	DefaultTokens int
}

// DefaultOptions returns a small, fast engine.
func DefaultOptions() Options {
	return Options{Slots: 8, MaxRuns: 16, StepInterval: 2 * time.Millisecond, DefaultTokens: 8, CachedPrefixes: 64}
}

// LedgerEntry is one run that the engine began.
type LedgerEntry struct {
	RunID string
	Model string
	// Served is the adapter that really produced the answer.
	Served string
	// Prompt is what the request asked, by which tests know it again.
	Prompt string
	Fence  uint64
	Boot   string
	Ended  Ending
	// Violated says that the adapter was unloaded while the run used it.
	Violated bool
}

// Ending is how a run ended; empty while it runs.
type Ending string

// Endings of runs.
const (
	Complete  Ending = "Complete"
	Cancelled Ending = "Cancelled"
	Restarted Ending = "Restarted"
)

// Engine is the stand-in. It serves HTTP; Run drives its steps.
type Engine struct {
	options Options
	mux     *http.ServeMux
	held    atomic.Int64 // calls held up by a freeze

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
	cache   *prefixCache
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
		running.abort(Restarted)
	}
	engine.boot = uuid.NewString()
	engine.loaded = map[string]bool{}
	engine.loading = map[string]bool{}
	engine.runs = map[string]*run{}
	engine.order = nil
	engine.reports = nil
	engine.cache = newPrefixCache(engine.options)
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

// askedRun is a run as a request asked for it.
type askedRun struct {
	id       string
	model    string
	prompt   string
	priority int
	tokens   int
	fence    uint64
}

// begin starts a run, or finds the one that began under the same id.
func (engine *Engine) begin(asked askedRun) (*run, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if known, found := engine.runs[asked.id]; found {
		return known, nil
	}
	if !engine.loaded[asked.model] {
		return nil, fmt.Errorf("adapter %s is not loaded", asked.model)
	}
	served := asked.model
	if engine.faults.SwapTo != "" {
		served = engine.faults.SwapTo
	}
	entry := &LedgerEntry{
		RunID: asked.id, Model: asked.model, Served: served, Prompt: asked.prompt, Fence: asked.fence, Boot: engine.boot,
	}
	engine.ledger = append(engine.ledger, entry)
	engine.cache.use(asked.model, asked.prompt)
	started := newRun(entry, asked)
	started.padding = strings.Repeat("x", engine.options.TokenPadding)
	engine.runs[asked.id] = started
	at := sort.Search(len(engine.order), func(i int) bool { return engine.order[i].priority > asked.priority })
	engine.order = append(engine.order, nil)
	copy(engine.order[at+1:], engine.order[at:])
	engine.order[at] = started
	return started, nil
}

// violate marks the unfinished runs of an adapter that is being unloaded.
func (engine *Engine) violate(model string) {
	for _, running := range engine.order {
		if running.entry.Model == model {
			running.entry.Violated = true
		}
	}
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
