package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/comeback"
	"teaselmoor/internal/direct/quota"
)

// returning is a caller of the replay, with the time of its next attempt.
type returning struct {
	at, deadline clock.Millis
	position     int
	units        float64
	refusals     int
}

// queue orders callers by the time of their next attempt.
type queue []*returning

func (queue queue) Len() int           { return len(queue) }
func (queue queue) Less(i, j int) bool { return queue[i].at < queue[j].at }
func (queue queue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *queue) Push(added any)    { *queue = append(*queue, added.(*returning)) }
func (queue *queue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// replay sends the load of an account to a site. Refused callers return when they are told to, but
// wait for at most a third of the time they have left, and give up in their last second.
type replay struct {
	*site
	schedule bool
	promises []*comeback.Schedule // by daemon
	callers  queue
	random   *rand.Rand
	counts   replayCounts
}

// replayCounts counts callers by position, and what they did.
type replayCounts struct {
	asked, served, refusedTwice [3]float64
	usedBy                      [3]float64 // units
	large, largeServed          float64    // callers that cost more than the mean
	refusals                    float64    // attempts
}

func (counts replayCounts) used() float64 {
	return counts.usedBy[0] + counts.usedBy[1] + counts.usedBy[2]
}

func (counts replayCounts) String() string {
	text := ""
	asked, served := 0.0, 0.0
	for position := range counts.asked {
		asked, served = asked+counts.asked[position], served+counts.served[position]
		text += fmt.Sprintf("rank %d: served %.3f, units %.3f of all, refused twice %.3f; ", position, counts.served[position]/counts.asked[position],
			counts.usedBy[position]/counts.used(), counts.refusedTwice[position]/counts.asked[position])
	}
	return text + fmt.Sprintf("above the mean cost served %.3f, others %.3f; refusals per caller %.2f", counts.largeServed/counts.large,
		(served-counts.largeServed)/(asked-counts.large), counts.refusals/asked)
}

var replayDeadlines = [3]clock.Millis{15 * clock.Second, 8 * clock.Second, 20 * clock.Second}

// replayMean is the mean cost of a request, in tokens.
const replayMean = 1700

func newReplay(reserveShare float64, schedule bool, limit account.Limit) *replay {
	replay := &replay{site: newSite(9, 82, limit, tolerance), schedule: schedule, random: rand.New(rand.NewPCG(3, 4))}
	replay.reserve = reserveShare
	for _, each := range replay.daemons {
		each.ledger.SetReserveShare(reserveShare)
		replay.promises = append(replay.promises, comeback.New(comeback.DefaultOptions()))
	}
	return replay
}

// run advances time by span while new callers ask for perSecond units a second, with ranks at 3:2:1.
func (replay *replay) run(span clock.Millis, perSecond float64) {
	for end := replay.now + span; replay.now < end; replay.now += stepSpan {
		if replay.now%reportSpan == 0 {
			for _, each := range replay.daemons {
				each.ledger.SetSite(replay.now, replay.view(each))
				replay.report(each)
			}
		}
		for chance := perSecond / replayMean * stepSpan.Seconds(); chance > 0; chance-- {
			if replay.random.Float64() < chance {
				position := drawPosition(replay.random, [3]float64{3, 2, 1})
				units := float64(int(replayMean * (0.5 + replay.random.Float64())))
				replay.counts.asked[position]++
				if units > replayMean {
					replay.counts.large++
				}
				heap.Push(&replay.callers, &returning{at: replay.now, deadline: replay.now + replayDeadlines[position], position: position, units: units})
			}
		}
		for len(replay.callers) > 0 && replay.callers[0].at <= replay.now {
			replay.attempt(heap.Pop(&replay.callers).(*returning))
		}
	}
}

// attempt sends a caller's request to any daemon.
func (replay *replay) attempt(caller *returning) {
	each := replay.daemons[replay.random.IntN(len(replay.daemons))]
	decision := each.ledger.Take(replay.now, "payroll", caller.units, quota.Rank{Position: caller.position, Ranks: 3})
	counts := &replay.counts
	if decision.Allowed {
		counts.served[caller.position]++
		counts.usedBy[caller.position] += caller.units
		if caller.units > replayMean {
			counts.largeServed++
		}
		return
	}
	counts.refusals++
	caller.refusals++
	if caller.refusals == 2 {
		counts.refusedTwice[caller.position]++
	}
	wait := decision.RetryAfter
	if replay.schedule && !decision.Isolated() {
		wait, _ = replay.promises[each.number].Promise(replay.now, "payroll", comeback.Refusal{
			Rank: caller.position, Units: caller.units, Class: int(caller.units), Lacking: decision.Lacking, Rate: decision.Rate, Share: decision.Share,
			Spread: replay.random.Uint64(),
		})
	}
	left := caller.deadline - replay.now
	if left > clock.Second {
		caller.at = replay.now + max(stepSpan, min(wait, left/3))
		heap.Push(&replay.callers, caller)
	}
}

// TestReplayOfABusyAccount guards against a reserve and a schedule that serve fewer urgent callers,
// refuse more callers again or leave units unused: an account of 82 daemons asks for six times its
// limit, with ranks 0, 1 and 2 at 3:2:1, after an account at its usual use.
func TestReplayOfABusyAccount(t *testing.T) {
	limit := account.Limit{Unit: account.Tokens, Rate: 74_000, Burst: 74_000}
	play := func(name string, share float64, schedule bool) replayCounts {
		replay := newReplay(share, schedule, limit)
		replay.run(8*clock.Second, 0.55*limit.Rate)
		replay.counts = replayCounts{}
		replay.run(40*clock.Second, 6*limit.Rate)
		t.Logf("%s: %s; used %.3f of the limit", name, replay.counts, replay.counts.used()/40/limit.Rate)
		return replay.counts
	}
	before, after := play("before", 0, false), play("both", 0.5, true)
	play("reserve alone", 0.5, false)
	play("schedule alone", 0, true)
	require.Greater(t, after.served[0]/after.asked[0], 1.2*before.served[0]/before.asked[0])
	require.Greater(t, after.usedBy[0], 0.85*after.used())
	require.Greater(t, after.usedBy[1]+after.usedBy[2], 0.07*after.used(), "the minimum of less urgent ranks")
	require.Greater(t, after.usedBy[2], 0.03*after.used())
	require.Less(t, after.refusals, 0.2*before.refusals)
	require.Less(t, after.refusedTwice[0]/after.asked[0], 0.85*before.refusedTwice[0]/before.asked[0])
	require.Greater(t, after.used(), 0.98*before.used())
}
