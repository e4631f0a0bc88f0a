package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/retry"
)

// daemon is a daemon of a site that sends a service as many retries as it may.
type daemon struct {
	budget    *retry.Budget
	allowance *retry.Allowance
}

func start(now clock.Millis, daemons int, firstStart bool) *daemon {
	started := &daemon{budget: retry.New(limits), allowance: retry.NewAllowance(limits, now, 1, firstStart)}
	started.allowance.RecordDaemons(now, daemons)
	return started
}

// sendAll sends retries until none is left, and returns their number.
func (daemon *daemon) sendAll(now clock.Millis) int {
	sent := 0
	for send(daemon.budget, now, daemon.allowance.Share(now)) {
		sent++
	}
	return sent
}

// TestRestartDoesNotRenewAllowance guards against daemons that use their share of the fixed allowance
// again after each restart, while the retries of their former processes are in the window.
func TestRestartDoesNotRenewAllowance(t *testing.T) {
	const daemons = 9
	sent := 0
	for range daemons {
		sent += start(0, daemons, true).sendAll(20_000)
	}
	for restart := clock.Millis(21_000); restart < 30_000; restart += 3000 {
		for range daemons {
			sent += start(restart, daemons, false).sendAll(restart + 500)
		}
	}
	require.LessOrEqual(t, sent, int(limits.Extra))
}

// TestRestartedDaemonRetries: a daemon that has just restarted retries by the ratio of its requests,
// and has its share of the allowance after a window.
func TestRestartedDaemonRetries(t *testing.T) {
	restarted := start(50_000, 9, false)
	for i := range clock.Millis(50) {
		restarted.budget.RecordRequest(50_000 + 10*i)
	}
	require.Equal(t, 10, restarted.sendAll(50_500))
	require.Equal(t, 6, start(50_000, 9, false).sendAll(50_000+limits.Window))
}

// TestLeavingDaemonsKeepTheirShares guards against daemons that take over the shares of others that
// leave, while those still retry and their retries are in the window.
func TestLeavingDaemonsKeepTheirShares(t *testing.T) {
	const daemons = 9
	var site []*daemon
	for range daemons {
		site = append(site, start(0, daemons, true))
	}
	for _, daemon := range site {
		daemon.allowance.RecordDaemons(19_900, daemons)
	}
	for _, daemon := range site[:3] {
		daemon.allowance.RecordDaemons(20_000, 3)
	}
	sent := 0
	for _, daemon := range site {
		sent += daemon.sendAll(20_100)
	}
	require.LessOrEqual(t, sent, int(limits.Extra))
}

// TestRetriesCountWhenSent guards against retries that wait for seconds before they are sent, and arrive
// together with those of the next window.
func TestRetriesCountWhenSent(t *testing.T) {
	budget := retry.New(limits)
	const share = 6
	var waiting []*retry.Retry
	for range share {
		reserved, ok := budget.Reserve(20_000, share)
		require.True(t, ok)
		waiting = append(waiting, reserved)
	}
	_, ok := budget.Reserve(29_000, share)
	require.False(t, ok, "the retries that wait are counted")
	for _, reserved := range waiting {
		reserved.Sent(29_500)
	}
	_, ok = budget.Reserve(32_000, share)
	require.False(t, ok, "the window contains retries that waited until 29.5 s")
	_, ok = budget.Reserve(41_000, share)
	require.True(t, ok)
}

// TestRetryThatReachesNoServerIsNotCounted: a retry is not lost if no byte of it reached a server, or if
// it is given up.
func TestRetryThatReachesNoServerIsNotCounted(t *testing.T) {
	budget := retry.New(limits)
	reserved, ok := budget.Reserve(20_000, 1)
	require.True(t, ok)
	reserved.Sent(20_000)
	reserved.NotSent(20_400)
	_, ok = budget.Reserve(20_400, 1)
	require.False(t, ok, "it is still to be sent")
	reserved.Release()
	again, ok := budget.Reserve(20_400, 1)
	require.True(t, ok)
	again.Sent(20_500)
	again.Release()
	_, ok = budget.Reserve(21_000, 1)
	require.False(t, ok)
}

// TestReturnedRequestIsNotCounted: a request that another daemon serves allows no retries here.
func TestReturnedRequestIsNotCounted(t *testing.T) {
	budget := retry.New(limits)
	for i := range clock.Millis(10) {
		budget.RecordRequest(20_000 + i)
	}
	require.InDelta(t, 2.0, budget.Remaining(20_100, 0), 1e-9)
	for i := range clock.Millis(5) {
		budget.ReturnRequest(21_500, 20_000+i)
	}
	require.InDelta(t, 1.0, budget.Remaining(21_600, 0), 1e-9)
	budget.ReturnRequest(40_000, 20_005)
	require.Zero(t, budget.Remaining(40_000, 0), "the request has left the window")
}

// TestLoansStayWithinAllowance: callers come mostly at one daemon, and at another one every few seconds. The others lend it their
// shares, with messages that take up to half a second. In no window do all daemons use more than the allowance.
func TestLoansStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 6
		var site []*daemon
		loans := make([]map[int]int, daemons) // by borrower and lender, as the borrower knows them
		for i := range daemons {
			site = append(site, start(0, daemons, true))
			loans[i] = make(map[int]int)
		}
		type message struct {
			at                   clock.Millis
			lender, borrower, of int
		}
		var sending []message
		var sent []clock.Millis
		first := 0
		for now := clock.Millis(20_000); now < 80_000; now += 100 {
			if now%2000 == 0 {
				first = rapid.IntRange(-1, daemons-1).Draw(t, "most callers")
			}
			for i, daemon := range site {
				daemon.allowance.RecordDaemons(now, daemons)
				to := ""
				if first >= 0 && first != i {
					to = fmt.Sprint(first)
				}
				loan := daemon.allowance.Lend(now, to, daemon.budget.UsedShare(now))
				for j := range daemons {
					of := 0
					if j == first {
						of = loan
					}
					sending = append(sending, message{at: now + clock.Millis(rapid.IntRange(0, 5).Draw(t, "delay"))*100, lender: i, borrower: j, of: of})
				}
			}
			for _, message := range sending {
				if message.at == now {
					loans[message.borrower][message.lender] = message.of
				}
			}
			for i, daemon := range site {
				sum := 0
				for _, of := range loans[i] {
					sum += of
				}
				daemon.allowance.Borrow(sum)
				if rapid.IntRange(0, 3).Draw(t, "retries") == 0 {
					for range daemon.sendAll(now) {
						sent = append(sent, now)
					}
				}
			}
		}
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other < at+limits.Window {
					count++
				}
			}
			require.LessOrEqual(t, count, int(limits.Extra))
		}
	})
}

// TestIdleDaemonsLendTheirShares: the daemon at which most callers come may use nearly the whole allowance.
func TestIdleDaemonsLendTheirShares(t *testing.T) {
	const daemons = 6
	borrower := start(0, daemons, true)
	sum := 0
	for range daemons - 1 {
		lender := start(0, daemons, true)
		sum += lender.allowance.Lend(20_000, "borrower", lender.budget.UsedShare(20_000))
		require.Less(t, lender.allowance.Share(20_000), 1.0)
		lender.allowance.Lend(21_000, "", 0)
		require.Less(t, lender.allowance.Share(30_000), 1.0, "the borrower may have used it until 27 s")
		require.GreaterOrEqual(t, lender.allowance.Share(41_000), 6.0)
	}
	borrower.allowance.Borrow(sum)
	require.GreaterOrEqual(t, borrower.sendAll(20_000), int(limits.Extra)*9/10)
}
