package daemons_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/faultproxy"
	"teaselmoor/internal/integration/harness"
)

// waitUntilServing waits until calls for an adapter are answered again. It checks
// every result until then.
func waitUntilServing(testSite *harness.Site, entry *harness.Daemon, model string) {
	testSite.WaitFor("calls to be answered again", func() bool {
		call := harness.NewCall(model, 3).WithKey()
		result := entry.Do(call)
		testSite.CheckResult(call, result)
		return result.Kind == outcome.Answered
	})
}

// TestCutAroundDispatch cuts the connection to the engine at many points, from the
// first byte of a run's request to well into the answer. Wherever the cut falls,
// the result that the caller gets must agree with the engine's ledger.
func TestCutAroundDispatch(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("quote")
	waitUntilVouched(testSite, daemon, model)
	proxy := testSite.EngineProxies[onlyEngine]
	cuts := []faultproxy.Faults{}
	for limit := int64(1); limit < 900; limit += 60 {
		cuts = append(cuts,
			faultproxy.Faults{CutToTarget: limit, CountFrom: "POST /v1/completions"}, faultproxy.Faults{CutFromTarget: limit})
	}
	counts := map[outcome.Kind]int{}
	for _, faults := range cuts {
		proxy.Set(faults)
		call := harness.NewCall(model, 20).WithStreaming().WithKey()
		result := daemon.Do(call)
		proxy.Set(faultproxy.Faults{})
		testSite.CheckResult(call, result)
		counts[result.Kind]++
	}
	t.Log("results by kind", counts)
	waitUntilServing(testSite, daemon, model)
	testSite.CheckEngines()
}

// TestCutBetweenDaemons cuts the connection between entry and owner at many points
// in either direction. Wherever the cut falls, the result that the caller gets must
// agree with the engine's ledger.
func TestCutBetweenDaemons(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("quote")
	waitUntilVouched(testSite, daemon, model)
	link := testSite.Link(owner, entry)
	for limit := int64(1); limit < 1200; limit += 150 {
		for _, faults := range []faultproxy.Faults{{CutToTarget: limit}, {CutFromTarget: limit}} {
			t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
				link.Set(faults)
				call := harness.NewCall(model, 20).WithStreaming().WithKey()
				result := daemon.Do(call)
				link.Set(faultproxy.Faults{})
				testSite.CheckResult(call, result)
			})
		}
	}
	waitUntilServing(testSite, daemon, model)
	testSite.CheckEngines()
}

// TestFrozenOneWay freezes the link between entry and owner in one direction in the
// middle of an answer. The entry must notice it and end the call.
func TestFrozenOneWay(t *testing.T) {
	t.Parallel()
	for _, faults := range []faultproxy.Faults{{FreezeToTarget: true}, {FreezeFromTarget: true}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			t.Parallel()
			testSite := harness.New(t, oneEngineOptions())
			owner, entry := ownerAndEntry(testSite)
			daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("review")
			call := harness.NewCall(model, 20*longTokens).WithStreaming()
			openCall := startStream(t, daemon, call)
			testSite.Link(owner, entry).Set(faults)
			result := openCall.Finish()
			require.NotEmpty(t, result.Kind, "the frozen link is noticed")
			testSite.Link(owner, entry).Set(faultproxy.Faults{})
			testSite.CheckResult(call, result)
			waitUntilVouched(testSite, daemon, model)
			testSite.CheckEngines()
		})
	}
}
