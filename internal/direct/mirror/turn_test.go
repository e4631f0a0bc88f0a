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
		state mirror.Turn
		reads bool
	}{
		{"a reader", mirror.Turn{Reader: true}, true},
		{"started without data", mirror.Turn{Hub: true}, true},
		{"hub reads the store", mirror.Turn{Knows: true, Hub: true, Covered: 300}, false},
		{"store does not answer the hub", mirror.Turn{Knows: true, Hub: true, Covered: late}, true},
		{"hub is silent", mirror.Turn{Knows: true, Hub: true, Covered: 300, Unheard: options.UnheardLimit + 1}, true},
		{"store does not answer either", mirror.Turn{Knows: true, Hub: true, Covered: late, Lost: true, Tried: 500}, false},
		{"store does not answer either, after the retry interval", mirror.Turn{Knows: true, Hub: true, Covered: late, Lost: true, Tried: options.CoveredRetry}, true},
		{"no hub", mirror.Turn{Knows: true, Covered: late, Lost: true, Tried: 500}, true},
	} {
		require.Equal(t, each.reads, options.ReadsNow(each.state), each.name)
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
			if options.ReadsNow(mirror.Turn{Knows: true, Hub: true, Covered: options.CoverLimit + 1 + now, Lost: true, Tried: now - tried}) {
				tried = now
				calls++
			}
		}
	}
	require.LessOrEqual(t, calls, int(members*outage/options.CoveredRetry))
}
