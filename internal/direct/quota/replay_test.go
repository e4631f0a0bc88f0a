package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/retryafter"
)

// replayMean is the mean cost of a request of the replay, in tokens.
const replayMean = 1700

// replayCaller is a caller of the replay.
type replayCaller struct {
	deadline           clock.Millis
	position, refusals int
	units              float64
}

// replay sends requests of three ranks at 3:2:1 to a site. Refused callers return when they are told
// to, but wait for at most a third of the time they have left, and give up in their last second.
type replay struct {
	*site
	overdrawn                   bool // a request was admitted without the units for it
	schedule                    bool
	promises                    []*retryafter.Schedule // by daemon
	callers                     map[clock.Millis][]*replayCaller
	asked, served, refusedTwice [3]float64 // callers by position
	used                        [3]float64 // units by position
	refusals                    float64    // attempts
}

func newReplay(share float64, schedule bool, limit account.Limit) *replay {
	replay := &replay{site: newSite(9, 82, limit, tolerance), schedule: schedule, callers: make(map[clock.Millis][]*replayCaller)}
	replay.setReserve(share, [3]float64{3, 2, 1})
	for range replay.daemons {
		replay.promises = append(replay.promises, retryafter.New(retryafter.DefaultOptions()))
	}
	return replay
}

// play advances time by span while new callers ask for perSecond units a second.
func (replay *replay) play(span clock.Millis, perSecond float64) {
	for end := replay.now + span; replay.now < end; replay.now += stepSpan {
		for _, each := range replay.daemons {
			if replay.now%reportSpan == 0 {
				each.ledger.SetSite(replay.now, replay.view(each))
				replay.report(each)
			}
		}
		for chance := perSecond / replayMean * stepSpan.Seconds(); chance > replay.random.Float64(); chance-- {
			position := replay.rank().Position
			left := [3]clock.Millis{15_000, 8000, 20_000}[position]
			replay.asked[position]++
			replay.attempt(&replayCaller{deadline: replay.now + left, position: position, units: float64(int(replayMean * (0.5 + replay.random.Float64())))})
		}
		for _, caller := range replay.callers[replay.now] {
			replay.attempt(caller)
		}
		delete(replay.callers, replay.now)
	}
}

// attempt sends a caller's request to any daemon.
func (replay *replay) attempt(caller *replayCaller) {
	each := replay.daemons[replay.random.IntN(len(replay.daemons))]
	decision := each.ledger.Take(replay.now, "payroll", caller.units, quota.Rank{Position: caller.position, Ranks: 3})
	if decision.Allowed {
		replay.overdrawn = replay.overdrawn || decision.Left < caller.units
		replay.served[caller.position]++
		replay.used[caller.position] += caller.units
		return
	}
	replay.refusals++
	if caller.refusals++; caller.refusals == 2 {
		replay.refusedTwice[caller.position]++
	}
	wait := decision.RetryAfter
	if replay.schedule {
		wait, _ = replay.promises[each.number].Promise(replay.now, "payroll", retryafter.Refusal{
			Rank: caller.position, Units: caller.units, Class: uint64(caller.units), Lacking: decision.Lacking,
			Rate: decision.Rate, Share: decision.Share, Spread: replay.random.Uint64(),
		})
	}
	if left := caller.deadline - replay.now; left > clock.Second {
		at := replay.now + max(stepSpan, min(wait, left/3)/stepSpan*stepSpan)
		replay.callers[at] = append(replay.callers[at], caller)
	}
}

// TestReplayOfABusyAccount guards against a reserve and a schedule that serve fewer urgent callers,
// refuse more callers again or leave units unused: an account of 82 daemons that used 0.55 of its
// limit asks for six times its limit.
func TestReplayOfABusyAccount(t *testing.T) {
	limit := account.Limit{Unit: account.Tokens, Rate: 74_000, Burst: 74_000}
	sum := func(by [3]float64) float64 { return by[0] + by[1] + by[2] }
	play := func(name string, share float64, schedule bool) *replay {
		replay := newReplay(share, schedule, limit)
		replay.play(8*clock.Second, 0.55*limit.Rate)
		replay.asked, replay.served, replay.used, replay.refusals, replay.refusedTwice = [3]float64{}, [3]float64{}, [3]float64{}, 0, [3]float64{}
		replay.play(40*clock.Second, 6*limit.Rate)
		t.Logf("%s: asked %.0f, served %.0f, refused twice %.0f, units %.0f by rank; %.2f refusals per caller; %.3f of the limit used", name,
			replay.asked, replay.served, replay.refusedTwice, replay.used, replay.refusals/sum(replay.asked), sum(replay.used)/40/limit.Rate)
		return replay
	}
	before, after := play("before", 0, false), play("reserve and schedule", 0.5, true)
	play("reserve", 0.5, false)
	play("schedule", 0, true)
	require.Greater(t, after.served[0]/after.asked[0], 1.2*before.served[0]/before.asked[0])
	require.Greater(t, after.used[1]+after.used[2], 0.07*sum(after.used), "the minimum of less urgent ranks")
	require.Greater(t, after.used[2], 0.03*sum(after.used))
	require.Less(t, after.refusals, 0.2*before.refusals)
	require.Less(t, after.refusedTwice[0]/after.asked[0], 0.85*before.refusedTwice[0]/before.asked[0])
	require.False(t, after.overdrawn)
	require.Greater(t, sum(after.used), 0.98*sum(before.used))
}
