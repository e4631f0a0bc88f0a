package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// Headers of the engine API.
const (
	RunHeader      = "X-Run-Id"
	FenceHeader    = "X-Fencing-Number"
	PriorityHeader = "X-Priority"
	BootHeader     = "X-Boot-Id"
	// NotRunHeader on an error answer says that the engine did not run the request.
	NotRunHeader = "X-Not-Run"
)

// Paths of the engine API besides the OpenAI-compatible ones.
const (
	LoadPath   = "/v1/load_lora_adapter"
	UnloadPath = "/v1/unload_lora_adapter"
	StatePath  = "/state"
	RunsPath   = "/runs/"
)

// maxState bounds a state report and the answer to an order, in bytes.
const maxState = 32 << 20

// AdapterOrder is the body of a load or unload order.
type AdapterOrder struct {
	LoraName string `json:"lora_name"`
}

// StateReport is the body of a state report.
type StateReport struct {
	BootID  string        `json:"boot_id"`
	AgeMs   int64         `json:"age_ms"`
	Loaded  []string      `json:"loaded"`
	Running []StateRun    `json:"running"`
	Steps   StepStatistic `json:"steps"`
}

// StateRun is one unfinished run of a state report.
type StateRun struct {
	RunID string `json:"run_id"`
	Model string `json:"model"`
}

// StepStatistic sums what the engine's steps were shared by.
type StepStatistic struct {
	Count    uint64 `json:"count"`
	RunsSum  uint64 `json:"runs_sum"`
	Capacity int    `json:"capacity"`
}

// Options bound the client's connections and waits.
type Options struct {
	DialTimeout clock.Millis
	// HeadTimeout is the longest wait for the head of a run's answer. One that is
	// not streamed has its head only at its end.
	HeadTimeout clock.Millis
	// LoadTimeout is the longest wait for the end of a load or unload order.
	LoadTimeout clock.Millis
	// CancelTimeout is the longest wait for the word on a cancel.
	CancelTimeout clock.Millis
	// ReportTimeout is the longest wait for a state report.
	ReportTimeout clock.Millis
	// MaxIdle is the number of idle connections kept per engine.
	MaxIdle int
	// MaxAnswer bounds an answer that is not streamed, in bytes.
	MaxAnswer int64
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 2 * clock.Second, HeadTimeout: 2 * clock.Minute, LoadTimeout: 30 * clock.Second,
		CancelTimeout: 5 * clock.Second, ReportTimeout: 2 * clock.Second, MaxIdle: 64, MaxAnswer: 32 << 20,
	}
}

// HTTP is the client for engines with an OpenAI-compatible API.
//
// Orders and reports have connections of their own, so that they never wait
// behind runs. Connections are not limited in number: a limit would be a queue
// without classes, and the owner bounds the runs of an engine already.
type HTTP struct {
	options Options
	client  *http.Client // for runs
	orders  *http.Client
}

// New returns a client.
func New(options Options) *HTTP {
	return &HTTP{
		options: options,
		client:  &http.Client{Transport: newTransport(options)},
		orders:  &http.Client{Transport: newTransport(options)},
	}
}

func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout.Duration()}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: options.HeadTimeout.Duration(),
		MaxIdleConnsPerHost:   options.MaxIdle,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
	}
}

// Run sends a run and relays its answer; see Client.
func (client *HTTP) Run(ctx context.Context, address string, start effect.StartRun, sink Sink) owner.Result {
	request, sent, err := client.runRequest(ctx, address, start)
	if err != nil {
		return owner.ResultNotSent
	}
	response, err := client.client.Do(request)
	if err != nil {
		return lostOrNotSent(sent, start.Resume)
	}
	defer func() { _ = response.Body.Close() }()
	if result, refused := refusal(response, start.Resume); refused {
		return result
	}
	if response.Header.Get(RunHeader) != start.Stream.String() {
		return owner.ResultWrongAdapter
	}
	if err := sink.Head(response.StatusCode, response.Header.Get("Content-Type")); err != nil {
		return owner.ResultLost
	}
	relay := relay{start: start, sink: sink, index: start.Received, maxAnswer: client.options.MaxAnswer}
	if isStream(response) {
		return relay.stream(ctx, response.Body)
	}
	return relay.whole(ctx, response)
}

// runRequest builds the call and a flag that rises once a connection was
// obtained: before that nothing can have reached the engine.
func (client *HTTP) runRequest(ctx context.Context, address string, start effect.StartRun) (*http.Request, *atomic.Bool, error) {
	method, target := http.MethodPost, "http://"+address+start.Request.Path
	var body io.Reader = bytes.NewReader(start.Request.Body)
	if start.Resume {
		method, body = http.MethodGet, nil
		target = fmt.Sprintf("http://%s%s%s?after=%d", address, RunsPath, start.Stream, start.Received)
	}
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build engine call")
	}
	// Without GetBody the transport cannot send the body a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RunHeader, start.Stream.String())
	request.Header.Set(FenceHeader, strconv.FormatUint(uint64(start.Fence), 10))
	request.Header.Set(PriorityHeader, strconv.Itoa(int(start.Request.Class)))
	return request, sent, nil
}

func lostOrNotSent(sent *atomic.Bool, resume bool) owner.Result {
	if sent.Load() || resume {
		return owner.ResultLost
	}
	return owner.ResultNotSent
}

// refusal tells answers that say the run did not happen from real ones.
func refusal(response *http.Response, resume bool) (owner.Result, bool) {
	switch {
	case response.StatusCode == http.StatusPreconditionFailed:
		return owner.ResultFenced, true
	case resume && response.StatusCode == http.StatusNotFound:
		return owner.ResultUnknownRun, true
	case response.Header.Get(NotRunHeader) != "":
		return owner.ResultRefused, true
	}
	return "", false
}

// Cancel ends a run; see Client.
func (client *HTTP) Cancel(ctx context.Context, address string, run ident.StreamID, fence ident.Fence) owner.Result {
	ctx, cancel := context.WithTimeout(ctx, client.options.CancelTimeout.Duration())
	defer cancel()
	response, err := client.order(ctx, address, RunsPath+run.String()+"/cancel", nil, fence)
	if err != nil {
		return owner.ResultLost
	}
	defer closeBody(response)
	if response.StatusCode == http.StatusOK {
		return owner.ResultCancelled
	}
	return owner.ResultLost
}

// Load orders a load and waits for its end; see Client.
func (client *HTTP) Load(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	return client.adapterOrder(ctx, address, LoadPath, adapter, fence)
}

// Unload orders an unload and waits for its end; see Client.
func (client *HTTP) Unload(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	return client.adapterOrder(ctx, address, UnloadPath, adapter, fence)
}

func (client *HTTP) adapterOrder(ctx context.Context, address, path string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	ctx, cancel := context.WithTimeout(ctx, client.options.LoadTimeout.Duration())
	defer cancel()
	response, err := client.order(ctx, address, path, AdapterOrder{LoraName: adapter.String()}, fence)
	if err != nil {
		return LoadFailed
	}
	defer closeBody(response)
	switch response.StatusCode {
	case http.StatusOK:
		return LoadDone
	case http.StatusPreconditionFailed:
		return LoadFenced
	}
	return LoadFailed
}

func (client *HTTP) order(ctx context.Context, address, path string, body any, fence ident.Fence) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode engine order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "build engine order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(FenceHeader, strconv.FormatUint(uint64(fence), 10))
	response, err := client.orders.Do(request)
	return response, errors.Wrap(err, "send engine order")
}

func closeBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxState))
	_ = response.Body.Close()
}

// Report reads the engine's state; see Client.
func (client *HTTP) Report(ctx context.Context, address string) (owner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, client.options.ReportTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatePath, nil)
	if err != nil {
		return owner.Report{}, errors.Wrap(err, "build state request")
	}
	response, err := client.orders.Do(request)
	if err != nil {
		return owner.Report{}, errors.Wrap(err, "read engine state")
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return owner.Report{}, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	var state StateReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&state); err != nil {
		return owner.Report{}, errors.Wrap(err, "decode engine state")
	}
	return state.report()
}

func (state StateReport) report() (owner.Report, error) {
	report := owner.Report{
		Boot: ident.BootID(state.BootID), Age: clock.Millis(state.AgeMs),
		Steps: owner.Steps{Count: state.Steps.Count, Runs: state.Steps.RunsSum, Capacity: state.Steps.Capacity},
	}
	for _, text := range state.Loaded {
		adapter, err := ident.ParseAdapter(text)
		if err != nil {
			return owner.Report{}, errors.Wrap(err, "engine state: loaded")
		}
		report.Resident = append(report.Resident, adapter)
	}
	for _, running := range state.Running {
		adapter, err := ident.ParseAdapter(running.Model)
		if err != nil {
			return owner.Report{}, errors.Wrap(err, "engine state: running")
		}
		report.Runs = append(report.Runs, owner.ReportedRun{Run: running.RunID, Adapter: adapter})
	}
	return report, nil
}
