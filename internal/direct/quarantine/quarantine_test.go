package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/quarantine"
)

var (
	options = quarantine.DefaultOptions()
	crasher = content.Of(content.Request{Body: []byte("crash")})
	other   = content.Of(content.Request{Body: []byte("other")})
)

const start = clock.Millis(1_000_000)

// TestRefusedOnceServersHaveEnded: the same server process counts once, however many of its
// requests had the content.
func TestRefusedOnceServersHaveEnded(t *testing.T) {
	list := quarantine.New(options, "d")
	list.ServerEnded(start, crasher, "a@1")
	list.ServerEnded(start, crasher, "a@1")
	require.Zero(t, list.RefusedFor(start, crasher), "one server ended")
	list.ServerEnded(start+10, crasher, "a@2")
	require.GreaterOrEqual(t, list.RefusedFor(start+10, crasher), options.FirstSpan)
	require.Zero(t, list.RefusedFor(start+10, other))
	require.Equal(t, 1, list.RefusedCount(start+10))
	list.Prune(start + 20)
	require.Equal(t, 2, list.ServerCount(crasher))
}

// TestRefusalSpanGrows sends a content whenever it is not refused, and each time a server
// ends. The number of ends within an hour stays small.
func TestRefusalSpanGrows(t *testing.T) {
	list := quarantine.New(options, "d")
	now := start
	ends := 0
	for now < start+clock.Hour {
		list.Prune(now)
		if list.RefusedFor(now, crasher) == 0 {
			ends++
			list.ServerEnded(now, crasher, fmt.Sprintf("s%d", ends))
		}
		now += clock.Second
	}
	require.LessOrEqual(t, ends, 5)
	require.GreaterOrEqual(t, ends, 4, "it is tried again")
}

// TestAnswerClearsTheRecord: a content that a server has answered is refused no longer, also at
// the other daemons, and is counted from zero again.
func TestAnswerClearsTheRecord(t *testing.T) {
	list, peer := quarantine.New(options, "d"), quarantine.New(options, "e")
	for _, server := range []string{"a", "b", "c"} {
		list.ServerEnded(start, crasher, server)
	}
	require.True(t, peer.Merge(start, list.ChangedSince(start, 0)))
	require.False(t, list.Answered(start, other))
	require.True(t, list.Answered(start, crasher))
	require.Zero(t, list.RefusedFor(start, crasher))
	require.False(t, list.Answered(start, crasher), "it was cleared before")
	require.True(t, peer.Merge(start, list.ChangedSince(start, 0)))
	require.Zero(t, peer.RefusedFor(start, crasher))
	peer.ServerEnded(start, crasher, "d")
	require.Zero(t, peer.RefusedFor(start, crasher), "counting has started again from zero")
}

// TestDaemonsRetryAtDifferentTimes requests a crashing content at all daemons all the time.
// When the refusal expires, only few daemons let it through before a report of the next end
// could have reached the others.
func TestDaemonsRetryAtDifferentTimes(t *testing.T) {
	const daemons, delay = 59, 100 * clock.Millisecond
	lists := make([]*quarantine.List, daemons)
	for i := range lists {
		lists[i] = quarantine.New(options, fmt.Sprintf("d%d", i))
		lists[i].ServerEnded(start, crasher, "a")
		lists[i].ServerEnded(start, crasher, "b")
	}
	first := clock.Millis(0)
	sent := 0
	for now := start; first == 0 || now < first+delay; now++ {
		for _, list := range lists {
			if list.RefusedFor(now, crasher) > 0 {
				continue
			}
			if first == 0 {
				first = now
			}
			sent++
			list.ServerEnded(now, crasher, fmt.Sprintf("c%d", sent))
		}
	}
	require.LessOrEqual(t, sent, 3)
}

// TestRecordsMergeInAnyOrder draws ends of servers, responses and messages between daemons.
// Once all daemons have sent each other everything, they agree and have nothing more to send.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		lists := make([]*quarantine.List, daemons)
		for i := range lists {
			lists[i] = quarantine.New(options, fmt.Sprintf("d%d", i))
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
			list := lists[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				list.ServerEnded(now, crasher, fmt.Sprintf("s%d", rapid.IntRange(0, 9).Draw(t, "server")))
			case 2:
				list.Answered(now, crasher)
			default:
				peer := lists[rapid.IntRange(0, daemons-1).Draw(t, "peer")]
				list.Merge(now, peer.ChangedSince(now, int64(rapid.IntRange(0, 3).Draw(t, "since"))))
			}
		}
		for range daemons {
			for _, list := range lists {
				for _, peer := range lists {
					list.Merge(now, peer.ChangedSince(now, 0))
				}
			}
		}
		for _, list := range lists {
			require.Equal(t, lists[0].ServerCount(crasher), list.ServerCount(crasher))
			require.False(t, list.Merge(now, lists[0].ChangedSince(now, 0)))
		}
	})
}

// TestListIsBounded checks that a full list keeps the contents with the most ended servers.
func TestListIsBounded(t *testing.T) {
	list := quarantine.New(options, "d")
	for _, server := range []string{"a", "b"} {
		list.ServerEnded(start, crasher, server)
	}
	for i := range 3 * options.Records {
		list.ServerEnded(start+clock.Millis(i), content.Of(content.Request{Target: fmt.Sprint(i)}), "c")
	}
	require.LessOrEqual(t, len(list.ChangedSince(start, 0)), options.Records)
	require.Positive(t, list.RefusedFor(start, crasher))
	list.Prune(start + options.Keep + clock.Hour)
	require.Empty(t, list.ChangedSince(start, 0))
}

// TestRecentlyAnsweredContentIsNotRefused checks a recently answered content that is in progress
// at two servers that fail together, before any further response. A daemon that has seen a
// response does not refuse it, and clears the record when another daemon has counted both ends.
func TestRecentlyAnsweredContentIsNotRefused(t *testing.T) {
	list, peer := quarantine.New(options, "d"), quarantine.New(options, "e")
	require.False(t, list.Answered(start, crasher), "there is nothing to clear")
	list.ServerEnded(start+10, crasher, "a")
	list.ServerEnded(start+10, crasher, "b")
	require.Zero(t, list.RefusedFor(start+10, crasher))
	peer.ServerEnded(start+10, crasher, "a")
	peer.ServerEnded(start+10, crasher, "b")
	require.Positive(t, peer.RefusedFor(start+10, crasher))
	require.True(t, list.Merge(start+20, peer.ChangedSince(start+20, 0)))
	require.Zero(t, list.RefusedFor(start+20, crasher))
	require.True(t, peer.Merge(start+30, list.ChangedSince(start+30, 0)))
	require.Zero(t, peer.RefusedFor(start+30, crasher))
	later := start + 30 + 2*options.Trust
	list.ServerEnded(later, crasher, "c")
	list.ServerEnded(later, crasher, "d")
	require.Positive(t, list.RefusedFor(later, crasher), "it may have changed since it was answered")
}

// TestAnswersAreRememberedInBoundedSpace checks that the answered contents which are requested
// most often stay remembered.
func TestAnswersAreRememberedInBoundedSpace(t *testing.T) {
	list := quarantine.New(options, "d")
	for i := range 5 * options.Answers {
		list.Answered(start, content.Of(content.Request{Target: fmt.Sprint(i)}))
		list.Answered(start, other)
	}
	for _, server := range []string{"a", "b"} {
		list.ServerEnded(start, other, server)
		list.ServerEnded(start, content.Of(content.Request{Target: "0"}), server)
	}
	require.Zero(t, list.RefusedFor(start, other))
	require.Positive(t, list.RefusedFor(start, content.Of(content.Request{Target: "0"})), "it was forgotten")
}
