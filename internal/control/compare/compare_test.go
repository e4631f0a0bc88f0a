package compare_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/compare"
	"teaselmoor/internal/control/config"
)

// document returns a configuration with 4 callers, 5 review adapters, 5 draft
// adapters and one service.
func document() config.Config {
	document := config.Config{
		Version:      4,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Services:     []config.Service{{Name: "records", Addresses: []string{"10.0.0.1:80"}, Labels: map[string]string{"kind": "records"}}},
		Rules: []config.Rule{
			{Name: "reviews", Adapters: "task=review", Class: "Urgent", DeadlineMillis: 5000, Repeatable: true},
			{Name: "drafts", Adapters: "task=draft", Class: "Routine", DeadlineMillis: 30_000, Repeatable: true, Engines: "site=north"},
			{Name: "records", Services: "kind=records", Class: "Urgent", DeadlineMillis: 5000},
		},
	}
	for _, name := range []ident.EngineID{"runner-1", "runner-2", "runner-3"} {
		document.Engines = append(document.Engines, config.Engine{
			Name: name, Address: "10.0.1.1:80", DataCentre: "a", Region: "r",
			BaseModel: "base", Store: "weights", Slots: 4, MaxRuns: 8, Labels: map[string]string{"site": "north"},
		})
	}
	for i := range 4 {
		document.Callers = append(document.Callers, config.Caller{
			Name: fmt.Sprintf("employer-%d", i), KeyHash: config.HashKey(fmt.Sprint(i)), Labels: map[string]string{"kind": "employer"},
		})
	}
	for i := range 10 {
		task := []string{"review", "draft"}[i%2]
		document.Adapters = append(document.Adapters, config.Adapter{
			Name: fmt.Sprintf("%s-%d", task, i), Version: "1", BaseModel: "base", Labels: map[string]string{"task": task},
		})
	}
	return document
}

// compareTo compares document with a changed copy of it.
func compareTo(t *testing.T, change func(*config.Config)) compare.Report {
	t.Helper()
	before, err := config.Compile(document())
	require.NoError(t, err)
	changed := document()
	changed.Version++
	change(&changed)
	after, err := config.Compile(changed)
	require.NoError(t, err)
	return compare.Compare(before, after)
}

func TestCompare(t *testing.T) {
	cases := []struct {
		name   string
		change func(*config.Config)
		want   []compare.Effect
	}{
		{"no change", func(*config.Config) {}, nil},
		{"a rule is removed", func(changed *config.Config) { changed.Rules = changed.Rules[1:] }, []compare.Effect{
			{Kind: compare.Refused, Count: 20, Examples: []compare.Example{{"employer-0", "review-0@1", "rule reviews", "no rule matches"}}},
		}},
		{"an adapter is removed", func(changed *config.Config) { changed.Adapters = changed.Adapters[1:] }, []compare.Effect{
			{Kind: compare.Refused, Count: 4, Examples: []compare.Example{{"employer-0", "review-0@1", "rule reviews", "adapter version or service not defined"}}},
		}},
		{"a caller is added", func(changed *config.Config) {
			changed.Callers = append(changed.Callers, config.Caller{Name: "late", KeyHash: config.HashKey("late")})
		}, []compare.Effect{
			{Kind: compare.Permitted, Count: 11, Examples: []compare.Example{
				{"late", "review-0@1", "caller not defined", "rule reviews"},
				{"late", "draft-1@1", "caller not defined", "rule drafts"},
				{"late", "records", "caller not defined", "rule records"},
			}},
		}},
		{"an engine is set leaving", func(changed *config.Config) { changed.Engines[2].Leaving = true }, []compare.Effect{
			{Kind: compare.Moved, Count: 40, Examples: []compare.Example{
				{"employer-0", "review-0@1", "runner-1, runner-2, runner-3", "runner-1, runner-2"},
				{"employer-0", "draft-1@1", "runner-1, runner-2, runner-3", "runner-1, runner-2"},
			}},
		}},
		{"a rule no longer matches an engine", func(changed *config.Config) { changed.Rules[1].Engines = "site=south" }, []compare.Effect{
			{Kind: compare.Refused, Count: 20, Examples: []compare.Example{{"employer-0", "draft-1@1", "rule drafts", "rule drafts permits no engine in service"}}},
		}},
		{"a rule changes", func(changed *config.Config) {
			changed.Rules[0].Class, changed.Rules[0].DeadlineMillis, changed.Rules[0].Repeatable = "Routine", 9000, false
		}, []compare.Effect{
			{Kind: compare.Urgency, Count: 20, Examples: []compare.Example{{"employer-0", "review-0@1", "Urgent", "Routine"}}},
			{Kind: compare.Deadline, Count: 20, Examples: []compare.Example{{"employer-0", "review-0@1", "5000 ms", "9000 ms"}}},
			{Kind: compare.Repeatable, Count: 20, Examples: []compare.Example{{"employer-0", "review-0@1", "true", "false"}}},
		}},
		{"a caller's account changes", func(changed *config.Config) {
			changed.Callers[1].KeyHash, changed.Callers[1].RequestsPerSecond, changed.Callers[1].Burst = config.HashKey("new"), 5, 10
		}, []compare.Effect{
			{Kind: compare.CallerKey, Count: 1, Examples: []compare.Example{{"employer-1", "", "former key", "another key"}}},
			{Kind: compare.CallerLimit, Count: 1, Examples: []compare.Example{{"employer-1", "", "no limit", "5 a second, burst 10"}}},
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			report := compareTo(t, each.change)
			require.Equal(t, each.want, report.Effects)
			require.Equal(t, uint64(4), report.FromVersion)
			require.Equal(t, uint64(5), report.ToVersion)
		})
	}
}

// BenchmarkCompare compares two configurations of the expected size, in which
// every added adapter and caller has a label value of its own.
func BenchmarkCompare(b *testing.B) {
	large := document()
	for i := range 15_000 {
		large.Adapters = append(large.Adapters, config.Adapter{
			Name: fmt.Sprintf("own-%d", i), Version: "1", BaseModel: "base",
			Labels: map[string]string{"task": []string{"review", "draft"}[i%2], "employer": fmt.Sprint(i)},
		})
	}
	for i := range 1000 {
		large.Callers = append(large.Callers, config.Caller{
			Name: fmt.Sprintf("own-%d", i), KeyHash: config.HashKey(fmt.Sprint("own", i)), Labels: map[string]string{"employer": fmt.Sprint(i)},
		})
	}
	before, err := config.Compile(large)
	require.NoError(b, err)
	large.Version++
	large.Rules = large.Rules[1:]
	after, err := config.Compile(large)
	require.NoError(b, err)
	for b.Loop() {
		require.Len(b, compare.Compare(before, after).Effects, 1)
	}
}
