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

// instantEngine is an engine that answers without delay, so that only the daemons
// are measured. It sends tokensPerChunk tokens of a streamed answer per write.
type instantEngine struct {
	model  string
	finish chan struct{} // streams stay open until it is closed
}

const tokensPerChunk = 4

func (engine *instantEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == protocol.StatePath {
		_ = json.NewEncoder(writer).Encode(protocol.StateReport{BootID: "1", Loaded: []string{engine.model}})
		return
	}
	var body struct {
		Stream    bool `json:"stream"`
		MaxTokens int  `json:"max_tokens"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	run := request.Header.Get(protocol.RunHeader)
	writer.Header().Set(protocol.RunHeader, run)
	event := fmt.Sprintf(`{"id":%q,"model":%q,"choices":[{"index":0,"text":"token "}]}`, run, engine.model)
	if !body.Stream {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, event)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	chunk := strings.Repeat("data: "+event+"\n\n", tokensPerChunk)
	for range body.MaxTokens / tokensPerChunk {
		if _, err := io.WriteString(writer, chunk); err != nil {
			return
		}
		_ = control.Flush()
	}
	select {
	case <-engine.finish:
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	case <-request.Context().Done():
	}
}

// benchSite is a site with one instantEngine.
type benchSite struct {
	*harness.Site
	owner, entry  int
	model         string
	engineAddress string
	engine        *instantEngine
}

func newBenchSite(b *testing.B) *benchSite {
	options := site.DefaultOptions()
	options.Engines = 1
	testSite := harness.Prepare(b, options)
	engine := &instantEngine{model: testSite.AdapterAddress("review"), finish: make(chan struct{})}
	server := httptest.NewServer(engine)
	b.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	testSite.Config.Engines[0].Address = address
	testSite.Config.Engines[0].MaxRuns = 1 << 20
	require.NoError(b, testSite.Publish())
	for _, daemon := range testSite.Daemons {
		daemon.Start()
	}
	for _, daemon := range testSite.Daemons {
		daemon.WaitReady()
	}
	owner, entry := ownerAndEntry(testSite)
	ready := &benchSite{Site: testSite, owner: owner, entry: entry, model: engine.model, engineAddress: address, engine: engine}
	testSite.WaitFor("an answer", func() bool {
		return ready.post(http.DefaultClient, ready.callerAddress(entry), 1, false) == nil
	})
	return ready
}

func (benchSite *benchSite) callerAddress(index int) string {
	return benchSite.Daemons[index].Settings.CallerAddress
}

var lastRunID atomic.Uint64

// post sends a request to a daemon or to the engine and reads the answer to its end.
func (benchSite *benchSite) post(client *http.Client, address string, tokens int, stream bool) error {
	response, err := benchSite.send(client, address, tokens, stream)
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

func (benchSite *benchSite) send(client *http.Client, address string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"prompt":"hello"}`, benchSite.model, tokens, stream)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	request.Header.Set(protocol.RunHeader, strconv.FormatUint(lastRunID.Add(1), 10))
	return client.Do(request)
}

const (
	pacedRate  = 1000 // requests per second
	maxClients = 512
)

// BenchmarkAddedTime sends requests at a fixed rate, both to the engine directly and
// through an entry that is not its owner, and reports the difference in duration.
func BenchmarkAddedTime(b *testing.B) {
	benchSite := newBenchSite(b)
	close(benchSite.engine.finish)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxClients}}
	targets := []string{benchSite.engineAddress, benchSite.callerAddress(benchSite.entry)}
	var mutex sync.Mutex // guards durations
	durations := make([][]time.Duration, len(targets))
	send := func(target int) {
		startedAt := time.Now()
		if err := benchSite.post(client, targets[target], 1, false); err != nil {
			b.Error(err)
		}
		took := time.Since(startedAt)
		mutex.Lock()
		defer mutex.Unlock()
		durations[target] = append(durations[target], took)
	}
	for i := range 200 {
		send(i % 2) // opens the connections before the measurement
	}
	durations = make([][]time.Duration, len(targets))
	var ended sync.WaitGroup
	ticker := time.NewTicker(time.Second / pacedRate)
	defer ticker.Stop()
	b.ResetTimer()
	for range b.N {
		<-ticker.C
		for target := range targets {
			ended.Add(1)
			go func() { defer ended.Done(); send(target) }()
		}
	}
	ended.Wait()
	b.StopTimer()
	for _, percent := range []int{50, 99} {
		direct, relayed := percentile(durations[0], percent), percentile(durations[1], percent)
		b.ReportMetric(float64(direct.Microseconds()), fmt.Sprintf("direct-p%d-us", percent))
		b.ReportMetric(float64((relayed - direct).Microseconds()), fmt.Sprintf("added-p%d-us", percent))
	}
}

func percentile(durations []time.Duration, percent int) time.Duration {
	slices.Sort(durations)
	return durations[(len(durations)-1)*percent/100]
}

// BenchmarkTokens streams answers through one daemon, which is both entry and owner,
// and reports tokens per second.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 32, 400
	benchSite := newBenchSite(b)
	close(benchSite.engine.finish)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	b.ResetTimer()
	for range b.N {
		var ended sync.WaitGroup
		for range streams {
			ended.Add(1)
			go func() {
				defer ended.Done()
				if err := benchSite.post(client, benchSite.callerAddress(benchSite.owner), tokens, true); err != nil {
					b.Error(err)
				}
			}()
		}
		ended.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkMemory opens idle connections, then streams, at an entry that is not the
// owner. It reports the resident bytes per connection at the entry, and per stream at
// the entry and at the owner.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	benchSite := newBenchSite(b)
	resident := func(index int) float64 { return float64(benchSite.Daemons[index].ResidentBytes()) }
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
	address := benchSite.callerAddress(benchSite.entry)
	before := resident(benchSite.entry)
	var conns sync.WaitGroup
	start := make(chan struct{})
	for range count {
		conns.Add(1)
		go func() {
			defer conns.Done()
			<-start
			response, err := client.Get("http://" + address + "/v1/none")
			if err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	close(start)
	conns.Wait()
	b.ReportMetric((resident(benchSite.entry)-before)/count, "bytes/idle-connection")
	client.CloseIdleConnections()
	entryBefore, ownerBefore := resident(benchSite.entry), resident(benchSite.owner)
	for range count {
		response, err := benchSite.send(client, address, tokensPerChunk, true)
		require.NoError(b, err)
		defer func() { _ = response.Body.Close() }()
		_, err = io.ReadFull(response.Body, make([]byte, 10))
		require.NoError(b, err)
	}
	b.ReportMetric((resident(benchSite.entry)-entryBefore)/count, "bytes/stream-entry")
	b.ReportMetric((resident(benchSite.owner)-ownerBefore)/count, "bytes/stream-owner")
}
