// Package report turns the results of replays into tables and plots. Figures are
// means over seeds, with the standard deviation as the spread.
package report

import (
	"gonum.org/v1/gonum/stat"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/replay/experiment"
)

// Column is one figure that is computed from the result of a replay.
type Column struct {
	Name  string
	Value func(result experiment.Result) float64
}

// Summary holds a policy's figures at one rate over several seeds.
type Summary struct {
	Site   string
	Policy string
	Rate   float64
	Seeds  int
	// Mean and Spread hold a value for each column; Spread is the standard deviation.
	Mean, Spread []float64
}

// Summarise computes the summary of one policy's results at one rate.
func Summarise(columns []Column, results []experiment.Result) Summary {
	setup := results[0].Setup
	summary := Summary{Site: setup.Site.Profile.Name, Policy: setup.Policy.Name, Rate: setup.Rate, Seeds: len(results)}
	for _, column := range columns {
		values := make([]float64, 0, len(results))
		for _, result := range results {
			values = append(values, column.Value(result))
		}
		mean, spread := values[0], 0.0
		if len(values) > 1 {
			mean, spread = stat.MeanStdDev(values, nil)
		}
		summary.Mean = append(summary.Mean, mean)
		summary.Spread = append(summary.Spread, spread)
	}
	return summary
}

// Columns returns the figures of the standard table.
func Columns() []Column {
	var columns []Column
	for _, class := range experiment.Classes() {
		columns = append(columns,
			Column{Name: class.String() + " stall mean ms", Value: func(result experiment.Result) float64 {
				return result.Classes[class].Stall.Mean()
			}},
			Column{Name: class.String() + " stall p50 ms", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Stall.ValueAtQuantile(50))
			}},
			Column{Name: class.String() + " stall p99 ms", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Stall.ValueAtQuantile(99))
			}},
			Column{Name: class.String() + " latency p50 ms", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Latency.ValueAtQuantile(50))
			}},
			Column{Name: class.String() + " latency p99 ms", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Latency.ValueAtQuantile(99))
			}},
			Column{Name: class.String() + " missed", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Missed)
			}},
			Column{Name: class.String() + " refused", Value: func(result experiment.Result) float64 {
				return float64(result.Classes[class].Refused)
			}},
		)
	}
	return append(columns, totals()...)
}

func totals() []Column {
	columns := []Column{
		{Name: "stall mean ms", Value: allStallMean},
		{Name: "stall p99 ms", Value: allStallP99},
		{Name: "requests", Value: requests},
		{Name: "goodput /s", Value: experiment.Result.Goodput},
		{Name: "batch %", Value: func(result experiment.Result) float64 { return 100 * result.BatchEfficiency() }},
		{Name: "store %", Value: func(result experiment.Result) float64 { return 100 * result.StoreShare }},
		{Name: "loads", Value: func(result experiment.Result) float64 { return float64(result.Loads) }},
		{Name: "duplicate loads", Value: func(result experiment.Result) float64 { return float64(result.DuplicateLoads) }},
		{Name: "failed loads", Value: func(result experiment.Result) float64 { return float64(result.FailedLoads) }},
		{Name: "evictions", Value: func(result experiment.Result) float64 { return float64(result.Evictions) }},
		{Name: "without outcome", Value: func(result experiment.Result) float64 { return float64(result.WithoutOutcome) }},
	}
	for _, reason := range []outcome.Reason{
		outcome.DeadlinePassed, outcome.DeadlineUnreachable, outcome.QueueFull, outcome.LoadFailed,
		outcome.OwnerLost, outcome.NoEngine, outcome.NotOwner, outcome.EngineRestarted, outcome.EngineLost, outcome.Cancelled,
	} {
		columns = append(columns, Column{Name: string(reason), Value: func(result experiment.Result) float64 {
			return float64(result.Refusals[reason])
		}})
	}
	return columns
}

func requests(result experiment.Result) float64 {
	total := 0
	for class := range result.Classes {
		total += result.Classes[class].Requests
	}
	return float64(total)
}

func allStallMean(result experiment.Result) float64 {
	return result.AllStalls().Mean()
}

func allStallP99(result experiment.Result) float64 {
	return float64(result.AllStalls().ValueAtQuantile(99))
}
