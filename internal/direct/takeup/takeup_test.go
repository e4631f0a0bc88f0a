package takeup_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/takeup"
)

// working records a run, and returns a function that reports whether it has ended.
func working(runs *takeup.Runs, entry string, request takeup.Request) (ended func() bool) {
	done := false
	runs.Add(&takeup.Run{Request: request, Entry: entry, End: func() { done = true }})
	return func() bool { return done }
}

func silent(string) bool   { return true }
func speaking(string) bool { return false }

// TestNoticeEndsEarlierRunsOnly guards against runs that go on after their stream has been taken up, and against the end of those that
// are not known to be earlier, such as the run that has taken it up.
func TestNoticeEndsEarlierRunsOnly(t *testing.T) {
	notice := takeup.Request{Content: 1, First: 10, Attempt: 12, After: 5}
	for name, test := range map[string]struct {
		run                  takeup.Request
		certain, whereSilent bool
	}{
		"the first attempt":          {run: takeup.Request{Content: 1, First: 10, Attempt: 10}, certain: true, whereSilent: true},
		"a later one, before it":     {run: takeup.Request{Content: 1, First: 10, Attempt: 11, After: 4}, certain: true, whereSilent: true},
		"at the same event":          {run: takeup.Request{Content: 1, First: 10, Attempt: 11, After: 5}, whereSilent: true},
		"after it":                   {run: takeup.Request{Content: 1, First: 10, Attempt: 13, After: 6}},
		"the same attempt":           {run: takeup.Request{Content: 1, First: 10, Attempt: 12, After: 5}},
		"another stream":             {run: takeup.Request{Content: 1, First: 20, Attempt: 20}},
		"another caller's":           {run: takeup.Request{Content: 2, First: 10, Attempt: 10}},
		"where events have no place": {run: takeup.Request{Content: 1, First: 10, Attempt: 11, After: takeup.UnknownEvent}, whereSilent: true},
	} {
		t.Run(name, func(t *testing.T) {
			runs := takeup.NewRuns()
			own, peers := working(runs, "", test.run), working(runs, "d1", test.run)
			_, isNew := runs.Apply(1000, notice)
			require.True(t, isNew)
			require.Equal(t, test.certain, own())
			require.Equal(t, test.certain, peers())
			runs.EndSilent(1000, speaking)
			require.Equal(t, test.certain, peers())
			runs.EndSilent(1500, silent)
			require.Equal(t, test.whereSilent, peers())
			require.Equal(t, test.certain, own(), "this daemon's own caller is not known to be silent")
		})
	}
}

// TestNoticeWithoutFirstAttemptEndsRunsOfSilentEntries guards against runs that go on for an entry that stands still where callers do not
// name the attempt that they go on with, and against the end of those of other callers with the same content.
func TestNoticeWithoutFirstAttemptEndsRunsOfSilentEntries(t *testing.T) {
	runs := takeup.NewRuns()
	of := working(runs, "d1", takeup.Request{Content: 1, First: 10, Attempt: 10})
	other := working(runs, "d2", takeup.Request{Content: 1, First: 20, Attempt: 20})
	runs.Apply(1000, takeup.Request{Content: 1, Attempt: 12, After: 5})
	require.False(t, of())
	runs.EndSilent(1200, func(entry string) bool { return entry == "d1" })
	require.True(t, of())
	require.False(t, other())
	runs.EndSilent(2000, silent)
	require.False(t, other(), "the notice is old")
}

// TestNoticeIsAppliedOnce guards against notices that daemons send one another without end.
func TestNoticeIsAppliedOnce(t *testing.T) {
	runs := takeup.NewRuns()
	notice := takeup.Request{Content: 1, First: 10, Attempt: 12, After: 5}
	_, isNew := runs.Apply(1000, notice)
	require.True(t, isNew)
	_, isNew = runs.Apply(1900, notice)
	require.False(t, isNew)
	_, isNew = runs.Apply(2000, notice)
	require.True(t, isNew, "it is forgotten")
}

func TestEventOf(t *testing.T) {
	require.Equal(t, takeup.Event(0), takeup.EventOf(""))
	require.Equal(t, takeup.Event(7), takeup.EventOf("7"))
	require.Equal(t, takeup.UnknownEvent, takeup.EventOf("-1"))
	require.Equal(t, takeup.UnknownEvent, takeup.EventOf("a7"))
}
