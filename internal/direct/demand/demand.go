// Package demand decides how daemons split what all of them may use together, such as the request
// limit of a server. Each normally gets an equal share. When callers come mostly at few
// daemons, equal shares would leave those short and the rest unused: the shares then follow the
// requests that each daemon receives. The package does no I/O and reads no clock.
//
// Each daemon counts its callers' requests and reports the number to the others when it has changed
// much, and smaller changes while the shares are uneven. All daemons compute the shares from the same
// reports, so that these add up to one, but for the time that reports take.
package demand

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// Options are the options for shares.
type Options struct {
	// Window is the time over which requests are counted.
	Window clock.Millis
	// Excess and MaxShare tell when shares are uneven: when a daemon receives more than Excess times the mean
	// share of the requests, or MaxShare of them.
	Excess, MaxShare float64
	// Return is the factor by which these bounds are lower until shares are equal again.
	Return float64
	// Even is the part of what is split that is split equally even then, so that each daemon can send
	// something.
	Even float64
	// MinReportInterval is the shortest time between two reports of a daemon. While shares are uneven it reports smaller
	// changes, and what it lends, at that interval, or at DaemonInterval for each daemon of the site if that is longer.
	MinReportInterval, DaemonInterval clock.Millis
}

// DefaultOptions returns options under which uneven shares are noticed within a second or two, without
// taking the usual variation of few requests for it.
func DefaultOptions() Options {
	return Options{
		Window: 2 * clock.Second, Excess: 2.5, MaxShare: 0.7, Return: 0.8, Even: 0.1,
		MinReportInterval: 250, DaemonInterval: 10,
	}
}

// Report is the number of requests that a daemon received within Options.Window. Of two reports of a daemon the one with the
// later incarnation is newer, or with the higher number if they are equal.
type Report struct {
	Daemon      string
	Incarnation int64
	Number      int64
	Requests    int
	Loan        float64 // retries a window that the daemon lends another one
	LoanTo      string  // empty: none
	// LoanIncarnation and LoanNumber name the report of the borrower that the loan answers. The borrower counts the time of the loan from
	// that report, so that a message that was held back on its way does not prolong it.
	LoanIncarnation, LoanNumber int64
}

func (report Report) newerThan(other Report) bool {
	if report.Incarnation != other.Incarnation {
		return report.Incarnation > other.Incarnation
	}
	return report.Number > other.Number
}

// known is the newest report of a daemon.
type known struct {
	Report
	revision int64 // of the table at which it changed
}

// Table holds the reports of all daemons as one of them knows them.
type Table struct {
	options    Options
	own        Report
	lending    Report       // Loan and LoanTo of the next report
	lastReport clock.Millis // when this daemon made its last report
	window     window
	reportedAt map[int64]clock.Millis // when this daemon made its latest reports, by number
	reports    map[string]known
	revision   int64
	uneven     bool
	shares     Shares
}

// New returns the table of a daemon that has received no requests and knows no other daemon.
func New(options Options, daemon string, incarnation int64) *Table {
	return &Table{
		options: options, own: Report{Daemon: daemon, Incarnation: incarnation}, window: newWindow(options.Window),
		reportedAt: make(map[int64]clock.Millis), reports: make(map[string]known), shares: Shares{daemons: 1},
	}
}

// RecordRequest counts a request of a caller.
func (table *Table) RecordRequest(now clock.Millis) {
	table.window.add(now)
}

// Update computes the shares of the given daemons of the site, this one included, and reports whether this daemon's report or
// the shares have changed. It must be called several times a second.
func (table *Table) Update(now clock.Millis, daemons []string) bool {
	before := table.revision
	table.updateReport(now, len(daemons))
	changed := table.updateShares(daemons)
	return changed || table.revision != before
}

// updateReport makes a new report of this daemon if it is due.
func (table *Table) updateReport(now clock.Millis, daemons int) {
	passed := now - table.lastReport
	requests := table.window.sum(now)
	lends := table.lending.Loan > 0 || table.own.Loan > 0
	due := table.uneven && passed >= clock.Millis(daemons)*table.options.DaemonInterval && (lends || differs(requests, table.own.Requests))
	renews := passed >= renewInterval && table.uneven && table.shares.Largest() == table.own.Daemon
	if passed < table.options.MinReportInterval || !due && !renews && !differsMuch(requests, table.own.Requests) {
		return
	}
	own := table.lending
	own.Daemon, own.Incarnation, own.Number, own.Requests = table.own.Daemon, table.own.Incarnation, table.own.Number+1, requests
	table.own = own
	table.lastReport = now
	table.reportedAt[own.Number] = now
	delete(table.reportedAt, own.Number-maxReportTimes)
	table.apply(now, own)
}

// renewInterval is the time between two reports of the daemon at which most callers come, so that others renew their loans to it.
const renewInterval = 1 * clock.Second

// maxReportTimes is the number of a daemon's own reports whose times it keeps. They are made at most every Options.MinReportInterval,
// so that it exceeds the longest loan.
const maxReportTimes = 64

// differsMuch reports whether two counts differ by more than three standard deviations of random
// arrivals.
func differsMuch(first, second int) bool {
	return math.Abs(float64(first-second)) > 1+3*math.Sqrt(float64(max(first, second)))
}

// maxDifference is the part of a count by which the reported one may differ from it while shares are uneven.
const maxDifference = 0.25

// differs reports whether a count differs from the reported one by more than shares may be off.
func differs(requests, reported int) bool {
	return math.Abs(float64(requests-reported)) > 1+maxDifference*float64(max(requests, reported))
}

// apply applies a report if it is newer than the known one, and reports whether it was.
func (table *Table) apply(now clock.Millis, report Report) bool {
	if before, ok := table.reports[report.Daemon]; ok && !report.newerThan(before.Report) {
		return false
	}
	table.revision++
	table.reports[report.Daemon] = known{Report: report, revision: table.revision}
	return true
}

// Merge applies the reports that another daemon knows. It reports whether any was new.
func (table *Table) Merge(now clock.Millis, reports []Report) bool {
	changed := false
	for _, report := range reports {
		if report.Daemon != table.own.Daemon {
			changed = table.apply(now, report) || changed
		}
	}
	return changed
}

// Revision returns the revision of the table. It increases with each report.
func (table *Table) Revision() int64 {
	return table.revision
}

// ChangedSince returns the reports that have come after the given revision.
func (table *Table) ChangedSince(revision int64) []Report {
	if revision >= table.revision {
		return nil
	}
	var changed []Report
	for _, each := range table.reports {
		if each.revision > revision {
			changed = append(changed, each.Report)
		}
	}
	return changed
}

// Latest returns the newest known report of a daemon.
func (table *Table) Latest(daemon string) Report {
	return table.reports[daemon].Report
}

// SetLoan sets what this daemon lends another one in answer to its report. It is reported with the next report.
func (table *Table) SetLoan(answered Report, loan float64) {
	table.lending = Report{Loan: loan, LoanTo: answered.Daemon, LoanIncarnation: answered.Incarnation, LoanNumber: answered.Number}
}

// Borrowed returns what other daemons lend this process, in answer to reports that it made less than a time ago.
func (table *Table) Borrowed(now, longest clock.Millis) float64 {
	borrowed := 0.0
	for _, each := range table.reports {
		if each.LoanTo != table.own.Daemon || each.LoanIncarnation != table.own.Incarnation {
			continue
		}
		if at, ok := table.reportedAt[each.LoanNumber]; ok && now-at < longest {
			borrowed += each.Loan
		}
	}
	return borrowed
}

// Shares returns the present shares.
func (table *Table) Shares() Shares {
	return table.shares
}

// Retain drops the reports of daemons for which kept is false.
func (table *Table) Retain(kept func(daemon string) bool) {
	for daemon := range table.reports {
		if !kept(daemon) {
			delete(table.reports, daemon)
		}
	}
}
