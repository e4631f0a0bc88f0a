package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/mirror"
)

func TestReadsNow(t *testing.T) {
	options := mirror.DefaultOptions()
	late := options.CoverLimit + 1
	for _, each := range []struct {
		name  string
		turn  mirror.ReaderState
		reads bool
	}{
		{"a reader", mirror.ReaderState{ReadsForOthers: true}, true},
		{"a start", mirror.ReaderState{HasHub: true}, true},
		{"covered", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: 300}, false},
		{"the reader is cut off", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late}, true},
		{"the reader falls silent", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: 300, HubSilence: options.UnheardLimit + 1}, true},
		{"the store is down for both", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: 500}, false},
		{"the same, some time later", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: options.CoveredRetry}, true},
		{"no reader is heard", mirror.ReaderState{HasData: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: 500}, true},
	} {
		require.Equal(t, each.reads, options.ShouldRead(each.turn), each.name)
	}
}

// TestStoreIsDownForAll: in an outage the daemons of a data centre together call the store
// little more often than those that read for them.
func TestStoreIsDownForAll(t *testing.T) {
	const members, outage = 32, 14 * clock.Second
	options := mirror.DefaultOptions()
	calls := 0
	for range members {
		tried := clock.Millis(0)
		for now := clock.Millis(0); now < outage; now += options.MostBackoff {
			if options.ShouldRead(mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: options.CoverLimit + 1 + now, LastCallFailed: true, SinceLastCall: now - tried}) {
				tried = now
				calls++
			}
		}
	}
	require.LessOrEqual(t, calls, int(members*outage/options.CoveredRetry))
}
