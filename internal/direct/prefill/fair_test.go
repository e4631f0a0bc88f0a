package prefill_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

// accountPrompts returns 6 prompts a second of 16 accounts, with short answers, so that the time to read prompts
// counts. Account 0 sends a multiple of what each other sends, in bursts.
func accountPrompts(hotLoad float64, hotBurst int) (prompts []*prompt) {
	random := rand.New(rand.NewPCG(9, 2))
	for account := range uint64(16) {
		load, burst := []float64{hotLoad, 1}[min(account, 1)], []int{hotBurst, 1}[min(account, 1)]
		for now := 0.0; now < 2_000_000; now += random.ExpFloat64() * 16_000 / 6 / load * float64(burst) {
			for range burst {
				prompt := newPrompt(random, now+30*random.Float64(), []int{0, 0, 0, 0, 0, 1, 1, 1, 2}[random.IntN(9)])
				prompt.account, prompt.events = account, prompt.events/3
				prompts = append(prompts, prompt)
			}
		}
	}
	return sorted(prompts)
}

// accountShares returns the shares of prompts that waited until their bound and that were late, by
// account, and the means of all accounts but 0.
func accountShares(prompts []*prompt) (shares [16][2]float64, others [2]float64) {
	for account := range shares {
		own := slices.DeleteFunc(slices.Clone(prompts), func(prompt *prompt) bool { return prompt.account != uint64(account) })
		bound := slices.DeleteFunc(slices.Clone(own), func(prompt *prompt) bool { return prompt.result != prefill.Bound })
		shares[account] = [2]float64{float64(len(bound)) / float64(len(own)), lateShares(own)[either][all]}
	}
	for _, share := range shares[1:] {
		others[0] += share[0] / 15
		others[1] += share[1] / 15
	}
	return shares, others
}

// TestReplayAccounts guards against an account that makes the prompts of all others wait until their bounds, also
// if owners change, and against a fair order that makes prompts late or that one of the other accounts pays for.
func TestReplayAccounts(t *testing.T) {
	for _, test := range []struct {
		hotLoad  float64
		hotBurst int
		term     clock.Millis
		change   float64 // at most, of the share of others that wait until their bound
	}{{6, 4, 0, -0.005}, {6, 4, 10_000, -0.005}, {6, 1, 0, 0.002}, {1, 1, 0, 0.002}} {
		var before [2]float64
		for _, fair := range []bool{false, true} {
			options := prefill.DefaultOptions()
			options.FairAccounts = fair
			site, prompts := newSiteWith(true, options), accountPrompts(test.hotLoad, test.hotBurst)
			site.term = test.term
			replay(site, prompts, 1)
			requireBounded(t, prompts)
			shares, others := accountShares(prompts)
			t.Logf("%v, fair %v: bound and late: account 0 %.3f, others %.4f; %s; %v", test, fair, shares[0], others, lateShares(prompts), site.results)
			for _, share := range shares[1:] {
				require.InDeltaSlice(t, others[:], share[:], 0.1)
			}
			require.True(t, !fair || others[0] < before[0]+test.change && others[1] < before[1]+0.005)
			before = others
		}
	}
}

func accountRequest(id, account uint64, tokens int, until clock.Millis) prefill.Request {
	return prefill.Request{Daemon: "d", ID: id, Account: account, Rank: 1, Tokens: tokens, GapGoal: gapGoal, Until: until}
}

// TestFairOrder guards against prompts of an account that go before those of one that has sent less, and against an
// account that pays for withdrawn prompts, is paid for idle time, or is remembered when the engine has been idle.
func TestFairOrder(t *testing.T) {
	queue, now := prefill.New(queueOptions()), clock.Millis(0)
	grant := func(added ...prefill.Request) (order []uint64) {
		for _, request := range added {
			queue.Add(now, request)
		}
		for queue.Withdraw(now, "d", 5); queue.Waiting() > 0; {
			granted, wakeAt := queue.Next(now, rate)
			order, now = append(order, ids(granted)...), max(now, wakeAt)
		}
		return order
	}
	require.Equal(t, []uint64{1}, grant(accountRequest(1, 1, limit, 9000)))
	order := grant(accountRequest(2, 1, 600, 9000), accountRequest(3, 1, 600, 9001), accountRequest(4, 2, 900, 9100), accountRequest(5, 2, 900, 9150),
		accountRequest(8, 2, 900, 9200), accountRequest(6, 3, 600, 9300), request(7, 0, 600, 9500))
	require.Equal(t, []uint64{7, 4, 6, 8, 2, 3}, order, "rank 0; then starts 0, 0, 900, 3000, 3600; 5 is withdrawn")
	require.Equal(t, int64(3), queue.Overtaken())
	order = grant(accountRequest(9, 1, 600, 9000), accountRequest(10, 4, 600, 9000), accountRequest(11, 4, 600, 9000), accountRequest(12, 2, 600, 9500))
	require.Equal(t, []uint64{10, 12, 9, 11}, order, "the virtual time is 3600, as is the start of 10 and 12; 9 and 11 start at 4200")
	now += 1000
	order = grant(accountRequest(13, 5, limit, 9900), accountRequest(14, 1, 600, 9000), accountRequest(15, 6, 600, 9100))
	require.Equal(t, []uint64{14, 15, 13}, order, "without virtual times")
	require.Equal(t, []uint64{17, 16}, grant(accountRequest(16, 5, 600, 9000), accountRequest(17, 6, 2*limit, 9100)), "17 starts at 600 and waits until the bucket is empty")
	require.Empty(t, grant(accountRequest(18, 7, 600, now+50), accountRequest(19, 6, 600, now+100)))
	require.Equal(t, []uint64{20, 21}, grant(accountRequest(20, 7, 600, 8000), accountRequest(21, 8, 600, 9000)), "the prompt that was sent at its bound started later than 20")
}

// TestFairOrderOff guards against another order, or other times, with the option off or without accounts.
func TestFairOrderOff(t *testing.T) {
	options, random := queueOptions(), rand.New(rand.NewPCG(3, 3))
	options.FairAccounts = false
	plain, off, one := prefill.New(options), prefill.New(options), prefill.New(queueOptions())
	for id := range uint64(5000) {
		now := clock.Millis(100 * id)
		added := request(id, random.IntN(3), random.IntN(2500), now+clock.Millis(random.IntN(700)))
		plain.Add(now, added)
		one.Add(now, added)
		added.Account = random.Uint64N(5)
		off.Add(now, added)
		granted, wakeAt := plain.Next(now, rate)
		for _, queue := range []*prefill.Queue{off, one} {
			other, otherWakeAt := queue.Next(now, rate)
			require.Equal(t, ids(granted), ids(other))
			require.Equal(t, wakeAt, otherWakeAt)
		}
	}
	require.Zero(t, off.Overtaken()+one.Overtaken())
}

// TestFairOrderAccounts guards against state that grows with the number of accounts, against accounts that come once
// and make others lose their order, and against one that stays first as it does not state the size of its prompts.
func TestFairOrderAccounts(t *testing.T) {
	order := prefill.NewFairOrder(256)
	hot := accountRequest(0, 1, 100_000, 0)
	order.Charge(hot)
	for id := range uint64(10_000) {
		once, next := accountRequest(id, id+2, 0, 0), accountRequest(id, id+3, 500, 0)
		require.Equal(t, 1, order.First([]prefill.Request{hot, once, next}))
		order.Charge(once)
		require.True(t, id >= 255 || order.First([]prefill.Request{once, next}) == 1)
		require.LessOrEqual(t, order.Accounts(), 256)
	}
	order.Advance([]prefill.Request{hot}, hot.Rank)
	order.Charge(accountRequest(0, 0, 1, 0))
	require.Equal(t, 1, order.Accounts(), "the others have no effect any more")
}
