package daemons_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/faultproxy"
	"teaselmoor/internal/integration/harness"
)

// serveAgain waits until calls for an adapter are answered again; every answer
// until then is judged.
func serveAgain(running *harness.Site, entry *harness.Daemon, model string) {
	running.WaitFor("service again", func() bool {
		call := harness.NewCall(model, 3).Keyed()
		told := entry.Do(call)
		running.Judge(call, told)
		return told.Kind == outcome.Answered
	})
}

// TestCutAroundDispatch cuts the connection to the engine after so many bytes
// of a run's request, from its first byte to well into the answer. What the
// caller is told must hold against the ledger at every one.
func TestCutAroundDispatch(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("quote")
	waitVouched(running, daemon, model)
	proxy := running.EngineProxies[onlyEngine]
	cuts := []faultproxy.Faults{}
	for at := int64(1); at < 900; at += 60 {
		cuts = append(cuts,
			faultproxy.Faults{CutThere: at, CountFrom: "POST /v1/completions"}, faultproxy.Faults{CutBack: at})
	}
	told := map[outcome.Kind]int{}
	for _, faults := range cuts {
		proxy.Set(faults)
		call := harness.NewCall(model, 20).Streamed().Keyed()
		said := daemon.Do(call)
		proxy.Set(faultproxy.Faults{})
		running.Judge(call, said)
		told[said.Kind]++
	}
	t.Log("told", told)
	serveAgain(running, daemon, model)
	running.JudgeEngines()
}

// TestCutBetweenDaemons cuts the connections between entry and owner after so
// many bytes in either direction.
func TestCutBetweenDaemons(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("quote")
	waitVouched(running, daemon, model)
	link := running.Link(owner, entry)
	for at := int64(1); at < 1200; at += 150 {
		for _, faults := range []faultproxy.Faults{{CutThere: at}, {CutBack: at}} {
			t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
				link.Set(faults)
				call := harness.NewCall(model, 20).Streamed().Keyed()
				told := daemon.Do(call)
				link.Set(faultproxy.Faults{})
				running.Judge(call, told)
			})
		}
	}
	serveAgain(running, daemon, model)
	running.JudgeEngines()
}

// TestFrozenOneWay holds the bytes between entry and owner in one direction in
// the middle of an answer; the silence is noticed.
func TestFrozenOneWay(t *testing.T) {
	t.Parallel()
	for _, faults := range []faultproxy.Faults{{FreezeThere: true}, {FreezeBack: true}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			t.Parallel()
			running := harness.New(t, oneEngine())
			owner, entry := ownerAndEntry(running)
			daemon, model := running.Daemons[entry], running.AdapterAddress("review")
			call := harness.NewCall(model, 20*longTokens).Streamed()
			open := beginLong(t, daemon, call)
			running.Link(owner, entry).Set(faults)
			told := open.Finish()
			require.NotEmpty(t, told.Kind, "the silence is noticed")
			running.Link(owner, entry).Set(faultproxy.Faults{})
			running.Judge(call, told)
			waitVouched(running, daemon, model)
			running.JudgeEngines()
		})
	}
}
