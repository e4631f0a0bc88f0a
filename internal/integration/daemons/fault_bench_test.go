package daemons_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/faultproxy"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/site"
)

const (
	// observationTime is how long calls are made after a fault.
	observationTime = 15 * time.Second
	// callInterval is the time between two calls.
	callInterval = 20 * time.Millisecond
	// listDelay is the time until the VM list no longer names a killed daemon.
	listDelay = time.Second
)

// fault is one fault to measure.
type fault struct {
	checksFencing bool
	options       func(*site.Options)
	// inject injects the fault and returns the index of the daemon to call after it.
	inject func(testSite *harness.Site, owner, entry int) int
}

func killOwner(testSite *harness.Site, owner, entry int) int {
	testSite.Daemons[owner].Kill()
	time.AfterFunc(listDelay, func() { testSite.SetVMs(testSite.VMsWithout(owner)) })
	return entry
}

// killListedOwner kills the owner but does not remove it from the VM list, so that no
// daemon takes over an engine that ignores fencing numbers. It is the baseline.
func killListedOwner(testSite *harness.Site, owner, entry int) int {
	testSite.Daemons[owner].Kill()
	return entry
}

func killEntry(testSite *harness.Site, owner, entry int) int {
	testSite.Daemons[entry].Kill()
	time.AfterFunc(listDelay, func() { testSite.SetVMs(testSite.VMsWithout(entry)) })
	return testSite.OtherThan(entry)
}

// cutDataCentre freezes all links of the owner and of the engine, as when their data
// centre is cut off.
func cutDataCentre(testSite *harness.Site, owner, entry int) int {
	frozen := faultproxy.Faults{FreezeToTarget: true, FreezeFromTarget: true}
	testSite.Isolate(owner, frozen)
	testSite.EngineProxies[onlyEngine].Set(frozen)
	return entry
}

// BenchmarkFaultToService makes repeatable calls at a steady rate. It measures the
// time from a fault to the first answer to a call made after it, and the results of
// the calls made within observationTime.
func BenchmarkFaultToService(b *testing.B) {
	threeCentres := func(options *site.Options) {
		options.Engines = 3
		options.Deployments[0].DataCentres = []string{"north-a", "north-b", "north-c"}
	}
	for name, fault := range map[string]fault{
		"owner-killed/fencing-checked":    {checksFencing: true, inject: killOwner},
		"owner-killed/fencing-ignored":    {inject: killOwner},
		"owner-killed/no-takeover":        {inject: killListedOwner},
		"entry-killed":                    {inject: killEntry},
		"data-centre-cut":                 {checksFencing: true, options: threeCentres, inject: cutDataCentre},
		"data-centre-cut/fencing-ignored": {options: threeCentres, inject: cutDataCentre},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measureFault(b, fault)
			}
		})
	}
}

func measureFault(b *testing.B, fault fault) {
	options := oneEngineOptions()
	options.Engine.ChecksFencing = fault.checksFencing
	options.Engine.StepInterval = 2 * time.Millisecond
	if fault.options != nil {
		fault.options(&options)
	}
	testSite := harness.Prepare(b, options)
	for _, daemon := range testSite.Daemons {
		daemon.Start()
	}
	for _, daemon := range testSite.Daemons {
		daemon.WaitReady()
	}
	owner, entry := ownerAndEntry(testSite)
	model := adapterServedBy(testSite, testSite.Daemons[entry], onlyEngine)
	injectedAt := time.Now()
	called := fault.inject(testSite, owner, entry)
	calls := callSteadily(testSite, testSite.Daemons[called], model)
	reportFault(b, testSite, injectedAt, calls)
}

// adapterServedBy returns a repeatable adapter whose calls run at an engine.
func adapterServedBy(testSite *harness.Site, daemon *harness.Daemon, engine ident.EngineID) string {
	for _, adapter := range testSite.Config.Adapters {
		model := adapter.Address().String()
		if adapter.Labels["task"] != "review" {
			continue
		}
		call := harness.NewCall(model, 1)
		testSite.WaitFor("an answer", func() bool { return daemon.Do(call).Kind == outcome.Answered })
		for _, entry := range testSite.Engines[engine].Ledger() {
			if entry.Prompt == call.Prompt {
				return model
			}
		}
	}
	require.FailNow(testSite.T, "no adapter runs at the engine", "%s", engine)
	return ""
}

// observedCall is one call after a fault.
type observedCall struct {
	call   harness.Call
	result harness.Result
	ended  time.Time
}

// callSteadily makes calls at a steady rate for observationTime and waits until all
// have ended.
func callSteadily(testSite *harness.Site, daemon *harness.Daemon, model string) []observedCall {
	count := int(observationTime / callInterval)
	calls := make([]observedCall, count)
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var ended sync.WaitGroup
	for i := range calls {
		calls[i].call = harness.NewCall(model, 10).WithStreaming()
		ended.Add(1)
		go func() {
			defer ended.Done()
			calls[i].result = daemon.Do(calls[i].call)
			calls[i].ended = time.Now()
		}()
		<-ticker.C
	}
	ended.Wait()
	return calls
}

func reportFault(b *testing.B, testSite *harness.Site, injectedAt time.Time, calls []observedCall) {
	counts := map[outcome.Kind]int{}
	first := time.Duration(0)
	for _, each := range calls {
		testSite.CheckResult(each.call, each.result)
		counts[each.result.Kind]++
		if took := each.ended.Sub(injectedAt); each.result.Kind == outcome.Answered && (first == 0 || took < first) {
			first = took
		}
	}
	require.Len(b, calls, counts[outcome.Answered]+counts[outcome.NotRun]+counts[outcome.Unknown]+counts[""])
	b.ReportMetric(float64(first.Milliseconds()), "ms-to-service")
	b.ReportMetric(100*float64(counts[outcome.Answered])/float64(len(calls)), "%answered")
	b.ReportMetric(100*float64(counts[outcome.NotRun])/float64(len(calls)), "%not-run")
	b.ReportMetric(100*float64(counts[outcome.Unknown]+counts[""])/float64(len(calls)), "%unknown")
	testSite.CheckEngines()
}
