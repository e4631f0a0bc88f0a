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
	// NotRunHeader is set on an error answer if the engine did not run the request.
	NotRunHeader = "X-Not-Run"
)

// Paths of the engine API that are not part of the OpenAI-compatible API.
const (
	LoadPath   = "/v1/load_lora_adapter"
	UnloadPath = "/v1/unload_lora_adapter"
	StatePath  = "/state"
	RunsPath   = "/runs/"
)

// maxStateBytes is the maximum size of a state report and of the answer to an order.
const maxStateBytes = 32 << 20

// AdapterOrder is the body of a load or unload order.
type AdapterOrder struct {
	LoraName string `json:"lora_name"`
}

// StateReport is the body of a state report.
type StateReport struct {
	BootID  string     `json:"boot_id"`
	AgeMs   int64      `json:"age_ms"`
	Loaded  []string   `json:"loaded"`
	Running []StateRun `json:"running"`
	Steps   StepTotals `json:"steps"`
}

// StateRun is one unfinished run of a state report.
type StateRun struct {
	RunID string `json:"run_id"`
	Model string `json:"model"`
}

// StepTotals holds totals over all steps of the engine: their number and the sum
// of the runs that shared each of them. Capacity is the maximum number of runs in a
// step.
type StepTotals struct {
	Count    uint64 `json:"count"`
	RunsSum  uint64 `json:"runs_sum"`
	Capacity int    `json:"capacity"`
}

// Options holds the timeouts and limits of the client.
type Options struct {
	DialTimeout clock.Millis
	// HeadTimeout is the maximum wait for the headers of a run's answer. An answer
	// that is not streamed has its headers only when the run has ended.
	HeadTimeout clock.Millis
	// LoadTimeout is the maximum duration of a load or unload order.
	LoadTimeout clock.Millis
	// CancelTimeout is the maximum wait for the answer to a cancel order.
	CancelTimeout clock.Millis
	// ReportTimeout is the maximum wait for a state report.
	ReportTimeout clock.Millis
	// MaxIdleConnections is the maximum number of idle connections kept per engine.
	MaxIdleConnections int
	// MaxAnswerBytes is the maximum size of an answer that is not streamed, in bytes.
	MaxAnswerBytes int64
}

// DefaultOptions returns the options that apply where the settings give no value.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 2 * clock.Second, HeadTimeout: 2 * clock.Minute, LoadTimeout: 30 * clock.Second,
		CancelTimeout: 5 * clock.Second, ReportTimeout: 2 * clock.Second, MaxIdleConnections: 64, MaxAnswerBytes: 32 << 20,
	}
}

// HTTPClient is the client of engines with an OpenAI-compatible API.
//
// Orders and reports use separate connections, so that they never wait for runs.
// The number of connections is not limited: with a limit, requests would queue for
// a connection without regard to their urgency class, and the owner already limits
// the runs of an engine.
type HTTPClient struct {
	options Options
	runs    *http.Client // for runs
	orders  *http.Client // for orders and state reports
}

// New returns a client.
func New(options Options) *HTTPClient {
	return &HTTPClient{
		options: options,
		runs:    &http.Client{Transport: newTransport(options)},
		orders:  &http.Client{Transport: newTransport(options)},
	}
}

func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout.Duration()}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: options.HeadTimeout.Duration(),
		MaxIdleConnsPerHost:   options.MaxIdleConnections,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
	}
}

// Run sends or resumes a run and relays its answer; see Client.
func (httpClient *HTTPClient) Run(ctx context.Context, address string, start effect.StartRun, sink Sink) owner.Result {
	request, sent, err := httpClient.newRunRequest(ctx, address, start)
	if err != nil {
		return owner.ResultNotSent
	}
	response, err := httpClient.runs.Do(request)
	if err != nil {
		return lostOrNotSent(sent, start.Resume)
	}
	defer func() { _ = response.Body.Close() }()
	if result, refused := refusalResult(response, start.Resume); refused {
		return result
	}
	if response.Header.Get(RunHeader) != start.Stream.String() {
		return owner.ResultWrongAdapter
	}
	if err := sink.Head(response.StatusCode, response.Header.Get("Content-Type")); err != nil {
		return owner.ResultLost
	}
	relay := relay{start: start, sink: sink, index: start.Received, maxAnswer: httpClient.options.MaxAnswerBytes}
	if isStream(response) {
		return relay.relayStream(ctx, response.Body)
	}
	return relay.relayUnstreamed(ctx, response)
}

// newRunRequest returns the HTTP request of a run and a flag that is set when a
// connection is obtained. Until then nothing can have reached the engine.
func (httpClient *HTTPClient) newRunRequest(ctx context.Context, address string, start effect.StartRun) (*http.Request, *atomic.Bool, error) {
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
	// Without GetBody the transport cannot retry the request, as it cannot send the
	// body a second time.
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

// refusalResult returns the result for an answer that states that the engine did
// not run the request. It reports false for all other answers.
func refusalResult(response *http.Response, resume bool) (owner.Result, bool) {
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
func (httpClient *HTTPClient) Cancel(ctx context.Context, address string, run ident.StreamID, fence ident.Fence) owner.Result {
	ctx, cancel := context.WithTimeout(ctx, httpClient.options.CancelTimeout.Duration())
	defer cancel()
	response, err := httpClient.sendOrder(ctx, address, RunsPath+run.String()+"/cancel", nil, fence)
	if err != nil {
		return owner.ResultLost
	}
	defer drainAndClose(response)
	if response.StatusCode == http.StatusOK {
		return owner.ResultCancelled
	}
	return owner.ResultLost
}

// Load sends a load order and waits until the load has ended; see Client.
func (httpClient *HTTPClient) Load(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	return httpClient.sendAdapterOrder(ctx, address, LoadPath, adapter, fence)
}

// Unload sends an unload order and waits until the unload has ended; see Client.
func (httpClient *HTTPClient) Unload(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	return httpClient.sendAdapterOrder(ctx, address, UnloadPath, adapter, fence)
}

func (httpClient *HTTPClient) sendAdapterOrder(ctx context.Context, address, path string, adapter ident.Adapter, fence ident.Fence) LoadResult {
	ctx, cancel := context.WithTimeout(ctx, httpClient.options.LoadTimeout.Duration())
	defer cancel()
	response, err := httpClient.sendOrder(ctx, address, path, AdapterOrder{LoraName: adapter.String()}, fence)
	if err != nil {
		return LoadFailed
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK:
		return LoadDone
	case http.StatusPreconditionFailed:
		return LoadFenced
	}
	return LoadFailed
}

func (httpClient *HTTPClient) sendOrder(ctx context.Context, address, path string, body any, fence ident.Fence) (*http.Response, error) {
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
	response, err := httpClient.orders.Do(request)
	return response, errors.Wrap(err, "send engine order")
}

// drainAndClose reads the rest of the body, so that the connection can be reused.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStateBytes))
	_ = response.Body.Close()
}

// ReadState reads the engine's state; see Client.
func (httpClient *HTTPClient) ReadState(ctx context.Context, address string) (owner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, httpClient.options.ReportTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatePath, nil)
	if err != nil {
		return owner.Report{}, errors.Wrap(err, "build state request")
	}
	response, err := httpClient.orders.Do(request)
	if err != nil {
		return owner.Report{}, errors.Wrap(err, "read engine state")
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return owner.Report{}, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	var state StateReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
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
