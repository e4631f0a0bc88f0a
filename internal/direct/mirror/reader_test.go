package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/mirror"
)

// TestShouldRead checks that a daemon reads the store exactly while no hub reads it for it, and
// only every CoveredRetry while the store does not answer.
func TestShouldRead(t *testing.T) {
	options := mirror.DefaultOptions()
	late := options.CoverLimit + 1
	for _, each := range []struct {
		name  string
		state mirror.ReaderState
		reads bool
	}{
		{"a reader", mirror.ReaderState{ReadsForOthers: true}, true},
		{"started without data", mirror.ReaderState{HasHub: true}, true},
		{"hub reads the store", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: 300}, false},
		{"store does not answer the hub", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late}, true},
		{"hub is silent", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: 300, HubSilence: options.UnheardLimit + 1}, true},
		{"store does not answer either", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: 500}, false},
		{"store does not answer either, after the retry interval", mirror.ReaderState{HasData: true, HasHub: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: options.CoveredRetry}, true},
		{"no hub", mirror.ReaderState{HasData: true, HubReadAge: late, LastCallFailed: true, SinceLastCall: 500}, true},
	} {
		require.Equal(t, each.reads, options.ShouldRead(each.state), each.name)
	}
}

// TestStoreOutage checks that in an outage of the store each member calls it at most once per
// CoveredRetry, so that all members of a data centre together add few calls to those of the
// hubs.
func TestStoreOutage(t *testing.T) {
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
