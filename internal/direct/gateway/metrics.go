package gateway

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/quota"
)

// gauge is a metric of the current state.
type gauge struct {
	name  string
	value float64
}

// collectorTimeout bounds the time in which a collector has to read the metrics, so that collectors
// that do not read hold no connections and pages for longer.
const collectorTimeout = 30 * time.Second

// serveMetrics serves counters and gauges in the Prometheus text format. No mutex is held while the
// collector reads: with one that did not read, no request was placed, as none was logged as ended.
func (gateway *Gateway) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	gateway.writeMetrics(&page)
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(collectorTimeout)) // the server always supports it
	_, _ = writer.Write(page.Bytes())                                                         // the collector may have disconnected
}

// writeMetrics writes the metrics to memory: it holds the mutex of the counters meanwhile.
func (gateway *Gateway) writeMetrics(page *bytes.Buffer) {
	gateway.counters.write(page)
	gateway.core.writeGauges(page)
	gateway.writePeerTraffic(page)
	gateway.writeIntake(page)
	gateway.writeFootprint(page)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	writeGauge(page, gauge{"teaselmoor_heap_bytes", float64(memory.HeapInuse)})
	writeGauge(page, gauge{"teaselmoor_goroutines", float64(runtime.NumGoroutine())})
	writeGauge(page, gauge{"teaselmoor_server_connections_opened_total", float64(gateway.pool.Opened())})
	writeStrays(page, "server", gateway.pool.Strays())
	writeStrays(page, "peer", gateway.peerPool.Strays())
	if gateway.options.Dropped != nil {
		writeGauge(page, gauge{"teaselmoor_log_lines_dropped_total", float64(gateway.options.Dropped())})
	}
}

// boolGauge is the value of a gauge that is 1 for true.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func writeGauge(out io.Writer, gauge gauge) {
	_, _ = fmt.Fprintf(out, "%s %g\n", gauge.name, gauge.value) // the collector may have disconnected
}

// coreMetrics are the metrics of a daemon's state at one time.
type coreMetrics struct {
	gauges   []gauge
	speeds   speedMetrics
	accounts []quota.Status
	budgets  map[string]float64 // by service
	services bytes.Buffer       // formatted metrics of single services
}

// readMetrics reads the metrics of this daemon's state, accounts and retry budgets.
func (core *core) readMetrics() *coreMetrics {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	metrics := &coreMetrics{
		gauges: core.gauges(now), speeds: core.readSpeedMetrics(now),
		accounts: core.ledger.Statuses(now, maxSeries), budgets: make(map[string]float64, len(core.budgets)),
	}
	for service, budget := range core.budgets {
		metrics.budgets[service] = budget.Remaining(now, core.retryAllowance.Share(now))
	}
	core.writeShedding(&metrics.services)
	return metrics
}

// writeGauges writes the metrics of this daemon's state.
func (core *core) writeGauges(out io.Writer) {
	metrics := core.readMetrics()
	for _, each := range metrics.gauges {
		writeGauge(out, each)
	}
	_, _ = out.Write(metrics.services.Bytes())
	metrics.speeds.write(out)
	for _, status := range metrics.accounts {
		writeUse(out, status)
	}
	for _, service := range slices.Sorted(maps.Keys(metrics.budgets)) {
		_, _ = fmt.Fprintf(out, "teaselmoor_retry_budget_left{service=%q} %g\n", service, metrics.budgets[service])
	}
}

// writeUse writes an account's use of its limit. Account names come from the configuration, not
// from callers.
func writeUse(out io.Writer, status quota.Status) {
	for _, each := range []gauge{
		{"teaselmoor_account_rate", status.Rate}, {"teaselmoor_account_limit", status.Limit}, {"teaselmoor_account_left", status.Left},
	} {
		_, _ = fmt.Fprintf(out, "%s{account=%q} %g\n", each.name, status.Account, each.value)
	}
}

// ownRequests is the number of this daemon's requests at servers. The mutex must be held.
func (core *core) ownRequests() int {
	count := 0
	for _, load := range core.work.Own().Loads {
		count += load.Runs
	}
	return count
}

// gauges returns the gauges without labels. The mutex must be held.
func (core *core) gauges(now clock.Millis) []gauge {
	version := int64(0)
	if core.catalog != nil {
		version = core.catalog.Version
	}
	unreachable := clock.Millis(0)
	if core.outages.FailingSince() > 0 {
		unreachable = core.storeFailsFor(now)
	}
	loading, queued := core.incomingAdapters()
	suspectContents, refusedContents := core.quarantine.Counts(now)
	plainLowest, plainHighest := core.loadAverage.Range()
	return []gauge{
		{"teaselmoor_streams_recorded", float64(core.origins.records.Count())},
		{"teaselmoor_software_versions_mixed", boolGauge(core.origins.history.Several(now))},
		{"teaselmoor_cut_off", boolGauge(core.links.CutOff())},
		{"teaselmoor_services_brittle", float64(core.brittle.Count())},
		{"teaselmoor_servers_limited", float64(core.serverLimits.LimitedCount())},
		{"teaselmoor_servers_resting", float64(core.pausedServers(now))},
		{"teaselmoor_contents_refused", float64(refusedContents)},
		{"teaselmoor_contents_suspect", float64(suspectContents)},
		{"teaselmoor_config_version", float64(version)},
		{"teaselmoor_store_revision", float64(core.store.revision)},
		{"teaselmoor_store_away_millis", float64(unreachable)},
		{"teaselmoor_peers", float64(len(core.members.Peers()))},
		{"teaselmoor_servers", float64(len(core.fleet.Members()))},
		{"teaselmoor_servers_ordered", float64(len(core.orderWorkers))},
		{"teaselmoor_plain_load_lowest", plainLowest},
		{"teaselmoor_plain_load_highest", plainHighest},
		{"teaselmoor_adapters_loading", float64(loading)},
		{"teaselmoor_adapters_queued", float64(queued)},
		{"teaselmoor_requests_in_progress", float64(core.ownRequests())},
		{"teaselmoor_prompts_waiting", float64(core.promptsWaiting())},
		{"teaselmoor_prompts_reported_total", float64(core.turns.reported)},
		{"teaselmoor_owners_silent", float64(core.turns.requester.SilentOwners(now))},
		{"teaselmoor_orders_total", float64(core.ordersSent)},
		{"teaselmoor_retry_share", core.retryAllowance.Share(now).Retries},
		{"teaselmoor_retry_share_borrowed", core.retryAllowance.Borrowed()},
		{"teaselmoor_retry_share_daemons", float64(core.members.RunningCount())},
		{"teaselmoor_limit_daemons_counted", float64(core.ledger.Site().Reached)},
	}
}
