package prefill_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

const (
	rate    = 20.0 // prompt tokens per millisecond; the bucket drains 12 per millisecond
	gapGoal = clock.Millis(300)
	limit   = 3000 // tokens: half of the gap goal
)

// queueOptions returns options with shares for which the expected times below are computed.
func queueOptions() prefill.Options {
	options := prefill.DefaultOptions()
	options.GapShare, options.LeakShare = 0.5, 0.6
	return options
}

func request(id uint64, rank, tokens int, until clock.Millis) prefill.Request {
	return prefill.Request{Daemon: "d", ID: id, Rank: rank, Tokens: tokens, GapGoal: gapGoal, Until: until}
}

func ids(requests []prefill.Request) []uint64 {
	var ids []uint64
	for _, request := range requests {
		ids = append(ids, request.ID)
	}
	return ids
}

// TestQueueOrder guards against prompts that overtake more urgent ones, or ones of their rank
// that must be sent earlier or came earlier, and against grants beyond the limit.
func TestQueueOrder(t *testing.T) {
	queue := prefill.New(queueOptions())
	queue.Add(0, request(1, 1, limit, 500))
	granted, wakeAt := queue.Next(0, rate)
	require.Equal(t, []uint64{1}, ids(granted), "an empty engine")
	require.Zero(t, wakeAt, "nothing waits")
	for _, each := range []prefill.Request{request(2, 2, 600, 300), request(3, 1, 600, 500), request(4, 1, 600, 400), request(5, 0, 600, 500), request(6, 1, 600, 400), request(6, 1, 600, 400)} {
		queue.Add(0, each)
	}
	require.Equal(t, 5, queue.Waiting(), "a repeated request")
	var order []uint64
	for range 5 {
		granted, wakeAt = queue.Next(wakeAt, rate)
		order = append(order, ids(granted)...)
	}
	require.Equal(t, []uint64{5, 4, 6, 3}, order, "one each 50 ms, in which 600 tokens drain")
	require.Equal(t, clock.Millis(250), wakeAt)
}

// TestQueueLargePrompt guards against a large prompt that never fits while small ones do.
func TestQueueLargePrompt(t *testing.T) {
	queue := prefill.New(queueOptions())
	queue.Add(0, request(1, 0, 1200, 900))
	queue.Next(0, rate)
	queue.Add(0, request(2, 0, 2*limit, 800))
	queue.Add(0, request(3, 0, 10, 900))
	granted, wakeAt := queue.Next(0, rate)
	require.Empty(t, granted)
	require.Equal(t, clock.Millis(100), wakeAt, "the bucket is empty")
	granted, _ = queue.Next(wakeAt, rate)
	require.Equal(t, []uint64{2}, ids(granted))
}

// TestQueueExpiry guards against a late grant for a prompt that its daemon has sent, as by an
// owner that was frozen, and against tokens that are not counted, or counted as if the prompt had
// just been sent.
func TestQueueExpiry(t *testing.T) {
	queue := prefill.New(queueOptions())
	queue.Add(0, request(1, 0, limit, 0))
	granted, _ := queue.Next(0, rate)
	require.Empty(t, granted, "it was sent before")
	queue.Add(0, request(2, 2, 2400, 200))
	queue.Add(0, request(3, 0, 2700, 900))
	granted, wakeAt := queue.Next(0, rate)
	require.Empty(t, granted)
	require.Equal(t, clock.Millis(200), wakeAt, "the first bound; request 3 would fit at 225")
	granted, wakeAt = queue.Next(300, rate)
	require.Empty(t, granted, "the level was 3,000 at 200, of which 1,200 have drained")
	require.Equal(t, clock.Millis(425), wakeAt)
	granted, wakeAt = queue.Next(3300, rate)
	require.Empty(t, granted)
	require.Zero(t, wakeAt)
}

// TestQueueBounds guards against a queue that grows without limit, and against a withdrawn
// prompt that keeps others waiting.
func TestQueueBounds(t *testing.T) {
	options := queueOptions()
	options.MostWaiting = 2
	queue := prefill.New(options)
	for id := range uint64(4) {
		queue.Add(0, request(id, 0, 2*limit, 500+clock.Millis(id)))
	}
	granted, _ := queue.Next(0, rate)
	require.Equal(t, []uint64{2, 3}, ids(granted), "those beyond the limit")
	require.Equal(t, 2, queue.Waiting())
	queue.Withdraw(0, "other", 0)
	require.Equal(t, 2, queue.Waiting())
	queue.Withdraw(0, "d", 0)
	queue.Withdraw(0, "d", 1)
	_, wakeAt := queue.Next(0, rate)
	require.Zero(t, wakeAt)
}

// TestQueueWithoutRate guards against a wake-up that never comes, or comes at once for ever, when
// the rate is unknown.
func TestQueueWithoutRate(t *testing.T) {
	queue := prefill.New(queueOptions())
	queue.Add(0, request(1, 0, 1, 0))
	queue.Add(0, request(2, 0, 1, 500))
	granted, wakeAt := queue.Next(0, 0)
	require.Empty(t, granted)
	require.Equal(t, clock.Millis(500), wakeAt)
}

// TestRequester guards against a wait that does not end: without any answer, with only the
// answer that the prompt is queued, and with answers to another wait.
func TestRequester(t *testing.T) {
	requester := prefill.NewRequester(prefill.DefaultOptions(), 7)
	require.Equal(t, clock.Millis(1264), requester.Bound(1000, 800))
	unanswered, queued := requester.Begin(1000, "o", "s", 1264), requester.Begin(1000, "p", "t", 1264)
	require.Nil(t, requester.Answer("s", queued.ID, true), "of another server")
	require.Same(t, queued, requester.Answer("t", queued.ID, false))
	result, remaining := requester.Check(1000, unanswered, 0)
	require.Equal(t, prefill.Pending, result)
	require.Equal(t, clock.Millis(60), remaining)
	result, _ = requester.Check(1060, unanswered, 0)
	require.Equal(t, prefill.Silent, result)
	require.False(t, requester.MayAsk(2059, "o"))
	require.True(t, requester.MayAsk(2059, "p"))
	require.True(t, requester.MayAsk(2060, "o"))
	result, remaining = requester.Check(1060, queued, 0)
	require.Equal(t, prefill.Pending, result)
	require.Equal(t, clock.Millis(204), remaining)
	result, _ = requester.Check(1264, queued, 0)
	require.Equal(t, prefill.Bound, result)
	requester.Answer("t", queued.ID, true)
	requester.Answer("t", queued.ID, false)
	result, _ = requester.Check(1264, queued, 0)
	require.Equal(t, prefill.Granted, result, "the answers have overtaken each other")
	requester.End(queued)
	require.Nil(t, requester.Answer("t", queued.ID, true), "the wait has ended")
	short := requester.Begin(1000, "o", "s", 1000)
	result, _ = requester.Check(1000, short, 0)
	require.Equal(t, prefill.Bound, result, "no time is left")
}

// TestRequesterSilence guards against an owner that is taken for silent because of one late answer,
// of requests of one moment, or of a pause of this daemon, and against one that is asked for ever
// although it is gone.
func TestRequesterSilence(t *testing.T) {
	requester := prefill.NewRequester(prefill.DefaultOptions(), 0)
	for _, step := range []struct {
		at, checkedAt, heardAt clock.Millis
		answered               bool
		result                 prefill.Result
	}{
		{1000, 1060, 900, false, prefill.Late},
		{1059, 1119, 900, false, prefill.Late}, // less than AnswerTimeout after the first
		{1060, 1120, 900, false, prefill.Silent},
		{2200, 2260, 2100, false, prefill.Silent}, // still no answer
		{3300, 3360, 3200, true, prefill.Pending},
		{3400, 3460, 3300, false, prefill.Late},
		{13_400, 13_460, 13_300, false, prefill.Late}, // 10 s after the other
		{23_500, 23_560, 23_061, false, prefill.Late}, // heard of 499 ms ago
		{40_000, 40_060, 39_560, false, prefill.Silent},
		{60_000, 63_000, 59_900, false, prefill.Late}, // this daemon was frozen
		{63_000, 63_060, 62_990, false, prefill.Late},
	} {
		require.True(t, requester.MayAsk(step.at, "o"))
		wait := requester.Begin(step.at, "o", "s", step.at+300)
		if step.answered {
			requester.Answer("s", wait.ID, false)
		}
		result, _ := requester.Check(step.checkedAt, wait, step.heardAt)
		require.Equal(t, step.result, result, step)
		require.Equal(t, result != prefill.Silent, requester.MayAsk(step.checkedAt+999, "o"))
		requester.End(wait)
		require.Nil(t, requester.Answer("s", wait.ID, true), "too late")
	}
}

// TestReportsCountOnce guards against prompts sent without a grant that the bucket misses, or counts
// twice because the owner's grant was late.
func TestReportsCountOnce(t *testing.T) {
	requester := prefill.NewRequester(prefill.DefaultOptions(), 0)
	require.True(t, requester.ShouldReport(1000, prefill.Local, 501))
	require.False(t, requester.ShouldReport(1000, prefill.Local, 500), "the owner may be frozen")
	require.False(t, requester.ShouldReport(1000, prefill.Bound, 1000))
	const grant, announce, report, withdraw = 'g', 'a', 'r', 'w'
	for steps, reported := range map[string]clock.Millis{"": 0, "rr": 100, "rgr": 100, "agr": 100, "agwr": 100, "ar": 100, "arw": 100, "awr": 100, "aw": 0} {
		queue := prefill.New(queueOptions())
		for _, step := range steps {
			switch step {
			case grant:
				queue.Next(0, rate)
			case announce:
				queue.Add(0, request(1, 0, 1200, 500))
			case report:
				queue.Add(0, request(1, 0, 1200, 0))
			case withdraw:
				queue.Withdraw(0, "d", 1)
			}
		}
		queue.Next(0, rate)
		queue.Add(0, request(2, 0, 2*limit, 900)) // granted when the bucket is empty
		_, emptyAt := queue.Next(0, rate)
		require.Equal(t, reported, emptyAt, steps)
	}
}

// TestAnswerReadAfterPause guards against prompts that are sent without order as the daemon was not running: the owner's answer
// has arrived meanwhile, and is read only after the check.
func TestAnswerReadAfterPause(t *testing.T) {
	options := prefill.DefaultOptions()
	for _, answered := range []bool{true, false} {
		requester := prefill.NewRequester(options, 1)
		wait := requester.Begin(0, "owner", "s", 3000)
		result, _ := requester.Check(50, wait, 50)
		require.Equal(t, prefill.Pending, result)
		result, remaining := requester.Check(400, wait, 400)
		require.Equal(t, prefill.Pending, result)
		require.Equal(t, options.AnswerTimeout-50, remaining)
		if answered {
			requester.Answer("s", wait.ID, true)
		}
		result, _ = requester.Check(400+remaining, wait, 400)
		require.Equal(t, map[bool]prefill.Result{true: prefill.Granted, false: prefill.Late}[answered], result)
	}
	requester := prefill.NewRequester(options, 1)
	wait := requester.Begin(0, "owner", "s", 165)
	result, _ := requester.Check(200, wait, 200)
	require.Equal(t, prefill.Late, result, "the owner may not know of the prompt, which is sent at its bound")
}
