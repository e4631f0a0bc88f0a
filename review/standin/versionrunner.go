package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// adapterSlot is an adapter that a versionRunner holds or loads.
type adapterSlot struct {
	version int       // 0: not there yet
	next    int       // the version that is to replace it; 0: none
	ready   time.Time // when the load ends; zero while the replacement waits for runs
	runs    int
}

// versionRunner is a stand-in of a runner with versions of adapters. A replacement waits for its runs; until it is done,
// requests that it concerns and that have not begun are refused.
type versionRunner struct {
	id       string
	record   *record
	listener net.Listener
	server   *http.Server
	announce *announcements
	began    func(runner, attempt, adapter string, version int)

	mutex    sync.Mutex
	adapters map[string]*adapterSlot
	fence    int64
	sequence int
	running  int
	waiting  int
	owner    string // who gave the last order that was not refused
}

// Size of a versionRunner.
const (
	versionSlots = 8
	versionQueue = 3 * versionSlots // as the site file has it for lectura
	shortEvents  = 23               // of a notice-draft
	shortGap     = 18 * time.Millisecond
)

func startVersionRunner(record *record, ip, id string, announce *announcements, began func(runner, attempt, adapter string, version int)) (*versionRunner, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	runner := &versionRunner{id: id, record: record, listener: listener, announce: announce, began: began, adapters: make(map[string]*adapterSlot)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", runner.serveReport)
	mux.HandleFunc("POST /order", runner.serveOrder)
	mux.HandleFunc("/", runner.serveRequest)
	runner.server = &http.Server{Handler: mux}
	go func() { _ = runner.server.Serve(listener) }()
	return runner, nil
}

// entry is what the runner writes to the store.
func (runner *versionRunner) entry(zone string, sequence int) map[string]any {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return map[string]any{
		"Service": engines, "Address": runner.listener.Addr().String(), "Zone": zone, "Version": "v1", "Slots": versionSlots, "State": "ready",
		"ColdLeftMs": 0, "Sequence": sequence, "Stage": "colocated", "Models": runner.models(),
	}
}

// models lists what the runner holds. The mutex must be held.
func (runner *versionRunner) models() any {
	held := []string{}
	for name, slot := range runner.adapters {
		if slot.version > 0 {
			held = append(held, fmt.Sprintf("%s@%d", name, slot.version))
		}
	}
	return []any{map[string]any{"Name": baseModel, "Version": 1, "Adapters": held}}
}

// settle ends the loads whose time is over. The mutex must be held.
func (runner *versionRunner) settle() {
	for _, slot := range runner.adapters {
		switch {
		case slot.next == 0:
		case slot.ready.IsZero() && slot.runs == 0:
			slot.ready = time.Now().Add(adapterLoadTime)
		case !slot.ready.IsZero() && !time.Now().Before(slot.ready):
			slot.version, slot.next = slot.next, 0
		}
	}
}

func (runner *versionRunner) serveReport(writer http.ResponseWriter, _ *http.Request) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.settle()
	incoming := []string{}
	for name, slot := range runner.adapters {
		if slot.next > 0 {
			incoming = append(incoming, fmt.Sprintf("%s/%s@%d", baseModel, name, slot.next))
		}
	}
	writeJSON(writer, http.StatusOK, map[string]any{
		"Stage": "colocated", "Models": runner.models(), "Busy": false, "Sequence": runner.sequence, "Waiting": runner.waiting, "Running": runner.running,
		"KvUsed": 500 * runner.running, "KvTotal": 121844, "Handles": 0, "Incoming": incoming,
	})
}

func (runner *versionRunner) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		FenceToken                        int64
	}
	err := json.NewDecoder(request.Body).Decode(&order)
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.settle()
	status := http.StatusBadRequest
	switch {
	case err != nil || order.Holder == "" || order.Model != baseModel:
	case request.Header.Get("Expect-Instance") != runner.id:
		status = http.StatusMisdirectedRequest
	case order.FenceToken < runner.fence:
		status = http.StatusPreconditionFailed
	case order.Operation == "model_load" && order.Adapter == "":
		status = http.StatusOK // it holds the base model
	case order.Operation == "model_load":
		status = runner.load(order.Adapter, order.Version)
	case order.Operation == "model_unload" && order.Adapter != "":
		status = runner.unload(order.Adapter)
	}
	if status == http.StatusOK || status == http.StatusAccepted {
		runner.fence = order.FenceToken
		if runner.owner != order.Holder {
			runner.record.add("%s gives orders to %s now, was %s", order.Holder, runner.id, runner.owner)
		}
		runner.owner = order.Holder
	}
	writer.WriteHeader(status)
}

// load carries out an order to load an adapter. The mutex must be held.
func (runner *versionRunner) load(adapter string, version int) int {
	newest := max(1, runner.announce.newest(adapter))
	if version == 0 {
		version = newest
	}
	slot, held := runner.adapters[adapter]
	switch {
	case !held:
		runner.adapters[adapter] = &adapterSlot{next: version, ready: time.Now().Add(adapterLoadTime)}
	case slot.next > 0:
		return http.StatusAccepted
	case slot.version >= version:
		return http.StatusOK
	default:
		slot.next, slot.ready = version, time.Time{}
		runner.settle()
		runner.record.add("%s is to replace %s@%d by @%d", runner.id, adapter, slot.version, version)
	}
	runner.sequence++
	return http.StatusAccepted
}

// unload carries out an order to unload an adapter. The mutex must be held.
func (runner *versionRunner) unload(adapter string) int {
	slot, held := runner.adapters[adapter]
	if held && slot.runs > 0 {
		return http.StatusAccepted
	}
	if held {
		delete(runner.adapters, adapter)
		runner.sequence++
	}
	return http.StatusOK
}

// refusal returns the status with which a request that has not begun is refused, or 0. The mutex must be held.
func (runner *versionRunner) refusal(adapter string, expected int) int {
	runner.settle()
	slot, held := runner.adapters[adapter]
	switch {
	case !held || slot.version == 0 || expected > 0 && slot.version != expected:
		return http.StatusMisdirectedRequest
	case slot.next > 0:
		return http.StatusServiceUnavailable
	}
	return 0
}

func (runner *versionRunner) serveRequest(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Attempt-Id", attempt)
	slot, status := runner.begin(request, attempt)
	if slot == nil {
		if status > 0 {
			writer.Header().Set("Not-Executed", "1")
			writer.WriteHeader(status)
		}
		return
	}
	defer func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		slot.runs--
		runner.running--
		runner.settle()
	}()
	writer.Header().Set("Response-Stamp", runner.id+"."+attempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for event := 1; event <= shortEvents; event++ {
		time.Sleep(shortGap)
		if request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", event, event)
		_ = control.Flush()
	}
}

// begin waits until a request may begin, and returns the adapter that it runs on. If it does not begin it returns nil and
// the status of the refusal, or 0 if the caller has left.
func (runner *versionRunner) begin(request *http.Request, attempt string) (*adapterSlot, int) {
	_, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	expected, _ := strconv.Atoi(request.Header.Get("Expect-Version"))
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if request.Header.Get("Expect-Instance") != runner.id {
		return nil, http.StatusMisdirectedRequest
	}
	if runner.waiting >= versionQueue {
		return nil, http.StatusServiceUnavailable
	}
	runner.waiting++
	defer func() { runner.waiting-- }()
	for {
		if status := runner.refusal(adapter, expected); status > 0 {
			return nil, status
		}
		if runner.running < versionSlots {
			break
		}
		runner.mutex.Unlock()
		time.Sleep(2 * time.Millisecond)
		runner.mutex.Lock()
		if request.Context().Err() != nil {
			return nil, 0
		}
	}
	slot := runner.adapters[adapter]
	slot.runs++
	runner.running++
	runner.began(runner.id, attempt, adapter, slot.version)
	return slot, 0
}

// announcements are the versions of adapters that the operator has announced.
type announcements struct {
	record *record
	store  *store
	mutex  sync.Mutex
	acked  map[string][]time.Time // by adapter: when version i+1 was acknowledged
}

// add announces the next version of an adapter.
func (announcements *announcements) add(adapter string) {
	version := announcements.newest(adapter) + 1
	announcements.store.put("op/version/"+baseModel+"."+adapter, map[string]any{"Model": baseModel, "Adapter": adapter, "Version": version})
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	announcements.acked[adapter] = append(announcements.acked[adapter], time.Now())
	announcements.record.add("version %d of %s is acknowledged", version, adapter)
}

// newest returns the newest version of an adapter, 0 if there is none.
func (announcements *announcements) newest(adapter string) int {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	return len(announcements.acked[adapter])
}

// outdatedFor returns for how long a newer version than the given one has been acknowledged, 0 if there is none.
func (announcements *announcements) outdatedFor(adapter string, version int) time.Duration {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	if version >= len(announcements.acked[adapter]) {
		return 0
	}
	return time.Since(announcements.acked[adapter][version])
}
