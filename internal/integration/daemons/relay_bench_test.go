package daemons_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	protocol "teaselmoor/internal/backend/engine"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/site"
)

// instantEngine answers at once, so that a measurement sees the daemons alone.
// Streamed answers have the asked number of tokens, in pieces of a few.
type instantEngine struct {
	model string
	hold  chan struct{} // closed: answers end; until then streams stay open
}

const tokensPerPiece = 4

func (engine *instantEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == protocol.StatePath {
		_ = json.NewEncoder(writer).Encode(protocol.StateReport{BootID: "1", Loaded: []string{engine.model}})
		return
	}
	var asked struct {
		Stream    bool `json:"stream"`
		MaxTokens int  `json:"max_tokens"`
	}
	_ = json.NewDecoder(request.Body).Decode(&asked)
	run := request.Header.Get(protocol.RunHeader)
	writer.Header().Set(protocol.RunHeader, run)
	chunk := fmt.Sprintf(`{"id":%q,"model":%q,"choices":[{"index":0,"text":"token "}]}`, run, engine.model)
	if !asked.Stream {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, chunk)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	piece := strings.Repeat("data: "+chunk+"\n\n", tokensPerPiece)
	for range asked.MaxTokens / tokensPerPiece {
		if _, err := io.WriteString(writer, piece); err != nil {
			return
		}
		_ = control.Flush()
	}
	select {
	case <-engine.hold:
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	case <-request.Context().Done():
	}
}

// measured is a site before one instant engine.
type measured struct {
	*harness.Site
	owner, entry int
	model        string
	engine       string // address
	instant      *instantEngine
}

func newMeasured(b *testing.B) *measured {
	options := site.DefaultOptions()
	options.Engines = 1
	running := harness.Prepare(b, options)
	instant := &instantEngine{model: running.AdapterAddress("review"), hold: make(chan struct{})}
	server := httptest.NewServer(instant)
	b.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	running.Config.Engines[0].Address = address
	running.Config.Engines[0].MaxRuns = 1 << 20
	require.NoError(b, running.Publish())
	for _, daemon := range running.Daemons {
		daemon.Start()
	}
	for _, daemon := range running.Daemons {
		daemon.WaitReady()
	}
	owner, entry := ownerAndEntry(running)
	ready := &measured{Site: running, owner: owner, entry: entry, model: instant.model, engine: address, instant: instant}
	running.WaitFor("an answer", func() bool {
		return ready.post(http.DefaultClient, ready.caller(entry), 1, false) == nil
	})
	return ready
}

func (measured *measured) caller(at int) string {
	return measured.Daemons[at].Settings.CallerAddress
}

var benchRuns atomic.Uint64

// post sends a request to a daemon or to the engine and reads the answer.
func (measured *measured) post(client *http.Client, address string, tokens int, stream bool) error {
	response, err := measured.open(client, address, tokens, stream)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}

func (measured *measured) open(client *http.Client, address string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"prompt":"hello"}`, measured.model, tokens, stream)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	request.Header.Set(protocol.RunHeader, strconv.FormatUint(benchRuns.Add(1), 10))
	return client.Do(request)
}

const (
	pacedRate  = 1000 // requests a second
	maxClients = 512
)

// BenchmarkAddedTime sends requests at a fixed rate, in turn to the engine and
// through an entry that is not its owner, and reports the difference.
func BenchmarkAddedTime(b *testing.B) {
	measured := newMeasured(b)
	close(measured.instant.hold)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxClients}}
	targets := []string{measured.engine, measured.caller(measured.entry)}
	var mutex sync.Mutex // guards spans
	spans := make([][]time.Duration, len(targets))
	send := func(at int) {
		began := time.Now()
		if err := measured.post(client, targets[at], 1, false); err != nil {
			b.Error(err)
		}
		took := time.Since(began)
		mutex.Lock()
		defer mutex.Unlock()
		spans[at] = append(spans[at], took)
	}
	for i := range 200 {
		send(i % 2) // opens connections
	}
	spans = make([][]time.Duration, len(targets))
	var ended sync.WaitGroup
	ticker := time.NewTicker(time.Second / pacedRate)
	defer ticker.Stop()
	b.ResetTimer()
	for range b.N {
		<-ticker.C
		for at := range targets {
			ended.Add(1)
			go func() { defer ended.Done(); send(at) }()
		}
	}
	ended.Wait()
	b.StopTimer()
	for _, share := range []int{50, 99} {
		direct, relayed := percentile(spans[0], share), percentile(spans[1], share)
		b.ReportMetric(float64(direct.Microseconds()), fmt.Sprintf("direct-p%d-us", share))
		b.ReportMetric(float64((relayed - direct).Microseconds()), fmt.Sprintf("added-p%d-us", share))
	}
}

func percentile(spans []time.Duration, share int) time.Duration {
	slices.Sort(spans)
	return spans[(len(spans)-1)*share/100]
}

// BenchmarkTokens streams answers through one daemon, entry and owner at once,
// and reports tokens a second.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 32, 400
	measured := newMeasured(b)
	close(measured.instant.hold)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	b.ResetTimer()
	for range b.N {
		var ended sync.WaitGroup
		for range streams {
			ended.Add(1)
			go func() {
				defer ended.Done()
				if err := measured.post(client, measured.caller(measured.owner), tokens, true); err != nil {
					b.Error(err)
				}
			}()
		}
		ended.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkMemory holds idle connections, then open streams, at an entry that is
// not the owner, and reports resident bytes for each, at entry and owner.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	measured := newMeasured(b)
	resident := func(at int) float64 { return float64(measured.Daemons[at].ResidentBytes()) }
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
	address := measured.caller(measured.entry)
	before := resident(measured.entry)
	var conns sync.WaitGroup
	gate := make(chan struct{})
	for range count {
		conns.Add(1)
		go func() {
			defer conns.Done()
			<-gate
			response, err := client.Get("http://" + address + "/v1/none")
			if err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	close(gate)
	conns.Wait()
	b.ReportMetric((resident(measured.entry)-before)/count, "bytes/idle-connection")
	client.CloseIdleConnections()
	entryBefore, ownerBefore := resident(measured.entry), resident(measured.owner)
	for range count {
		response, err := measured.open(client, address, tokensPerPiece, true)
		require.NoError(b, err)
		defer func() { _ = response.Body.Close() }()
		_, err = io.ReadFull(response.Body, make([]byte, 10))
		require.NoError(b, err)
	}
	b.ReportMetric((resident(measured.entry)-entryBefore)/count, "bytes/stream-entry")
	b.ReportMetric((resident(measured.owner)-ownerBefore)/count, "bytes/stream-owner")
}
