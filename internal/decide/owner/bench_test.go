package owner_test

import (
	"fmt"
	"testing"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
)

// BenchmarkSubmitBehindQueue submits and cancels one request while others wait for
// their adapters to be loaded.
func BenchmarkSubmitBehindQueue(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			engine := config.Engine{Name: "engine", Store: "weights", Slots: 8, MaxRuns: 16}
			owned := owner.New("daemon", engine, 1, owner.DefaultOptions())
			now := clock.Millis(1_000_000)
			owned.Reported(now, owner.Report{Boot: "boot"})
			for i := range waiting {
				owned.Submit(now, "entry", submitOf(uint64(i), fmt.Sprintf("adapter-%d", i/4), clock.Hour))
			}
			b.ResetTimer()
			for i := range b.N {
				submit := submitOf(uint64(waiting+i), "adapter-1", clock.Hour)
				owned.Submit(now, "entry", submit)
				owned.Cancel(now, submit.Stream)
			}
		})
	}
}

func submitOf(sequence uint64, adapter string, budget clock.Millis) message.Submit {
	return message.Submit{
		Stream: ident.StreamID{Daemon: "entry", Incarnation: 1, Sequence: sequence},
		Engine: "engine", Budget: budget,
		Request: message.Request{
			Adapter: ident.Adapter{Name: adapter, Version: "1"}, Class: config.Routine, Repeatable: true,
		},
	}
}
