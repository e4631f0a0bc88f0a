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
	started := &daemon{budget: retry.New(limits), allowance: retry.NewAllowance(limits, now, 1)}
	if firstStart {
		started.allowance.Unused(now)
	}
	started.allowance.RecordDaemons(now, daemons)
	return started
}

// sendOne sends a retry if one is left, and reports whether it was.
func (daemon *daemon) sendOne(now clock.Millis) bool {
	share := daemon.allowance.Share(now)
	reserved, ok := daemon.budget.Reserve(now, share)
	if !ok || !reserved.Send(now, share) {
		return false
	}
	reserved.Settle(now)
	return true
}

// sendAll sends retries until none is left, and returns their number.
func (daemon *daemon) sendAll(now clock.Millis) int {
	sent := 0
	for daemon.sendOne(now) {
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
// and has its share of the allowance when its former process can no longer have used or lent it.
func TestRestartedDaemonRetries(t *testing.T) {
	restarted := start(50_000, 9, false)
	sent := 0
	for i := range clock.Millis(50) {
		restarted.budget.RecordRequest(50_000 + 10*i)
		sent += restarted.sendAll(50_000 + 10*i)
	}
	require.Equal(t, 9, sent, "the ratio, less what may be on its way")
	require.Zero(t, start(50_000, 9, false).sendAll(50_000+limits.Window+retry.LoanTime))
	require.Equal(t, 6, start(50_000, 9, false).sendAll(50_000+2*limits.Window))
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
	share := retry.Share{Retries: 6}
	var waiting []*retry.Retry
	for range 6 {
		reserved, ok := budget.Reserve(20_000, share)
		require.True(t, ok)
		waiting = append(waiting, reserved)
	}
	_, ok := budget.Reserve(29_000, share)
	require.False(t, ok, "the retries that wait are counted")
	for _, reserved := range waiting {
		require.True(t, reserved.Send(29_500, share))
		reserved.Settle(29_600)
	}
	_, ok = budget.Reserve(32_000, share)
	require.False(t, ok, "the window contains retries that waited until 29.5 s")
	_, ok = budget.Reserve(39_000, share)
	require.False(t, ok)
	_, ok = budget.Reserve(41_000, share)
	require.True(t, ok)
}

// TestRetryThatReachesNoServerIsNotCounted: a retry is not lost if no byte of it reached a server, or if
// it is given up.
func TestRetryThatReachesNoServerIsNotCounted(t *testing.T) {
	budget := retry.New(limits)
	share := retry.Share{Retries: 1}
	reserved, ok := budget.Reserve(20_000, share)
	require.True(t, ok)
	require.True(t, reserved.Send(20_000, share))
	reserved.NotSent()
	_, ok = budget.Reserve(20_400, share)
	require.False(t, ok, "it is still to be sent")
	reserved.Release(20_400)
	again, ok := budget.Reserve(20_400, share)
	require.True(t, ok)
	require.True(t, again.Send(20_500, share))
	again.Release(20_500)
	_, ok = budget.Reserve(21_000, share)
	require.False(t, ok)
}

// TestReturnedRequestIsNotCounted: a request that another daemon serves allows no retries here.
func TestReturnedRequestIsNotCounted(t *testing.T) {
	budget := retry.New(limits)
	const earned = 0.2 * 10_000 / 10_250 // by one request, less what may be on its way
	share := retry.Share{Retries: 5}
	for range 5 {
		require.True(t, send(budget, 19_000, share.Retries))
	}
	for i := range clock.Millis(10) {
		budget.RecordRequest(20_000 + i)
	}
	require.InDelta(t, 10*earned, budget.Remaining(20_100, share), 1e-9)
	for range 5 {
		budget.ReturnRequest(21_500)
	}
	require.InDelta(t, 5*earned, budget.Remaining(21_600, share), 1e-9)
	budget.ReturnRequest(40_000)
	require.InDelta(t, 5-earned, budget.Remaining(40_000, share), 1e-9, "at most what the request allowed is taken back")
}

// TestLoansStayWithinAllowance: callers come mostly at one daemon, and at another one every few seconds. The others lend it their
// shares, with messages that take up to half a second. In no window do all daemons use more than the allowance.
func TestLoansStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 6
		var site []*daemon
		loans := make([]map[int]float64, daemons) // by borrower and lender, as the borrower knows them
		for i := range daemons {
			site = append(site, start(0, daemons, true))
			loans[i] = make(map[int]float64)
		}
		type message struct {
			at               clock.Millis
			lender, borrower int
			of               float64
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
				loan := daemon.allowance.Lend(now, retry.Borrower{Daemon: to}, daemon.budget.UsedShare(now))
				for j := range daemons {
					of := 0.0
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
				sum := 0.0
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
	to := retry.Borrower{Daemon: "borrower", Incarnation: 1}
	sum := 0.0
	for range daemons - 1 {
		lender := start(0, daemons, true)
		own := lender.allowance.Share(20_000).Retries
		loan := lender.allowance.Lend(20_000, to, lender.budget.UsedShare(20_000))
		require.InDelta(t, own, lender.allowance.Share(20_000).Retries+loan, 1e-9)
		require.Zero(t, lender.allowance.Lend(21_000, retry.Borrower{Daemon: "borrower", Incarnation: 2}, 0), "its former process may use the loan")
		require.LessOrEqual(t, lender.allowance.Share(34_000).Retries+loan, own, "the borrower may have used it until 28 s")
		require.GreaterOrEqual(t, lender.allowance.Share(41_000).Retries, 6.0)
		sum += loan
	}
	borrower.allowance.Borrow(sum)
	require.GreaterOrEqual(t, borrower.sendAll(20_000), int(limits.Extra)*9/10)
}

// TestRestartedDaemonDoesNotBorrowAgain guards against a daemon that starts again and uses a loan that its former process has used.
func TestRestartedDaemonDoesNotBorrowAgain(t *testing.T) {
	lender := start(0, 9, true)
	require.InDelta(t, 5, lender.allowance.Lend(20_000, retry.Borrower{Daemon: "d0", Incarnation: 1}, 0), 1e-9)
	for now := clock.Millis(20_500); now < 20_000+limits.Window+retry.LoanTime; now += 500 {
		require.Zero(t, lender.allowance.Lend(now, retry.Borrower{Daemon: "d0", Incarnation: 2}, 0))
	}
	require.InDelta(t, 5, lender.allowance.Lend(41_000, retry.Borrower{Daemon: "d0", Incarnation: 2}, 0), 1e-9)
}

// TestRetryIsNotSentAfterLoanHasEnded guards against retries that wait for a server until the share which allowed them is used elsewhere.
func TestRetryIsNotSentAfterLoanHasEnded(t *testing.T) {
	borrower := start(0, 9, true)
	borrower.allowance.Borrow(1)
	reserved, ok := borrower.budget.Reserve(20_000, borrower.allowance.Share(20_000))
	require.True(t, ok)
	require.Equal(t, 6, borrower.sendAll(20_000))
	borrower.allowance.Borrow(0)
	require.False(t, reserved.Send(26_000, borrower.allowance.Share(26_000)))
	reserved.Release(26_000)
	require.Equal(t, 6, borrower.sendAll(31_000), "it was returned")
}
