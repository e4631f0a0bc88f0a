package peers

import (
	"math"

	"teaselmoor/internal/direct/speed"
)

// The wire types of server speeds. Intervals are in tenths of a millisecond; the interval of an
// idle estimate is negative.
type (
	wireStreamReport struct {
		_                struct{} `cbor:",toarray"`
		Server           string
		Born             int64
		Interval, Events int
	}
	wireSpeed struct {
		_                   struct{} `cbor:",toarray"`
		Server              string
		Born, Fence, Number int64
		Interval            int
	}
)

// maxIntervalTenths bounds an interval on the wire to about half an hour.
const maxIntervalTenths = 1 << 24

// tenths returns an interval in tenths of a millisecond.
func tenths(interval float64) int {
	return int(math.Round(min(max(interval, 0)*10, maxIntervalTenths)))
}

// encodeStreams returns the wire form of reports on streams.
func encodeStreams(reports []speed.Report) []wireStreamReport {
	var wire []wireStreamReport
	for _, report := range reports {
		wire = append(wire, wireStreamReport{Server: report.Server, Born: report.Born, Interval: tenths(report.Interval), Events: report.Events})
	}
	return wire
}

// decodeStreams returns the reports on streams of a message.
func decodeStreams(wire []wireStreamReport) []speed.Report {
	var reports []speed.Report
	for _, each := range wire {
		reports = append(reports, speed.Report{Server: each.Server, Born: each.Born, Interval: float64(each.Interval) / 10, Events: each.Events})
	}
	return reports
}

// encodeSpeeds returns the wire form of estimates.
func encodeSpeeds(estimates []speed.Estimate) []wireSpeed {
	var wire []wireSpeed
	for _, estimate := range estimates {
		encoded := wireSpeed{Server: estimate.Server, Born: estimate.Born, Fence: estimate.Fence, Number: estimate.Number, Interval: tenths(estimate.Interval)}
		if estimate.Idle {
			encoded.Interval = -encoded.Interval
		}
		wire = append(wire, encoded)
	}
	return wire
}

// decodeSpeeds returns the estimates of a message.
func decodeSpeeds(wire []wireSpeed) []speed.Estimate {
	var estimates []speed.Estimate
	for _, each := range wire {
		estimates = append(estimates, speed.Estimate{
			Server: each.Server, Born: each.Born, Fence: each.Fence, Number: each.Number,
			Interval: math.Abs(float64(each.Interval)) / 10, Idle: each.Interval < 0,
		})
	}
	return estimates
}
