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
	// observed is the span after a fault in which calls are counted.
	observed = 15 * time.Second
	// callInterval paces the calls of a measurement.
	callInterval = 20 * time.Millisecond
	// listSpan is how long after a VM's end the VM list shows it.
	listSpan = time.Second
)

// fault is one measured fault.
type fault struct {
	checksFencing bool
	options       func(*site.Options)
	// strike brings the fault about; it returns the daemon that is called then.
	strike func(running *harness.Site, owner, entry int) int
}

func killOwner(running *harness.Site, owner, entry int) int {
	running.Daemons[owner].Kill()
	time.AfterFunc(listSpan, func() { running.SetVMs(running.Without(owner)) })
	return entry
}

// killOwnerUnlisted leaves the VM list as it is: nobody takes over an engine
// that ignores fencing numbers. It is the baseline.
func killOwnerUnlisted(running *harness.Site, owner, entry int) int {
	running.Daemons[owner].Kill()
	return entry
}

func killEntry(running *harness.Site, owner, entry int) int {
	running.Daemons[entry].Kill()
	time.AfterFunc(listSpan, func() { running.SetVMs(running.Without(entry)) })
	return running.OtherThan(entry)
}

// cutDataCentre loses the owner's data centre: its daemon and its engine.
func cutDataCentre(running *harness.Site, owner, entry int) int {
	frozen := faultproxy.Faults{FreezeThere: true, FreezeBack: true}
	running.Isolate(owner, frozen)
	running.EngineProxies[onlyEngine].Set(frozen)
	return entry
}

// BenchmarkFaultToService measures, at a steady rate of repeatable calls, the
// time from a fault to the first answer to a call made after it, and what the
// callers were told within the observed span.
func BenchmarkFaultToService(b *testing.B) {
	threeCentres := func(options *site.Options) {
		options.Engines = 3
		options.Deployments[0].DataCentres = []string{"north-a", "north-b", "north-c"}
	}
	for name, measured := range map[string]fault{
		"owner-killed/fencing-checked":    {checksFencing: true, strike: killOwner},
		"owner-killed/fencing-ignored":    {strike: killOwner},
		"owner-killed/no-takeover":        {strike: killOwnerUnlisted},
		"entry-killed":                    {strike: killEntry},
		"data-centre-cut":                 {checksFencing: true, options: threeCentres, strike: cutDataCentre},
		"data-centre-cut/fencing-ignored": {options: threeCentres, strike: cutDataCentre},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measure(b, measured)
			}
		})
	}
}

func measure(b *testing.B, measured fault) {
	options := oneEngine()
	options.Engine.ChecksFencing = measured.checksFencing
	options.Engine.StepInterval = 2 * time.Millisecond
	if measured.options != nil {
		measured.options(&options)
	}
	running := harness.Prepare(b, options)
	for _, daemon := range running.Daemons {
		daemon.Start()
	}
	for _, daemon := range running.Daemons {
		daemon.WaitReady()
	}
	owner, entry := ownerAndEntry(running)
	model := servedBy(running, running.Daemons[entry], onlyEngine)
	from := time.Now()
	at := measured.strike(running, owner, entry)
	calls := observe(running, running.Daemons[at], model)
	report(b, running, from, calls)
}

// servedBy finds a repeatable adapter whose calls run on an engine.
func servedBy(running *harness.Site, daemon *harness.Daemon, engine ident.EngineID) string {
	for _, adapter := range running.Config.Adapters {
		model := adapter.Address().String()
		if adapter.Labels["task"] != "review" {
			continue
		}
		call := harness.NewCall(model, 1)
		running.WaitFor("an answer", func() bool { return daemon.Do(call).Kind == outcome.Answered })
		for _, entry := range running.Engines[engine].Ledger() {
			if entry.Prompt == call.Prompt {
				return model
			}
		}
	}
	require.FailNow(running.T, "no adapter runs there", "%s", engine)
	return ""
}

// observedCall is one call after a fault.
type observedCall struct {
	call  harness.Call
	told  harness.Told
	ended time.Time
}

// observe calls at a steady rate for the observed span and waits for all ends.
func observe(running *harness.Site, daemon *harness.Daemon, model string) []observedCall {
	count := int(observed / callInterval)
	calls := make([]observedCall, count)
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var ended sync.WaitGroup
	for i := range calls {
		calls[i].call = harness.NewCall(model, 10).Streamed()
		ended.Add(1)
		go func() {
			defer ended.Done()
			calls[i].told = daemon.Do(calls[i].call)
			calls[i].ended = time.Now()
		}()
		<-ticker.C
	}
	ended.Wait()
	return calls
}

func report(b *testing.B, running *harness.Site, from time.Time, calls []observedCall) {
	told := map[outcome.Kind]int{}
	first := time.Duration(0)
	for _, each := range calls {
		running.Judge(each.call, each.told)
		told[each.told.Kind]++
		if took := each.ended.Sub(from); each.told.Kind == outcome.Answered && (first == 0 || took < first) {
			first = took
		}
	}
	require.Len(b, calls, told[outcome.Answered]+told[outcome.NotRun]+told[outcome.Unknown]+told[""])
	b.ReportMetric(float64(first.Milliseconds()), "ms-to-service")
	b.ReportMetric(100*float64(told[outcome.Answered])/float64(len(calls)), "%answered")
	b.ReportMetric(100*float64(told[outcome.NotRun])/float64(len(calls)), "%not-run")
	b.ReportMetric(100*float64(told[outcome.Unknown]+told[""])/float64(len(calls)), "%unknown")
	running.JudgeEngines()
}
