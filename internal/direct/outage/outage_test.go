package outage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/outage"
)

const (
	begins = clock.Millis(100_000)
	ends   = begins + 5*clock.Second
)

// TestCutOffDaemonTakesNoCutForAnOutage guards against servers that leave and get requests for the time that is meant for entries that expired in
// an outage of the store.
func TestCutOffDaemonTakesNoCutForAnOutage(t *testing.T) {
	answering := outage.Contact{Answered: 300}
	away := outage.Contact{Away: 2000, Answered: 3000}
	back := outage.Contact{Answered: 100, Back: 200}
	earlier := outage.Contact{Answered: 100, Back: 20 * clock.Second}
	tests := []struct {
		name   string
		ends   clock.Millis
		told   map[string]outage.Contact
		silent bool
		outage bool
	}{
		{"a single daemon", ends, nil, false, true},
		{"peers are away too", ends, map[string]outage.Contact{"b": away, "c": away}, false, true},
		{"peers were away too", ends, map[string]outage.Contact{"b": back}, false, true},
		{"a peer is served", ends, map[string]outage.Contact{"b": away, "c": answering}, false, false},
		{"a peer is served, and was away earlier", ends, map[string]outage.Contact{"b": earlier}, false, false},
		{"no peer was heard", ends, nil, true, false},
		{"a call is cut", begins + 300, nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			monitor := outage.New(outage.DefaultOptions())
			requireNoOutage(t, monitor, begins-clock.Second)
			monitor.RecordSilence()
			monitor.Failed(begins, begins-100)
			monitor.Failed(begins+200, begins+100)
			if test.silent {
				monitor.RecordSilence()
			}
			for peer, contact := range test.told {
				monitor.Told(test.ends-100, peer, contact)
			}
			_, wasAway := monitor.Answered(test.ends)
			require.Equal(t, test.outage, wasAway)
			requireNoOutage(t, monitor, test.ends+1)
		})
	}
}

func requireNoOutage(t *testing.T, monitor *outage.Monitor, now clock.Millis) {
	t.Helper()
	_, wasAway := monitor.Answered(now)
	require.False(t, wasAway)
}

// TestReturnOfStoreIsNotCountedFromItsReading guards against servers that are used for longer, as a call was on its way when the store returned.
func TestReturnOfStoreIsNotCountedFromItsReading(t *testing.T) {
	options := outage.DefaultOptions()
	monitor := outage.New(options)
	monitor.Failed(begins, begins-100)
	monitor.Failed(ends, ends-clock.Second)
	returnedAt, wasAway := monitor.Answered(ends + 700)
	require.True(t, wasAway)
	require.Equal(t, ends-clock.Second+options.MaxReturnLag, returnedAt)
	monitor.Failed(ends+5000, ends+5000)
	monitor.Failed(ends+7000, ends+7000)
	returnedAt, wasAway = monitor.Answered(ends + 7100)
	require.True(t, wasAway)
	require.Equal(t, ends+7100, returnedAt)
}

// TestContactIsToldAsAges checks that what a daemon tells means the same at a peer whose clock differs.
func TestContactIsToldAsAges(t *testing.T) {
	teller, listener := outage.New(outage.DefaultOptions()), outage.New(outage.DefaultOptions())
	teller.Answered(1000)
	teller.Failed(2000, 1900)
	require.Equal(t, outage.Contact{Away: 500, Answered: 1500}, teller.Own(2500))
	teller.Answered(7000)
	require.Equal(t, outage.Contact{Answered: 100, Back: 100}, teller.Own(7100))
	listener.Failed(begins, begins)
	listener.Told(ends, "a", teller.Own(7100))
	_, wasAway := listener.Answered(ends)
	require.True(t, wasAway, "the peer was away until 100 ms ago")
	listener.Failed(ends+1000, ends+900)
	teller.Answered(17_000)
	listener.Told(ends+9000, "a", teller.Own(17_000))
	requireNoOutage(t, listener, ends+9000)
}
