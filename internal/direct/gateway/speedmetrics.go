package gateway

import (
	"fmt"
	"io"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/speed"
)

// maxSlowServers is the number of servers that are listed in the metrics by name.
const maxSlowServers = 20

// speedMetrics are the metrics of server speeds at one time.
type speedMetrics struct {
	active  bool // speeds are estimated
	summary speed.Summary
	slowest []serverSpeed
	fading  int // estimates that fade because the owners of their servers cannot be reached
}

// serverSpeed is the speed of one server.
type serverSpeed struct {
	speed.Status
	factor, interval float64
}

// readSpeedMetrics reads the metrics of server speeds. The mutex must be held.
func (core *core) readSpeedMetrics(now clock.Millis) speedMetrics {
	if !core.speeds.active {
		return speedMetrics{}
	}
	metrics := speedMetrics{active: true, summary: core.speeds.table.Summary(now), fading: core.speeds.fading}
	for _, status := range core.speeds.table.Slowest(now, maxSlowServers) {
		metrics.slowest = append(metrics.slowest, serverSpeed{
			Status: status, factor: core.speedFactor(now, status.Server), interval: core.eventInterval(now, status.Server),
		})
	}
	return metrics
}

// write writes the metrics, if speeds are estimated.
func (speedMetrics speedMetrics) write(out io.Writer) {
	if !speedMetrics.active {
		return
	}
	summary := speedMetrics.summary
	writeGauge(out, gauge{"teaselmoor_servers_slow", float64(summary.Slow)})
	writeGauge(out, gauge{"teaselmoor_speeds_unconfirmed", float64(speedMetrics.fading)})
	for _, each := range []struct{ quantile, factor float64 }{{0, summary.Smallest}, {0.5, summary.Median}, {1, summary.Largest}} {
		_, _ = fmt.Fprintf(out, "teaselmoor_server_speed{quantile=\"%g\"} %g\n", each.quantile, each.factor)
	}
	for _, each := range speedMetrics.slowest {
		_, _ = fmt.Fprintf(out, "teaselmoor_slowest_server_speed{server=%q} %.2f\n", each.Server, each.factor)
		_, _ = fmt.Fprintf(out, "teaselmoor_slowest_server_interval_millis{server=%q} %.1f\n", each.Server, each.interval)
		_, _ = fmt.Fprintf(out, "teaselmoor_slowest_server_age_millis{server=%q} %d\n", each.Server, each.Age)
	}
}
