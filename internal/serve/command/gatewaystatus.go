package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/clock"
)

// metricsPath is the path of a gateway's metrics.
const metricsPath = "/metrics"

func gatewayFlag() cli.Flag {
	return &cli.StringFlag{Name: "gateway", Usage: "ask the gateway with the metrics address `IP:PORT`"}
}

// gatewayMetrics holds the metrics that a gateway serves, by name.
type gatewayMetrics map[string]*dto.MetricFamily

// showGatewayStatus prints the state of a gateway and the counts of its requests,
// as read from its metrics.
func showGatewayStatus(invocation *cli.Context, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return withCode(ExitUsage, errors.Errorf("-gateway %q: want an IP number and port", address))
	}
	metrics, err := fetchGatewayMetrics(invocation.Context, address)
	if err != nil {
		return err
	}
	if invocation.Bool("json") {
		return writeJSON(invocation, metrics)
	}
	metrics.print(invocation)
	return nil
}

// fetchGatewayMetrics reads and parses the metrics of a gateway.
func fetchGatewayMetrics(ctx context.Context, address string) (gatewayMetrics, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, nil)
	if err != nil {
		return nil, withCode(ExitUsage, errors.Wrap(err, "call the gateway"))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, withCode(ExitUnreachable, errors.Wrap(err, "call the gateway"))
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxAnswer))
	return families, errors.Wrap(err, "read the gateway's metrics")
}

// value returns the value of a metric without labels, or 0 if the gateway does not
// serve it.
func (metrics gatewayMetrics) value(name string) float64 {
	family, ok := metrics[name]
	if !ok || len(family.GetMetric()) == 0 {
		return 0
	}
	return family.GetMetric()[0].GetUntyped().GetValue()
}

func (metrics gatewayMetrics) print(invocation *cli.Context) {
	count := func(name string) int64 { return int64(metrics.value(name)) }
	store := "the store answers"
	if unreachable := count("teaselmoor_store_away_millis"); unreachable > 0 {
		store = fmt.Sprintf("the store has not answered for %s", formatAge(clock.Millis(unreachable)))
	}
	writeLine(invocation, "configuration version %d, store read up to revision %d; %s",
		count("teaselmoor_config_version"), count("teaselmoor_store_revision"), store)
	writeLine(invocation, "%d peers; %d servers, of which this gateway gives orders to %d",
		count("teaselmoor_peers"), count("teaselmoor_servers"), count("teaselmoor_servers_ordered"))
	writeLine(invocation, "%d adapters being loaded and %d waiting, at all servers; %d requests in progress here",
		count("teaselmoor_adapters_loading"), count("teaselmoor_adapters_queued"), count("teaselmoor_requests_in_progress"))
	writeLine(invocation, "%d orders given, %d connections to servers opened, %d log lines dropped",
		count("teaselmoor_orders_total"), count("teaselmoor_server_connections_opened_total"), count("teaselmoor_log_lines_dropped_total"))
	metrics.printLabelled(invocation, "requests ended:", "teaselmoor_requests_total", "service", "status", "reason")
	metrics.printLabelled(invocation, "latency to the first byte, in milliseconds:", "teaselmoor_latency_millis", "service", "quantile")
	metrics.printLabelled(invocation, "longest gap between events of a stream, in milliseconds:", "teaselmoor_stream_gap_millis", "service", "quantile")
	metrics.printLateStreams(invocation)
	for _, each := range []struct{ title, name string }{
		{"units a second that accounts use:", "teaselmoor_account_rate"},
		{"their limits:", "teaselmoor_account_limit"},
		{"units that they have left now:", "teaselmoor_account_left"},
	} {
		metrics.printLabelled(invocation, each.title, each.name, "account")
	}
	metrics.printSpeeds(invocation)
	metrics.printLabelled(invocation, "refusals that kept units for more urgent ranks:", "teaselmoor_account_reserve_refusals_total", "account")
	metrics.printLabelled(invocation, "time that refused callers were told to wait, in milliseconds:", "teaselmoor_retry_after_millis", "reason", "quantile")
	for _, each := range []struct{ title, name string }{
		{"requests that were refused as their plain service was overloaded:", "teaselmoor_requests_shed_total"},
		{"requests in progress for each slot of plain services:", "teaselmoor_plain_load"},
		{"the loads above which requests are refused:", "teaselmoor_plain_load_target"},
	} {
		metrics.printLabelled(invocation, each.title, each.name, "service")
	}
	metrics.printLabelled(invocation, "repeats left of the retry budget:", "teaselmoor_retry_budget_left", "service")
}

// printLateStreams prints how many streams of each service were late, by cause.
func (metrics gatewayMetrics) printLateStreams(invocation *cli.Context) {
	streams := metrics.sums("teaselmoor_streams_total", "service")
	late := metrics.sums("teaselmoor_late_streams_total", "service", "cause")
	writeLine(invocation, "\nlate streams: by their first event, by a pause, or by both; their number and their share of the service's")
	table := newTable(invocation)
	for _, labels := range slices.SortedFunc(maps.Keys(late), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) }) {
		table.row(labels[0], labels[1], late[labels], fmt.Sprintf("%.3f", late[labels]/max(1, streams[[2]string{labels[0]}])))
	}
	table.flush()
}

// sums returns the sums of a metric's series by at most two of their labels.
func (metrics gatewayMetrics) sums(name string, labels ...string) map[[2]string]float64 {
	sums := make(map[[2]string]float64)
	for _, metric := range metrics[name].GetMetric() {
		var values [2]string
		for i, label := range labels {
			values[i] = labelValue(metric, label)
		}
		sums[values] += metric.GetUntyped().GetValue()
	}
	return sums
}

// printSpeeds prints the speeds of servers, if the gateway estimates them, and the slowest servers
// with the ages of their estimates.
func (metrics gatewayMetrics) printSpeeds(invocation *cli.Context) {
	quantiles := metrics.byLabel("teaselmoor_server_speed", "quantile")
	if len(quantiles) == 0 {
		return
	}
	writeLine(invocation, "\nspeeds of servers, as multiples of the median of their service: %.2f to %.2f, median %.2f; %d slow ones",
		quantiles["0"], quantiles["1"], quantiles["0.5"], int64(metrics.value("teaselmoor_servers_slow")))
	writeLine(invocation, "slowest servers: speed, milliseconds between two events, age of the estimate")
	speeds := metrics.byLabel("teaselmoor_slowest_server_speed", "server")
	intervals := metrics.byLabel("teaselmoor_slowest_server_interval_millis", "server")
	ages := metrics.byLabel("teaselmoor_slowest_server_age_millis", "server")
	table := newTable(invocation)
	for _, server := range slices.SortedFunc(maps.Keys(speeds), func(a, b string) int {
		return cmp.Or(cmp.Compare(speeds[a], speeds[b]), cmp.Compare(a, b))
	}) {
		table.row(server, speeds[server], intervals[server], formatAge(clock.Millis(ages[server])))
	}
	table.flush()
}

// byLabel returns the values of a metric by one of its labels.
func (metrics gatewayMetrics) byLabel(name, label string) map[string]float64 {
	values := make(map[string]float64)
	for _, metric := range metrics[name].GetMetric() {
		values[labelValue(metric, label)] = metric.GetUntyped().GetValue()
	}
	return values
}

// printLabelled prints the series of a metric as a table: a column for each label
// and one for the value.
func (metrics gatewayMetrics) printLabelled(invocation *cli.Context, title, name string, labels ...string) {
	writeLine(invocation, "\n%s", title)
	var rows [][]any
	for _, metric := range metrics[name].GetMetric() {
		var row []any
		for _, label := range labels {
			row = append(row, labelValue(metric, label))
		}
		rows = append(rows, append(row, metric.GetUntyped().GetValue()))
	}
	slices.SortFunc(rows, func(a, b []any) int { return cmp.Compare(fmt.Sprint(a...), fmt.Sprint(b...)) })
	table := newTable(invocation)
	for _, row := range rows {
		table.row(row...)
	}
	table.flush()
}

// labelValue returns the value of a label, or "" if the metric does not have it.
func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
