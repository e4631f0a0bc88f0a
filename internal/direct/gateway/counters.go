package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/late"
	"teaselmoor/internal/direct/prefill"
)

// maxSeries bounds the number of label sets of a metric, so that many services or accounts, or
// many statuses sent by servers, do not grow memory without limit.
const maxSeries = 200

// counters counts ended requests and records the latencies of successful ones.
type counters struct {
	mutex   sync.Mutex // guards the maps
	ends    map[endLabels]int64
	sent    map[sentLabels]int64 // requests sent to servers
	latency histograms           // until the answer's first event, or until its end if it is not a stream
	gaps    histograms           // longest gap between two events of a stream
	turns   map[prefill.Result]int64
	waits   histograms // of prompts for a grant, by rank

	steps    histograms     // times that the steps of requests took
	lateEnds map[step]int64 // requests that ended after their deadline, by the step that took longest

	unread  int64                 // connections closed unread, as their callers had left
	proxied map[proxyResult]int64 // requests sent to peers or received from them

	takenUp int64                  // runs of streams that were ended as their callers had taken the streams up
	origins map[originSource]int64 // resumed streams, by how their origin was found out

	late        *late.Counts
	pauseTokens histograms // prompt tokens in prefill when the longest pause of a stream began, by whether it was late by that pause

	retryAfter      histograms       // times that refused callers were told to wait, by reason
	reserveRefusals map[string]int64 // by account: refusals that kept units for more urgent ranks
}

// histograms holds histograms, by the value of a label.
type histograms map[string]*hdrhistogram.Histogram

type endLabels struct {
	Service string
	Status  int
	Reason  ending.Reason
}

func newCounters() *counters {
	return &counters{
		ends: make(map[endLabels]int64), sent: make(map[sentLabels]int64), latency: make(histograms), gaps: make(histograms),
		retryAfter: make(histograms), reserveRefusals: make(map[string]int64),
		turns: make(map[prefill.Result]int64), waits: make(histograms),
		proxied: make(map[proxyResult]int64), origins: make(map[originSource]int64),
		steps: make(histograms), lateEnds: make(map[step]int64),
		late: late.NewCounts(), pauseTokens: make(histograms),
	}
}

func (counters *counters) recordEnd(job *job, status int, reason ending.Reason, now clock.Millis) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	labels := endLabels{Service: job.service, Status: status, Reason: reason}
	if _, known := counters.ends[labels]; !known && len(counters.ends) >= maxSeries {
		labels.Service = "other"
	}
	counters.ends[labels]++
	if job.stream.FirstAt > 0 {
		counters.recordStream(job)
	}
	if job.route != nil {
		counters.recordSteps(job, now)
	}
	if status/100 != 2 {
		return
	}
	at := now
	if job.stream.FirstAt > 0 {
		at = job.stream.FirstAt
		counters.gaps.observe(job.service, job.stream.LongestPause)
	}
	counters.latency.observe(job.service, at-job.arrived)
}

// proxyResult is what became of a request that was sent to a peer, or that a peer has sent.
type proxyResult string

// Results of requests that are sent to peers.
const (
	proxyAnswered proxyResult = "answered" // by a server
	proxyRefused  proxyResult = "refused"  // by the peer, for a reason that holds for other peers too
	proxyUnusable proxyResult = "unusable" // the peer did not take it, or gave no answer
	proxyReceived proxyResult = "received" // from a peer
	// proxyEntrySilent is the end of a request from a peer that no longer sends heartbeats.
	proxyEntrySilent proxyResult = "entry silent"
)

// recordProxied counts a request that was sent to a peer, or that a peer has sent.
func (counters *counters) recordProxied(result proxyResult) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.proxied[result]++
}

// recordEntrySilent counts requests that were ended as their entry was silent.
func (counters *counters) recordEntrySilent(requests int) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.proxied[proxyEntrySilent] += int64(requests)
}

// recordTakenUp counts a run that is ended as its stream has been taken up.
func (counters *counters) recordTakenUp() {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.takenUp++
}

// recordUnread counts a connection that is closed unread, as its caller has left.
func (counters *counters) recordUnread() {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.unread++
}

// recordOrigin counts a stream that is resumed.
func (counters *counters) recordOrigin(source originSource) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.origins[source]++
}

// maxRankSeries is the number of ranks that a metric distinguishes; the last one stands for all
// further ones.
const maxRankSeries = 10

// recordTurn counts how the prompt of a request was admitted in its last placement, and records
// how long it waited for a grant.
func (counters *counters) recordTurn(job *job) {
	if job.turn == prefill.Pending && job.turnsWithdrawn == 0 {
		return
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if job.turnsWithdrawn > 0 {
		counters.turns[prefill.Withdrawn] += int64(job.turnsWithdrawn)
	}
	if job.turn != prefill.Pending {
		counters.turns[job.turn]++
		counters.waits.observe(strconv.Itoa(min(max(job.rank, 0), maxRankSeries-1)), job.turnTime)
	}
}

// maxRecorded is the highest value that a histogram distinguishes, in milliseconds or tokens, with two
// significant figures.
const maxRecorded = 60_000

// observe records a time.
func (histograms histograms) observe(label string, value clock.Millis) {
	histograms.record(label, max(int64(value), 1))
}

// record records a value.
func (histograms histograms) record(label string, value int64) {
	histogram, ok := histograms[label]
	if !ok {
		if len(histograms) >= maxSeries {
			return
		}
		histogram = hdrhistogram.New(1, maxRecorded, 2)
		histograms[label] = histogram
	}
	_ = histogram.RecordValue(min(max(value, 0), maxRecorded)) // always in range
}

// write writes quantiles and counts under the names of a metric and its label.
func (histograms histograms) write(out io.Writer, name, label string) {
	for _, value := range slices.Sorted(maps.Keys(histograms)) {
		histogram := histograms[value]
		for _, quantile := range []float64{50, 95, 99} {
			_, _ = fmt.Fprintf(out, "%s{%s=%q,quantile=\"%g\"} %d\n", name, label, value, quantile/100, histogram.ValueAtQuantile(quantile))
		}
		_, _ = fmt.Fprintf(out, "%s_count{%s=%q} %d\n", name, label, value, histogram.TotalCount())
	}
}

// write writes the counters in the Prometheus text format.
func (counters *counters) write(out io.Writer) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	for labels, count := range counters.ends {
		_, _ = fmt.Fprintf(out, "teaselmoor_requests_total{service=%q,status=\"%d\",reason=%q} %d\n", labels.Service, labels.Status, labels.Reason, count)
	}
	counters.writeSent(out)
	counters.latency.write(out, "teaselmoor_latency_millis", "service")
	counters.gaps.write(out, "teaselmoor_stream_gap_millis", "service")
	for result, count := range counters.turns {
		_, _ = fmt.Fprintf(out, "teaselmoor_prompt_turns_total{result=%q} %d\n", result, count)
	}
	for source, count := range counters.origins {
		_, _ = fmt.Fprintf(out, "teaselmoor_streams_resumed_total{source=%q} %d\n", source, count)
	}
	_, _ = fmt.Fprintf(out, "teaselmoor_streams_taken_up_total %d\n", counters.takenUp)
	_, _ = fmt.Fprintf(out, "teaselmoor_connections_closed_unread_total %d\n", counters.unread)
	for result, count := range counters.proxied {
		_, _ = fmt.Fprintf(out, "teaselmoor_proxied_requests_total{result=%q} %d\n", result, count)
	}
	counters.waits.write(out, "teaselmoor_prompt_turn_millis", "rank")
	counters.writeStreams(out)
	counters.writeSteps(out)
	counters.writeRefusals(out)
}
