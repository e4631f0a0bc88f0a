package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is HeartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// adapterLoadTime is how long a runner takes to load an adapter.
const adapterLoadTime = 250 * time.Millisecond

// runner is a stand-in of a runner. It runs requests with run.
type runner struct {
	id, service, zone string
	slots             int
	engine            bool // it holds the base model, and adapters that it is ordered to load
	record            *record
	store             *store
	listener          net.Listener
	server            *http.Server
	run               func(runner *runner, writer http.ResponseWriter, request *http.Request, body []byte)

	mutex    sync.Mutex
	state    string
	beats    int
	fence    int64
	sequence int
	adapters map[string]time.Time // by name: when its load ends
	running  int
	stopped  chan struct{}
	once     sync.Once
}

func startRunner(record *record, store *store, ip, id, service, zone string, slots int, engine bool, run func(*runner, http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	runner := &runner{
		id: id, service: service, zone: zone, slots: slots, engine: engine, record: record, store: store, listener: listener, run: run,
		state: "ready", adapters: make(map[string]time.Time), stopped: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /report", runner.serveReport)
	mux.HandleFunc("POST /order", runner.serveOrder)
	mux.HandleFunc("/", runner.serveRequest)
	runner.server = &http.Server{Handler: mux}
	go func() { _ = runner.server.Serve(listener) }()
	runner.beat()
	go runner.writeBeats()
	return runner, nil
}

func (runner *runner) address() string { return runner.listener.Addr().String() }

// writeBeats writes the runner's entry until it ends.
func (runner *runner) writeBeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-runner.stopped:
			return
		case <-ticker.C:
			runner.beat()
		}
	}
}

// beat writes the runner's entry.
func (runner *runner) beat() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.beats++
	entry := map[string]any{
		"Service": runner.service, "Address": runner.address(), "Zone": runner.zone, "Version": "v1", "Slots": runner.slots,
		"State": runner.state, "ColdLeftMs": 0, "Sequence": runner.beats,
	}
	if runner.engine {
		entry["Stage"], entry["Models"] = "colocated", runner.models()
	}
	runner.store.put("servers/"+runner.id, entry)
}

// models lists what the runner holds. The mutex must be held.
func (runner *runner) models() any {
	held := []string{}
	for _, name := range slices.Sorted(maps.Keys(runner.adapters)) {
		if !time.Now().Before(runner.adapters[name]) {
			held = append(held, name+"@1")
		}
	}
	return []any{map[string]any{"Name": baseModel, "Version": 1, "Adapters": held}}
}

func (runner *runner) serveReport(writer http.ResponseWriter, _ *http.Request) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	incoming := []string{}
	for name, at := range runner.adapters {
		if time.Now().Before(at) {
			incoming = append(incoming, baseModel+"/"+name+"@1")
		}
	}
	report := map[string]any{
		"Stage": "colocated", "Models": []any{}, "Busy": false, "Sequence": runner.sequence, "Waiting": 0, "Running": runner.running,
		"KvUsed": 1000 * runner.running, "KvTotal": 121844, "Handles": 0, "Incoming": incoming,
	}
	if runner.engine {
		report["Models"] = runner.models()
	}
	writeJSON(writer, http.StatusOK, report)
}

func (runner *runner) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		FenceToken                        *int64
		Expect                            *int
	}
	err := json.NewDecoder(request.Body).Decode(&order)
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	status := runner.order(request, err, order.Operation, order.Model, order.Adapter, order.Holder, order.FenceToken, order.Expect)
	fence := int64(0)
	if order.FenceToken != nil {
		fence = *order.FenceToken
	}
	runner.record.add("order at %s by %s, fence %d: %s %s %s -> %d", runner.id, order.Holder, fence, order.Operation, order.Model, order.Adapter, status)
	writer.WriteHeader(status)
}

// order carries out an order and returns the status of its answer. The mutex must be held.
func (runner *runner) order(request *http.Request, err error, operation, model, adapter, holder string, fence *int64, expect *int) int {
	expected := request.Header.Get("Expect-Instance")
	switch {
	case err != nil || holder == "" || fence == nil || !runner.engine || model != baseModel:
		return http.StatusBadRequest
	case expected != "" && expected != runner.id:
		return http.StatusMisdirectedRequest
	case *fence < runner.fence:
		return http.StatusPreconditionFailed
	case expect != nil && *expect != runner.sequence:
		return http.StatusConflict
	}
	runner.fence = *fence
	ready, held := runner.adapters[adapter]
	switch {
	case operation == "model_load" && adapter == "":
		return http.StatusOK
	case operation == "model_load" && held && !time.Now().Before(ready):
		return http.StatusOK
	case operation == "model_load":
		if !held {
			runner.adapters[adapter] = time.Now().Add(adapterLoadTime)
			runner.sequence++
		}
		return http.StatusAccepted
	case operation == "model_unload" && adapter != "":
		if held {
			delete(runner.adapters, adapter)
			runner.sequence++
		}
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// serveRequest answers a request: 421 if it is meant for another runner or an adapter that is absent, otherwise by run.
func (runner *runner) serveRequest(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Attempt-Id")
	header := writer.Header()
	header.Set("Attempt-Id", attempt)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	runner.mutex.Lock()
	ready, held := runner.adapters[adapter]
	absent := runner.engine && (model != baseModel || adapter != "" && (!held || time.Now().Before(ready)))
	full := runner.running >= runner.slots
	if !absent && !full {
		runner.running++
	}
	runner.mutex.Unlock()
	expected := request.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != runner.id:
		header.Set("Instance-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case attempt == "":
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
	case absent:
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case full:
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	if expected != "" && expected != runner.id || attempt == "" || absent || full {
		runner.record.add("runner %s does not run %s", runner.id, attempt)
		if !absent && !full {
			runner.end()
		}
		return
	}
	defer runner.end()
	runner.run(runner, writer, request, body)
}

func (runner *runner) end() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.running--
}

// sign sets the headers that only an answer of this runner has.
func (runner *runner) sign(header http.Header, attempt string) {
	header.Set("Response-Stamp", fmt.Sprintf("%s.%s", runner.id, attempt))
}

// crash ends the runner at once: its connections break, and nothing listens any more. Its entry is removed after three
// heartbeats of silence.
func (runner *runner) crash() {
	runner.once.Do(func() {
		close(runner.stopped)
		_ = runner.server.Close()
		time.AfterFunc(3*heartbeat, func() { runner.store.remove("servers/" + runner.id) })
	})
}

// stop ends the runner at the end of a case.
func (runner *runner) stop() {
	runner.once.Do(func() { close(runner.stopped); _ = runner.server.Close() })
}

// pause waits, and reports false if the caller has left or the runner has ended meanwhile.
func (runner *runner) pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
	case <-runner.stopped:
	}
	return false
}
