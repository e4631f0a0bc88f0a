package retry

import "teaselmoor/internal/base/clock"

// Allowance is one daemon's share of the fixed allowance, which is the same for all services.
type Allowance struct {
	limits  Limits
	usable  clock.Millis // when the share may be used
	least   int          // daemons that share the allowance at least
	daemons window       // highest number of daemons known
	current int          // last number of daemons recorded

	lent     window // highest loan to another daemon
	lentTo   string // the daemon that has the loan
	borrowed int
}

// NewAllowance returns the share of a daemon that starts now. Least is the minimum number of
// daemons that the allowance is divided by, so that a daemon that knows few others yet does not
// use more than its share. FirstStart reports that the site has never run before: otherwise the
// former process of this daemon may just have used its share, which is usable again after a window.
func NewAllowance(limits Limits, now clock.Millis, least int, firstStart bool) *Allowance {
	allowance := &Allowance{limits: limits, usable: now + limits.Window, least: least, daemons: newWindow(limits.Window), lent: newWindow(limits.Window + loanMargin)}
	if firstStart {
		allowance.usable = now
	}
	return allowance
}

// SetLimits replaces the fixed allowance. The window stays as it is.
func (allowance *Allowance) SetLimits(limits Limits) {
	limits.Window = allowance.limits.Window
	allowance.limits = limits
}

// RecordDaemons records the number of daemons that share the allowance. It must be called several
// times in a window.
func (allowance *Allowance) RecordDaemons(now clock.Millis, daemons int) {
	allowance.daemons.advance(now)
	*allowance.daemons.bucket() = max(*allowance.daemons.bucket(), daemons)
	allowance.current = daemons
}

// Share returns what this daemon may use: its share, less what it lends, and what it borrows.
func (allowance *Allowance) Share(now clock.Millis) float64 {
	allowance.lent.advance(now)
	return max(0, allowance.ownShare(now)-float64(allowance.lent.max())) + float64(allowance.borrowed)
}

// ownShare returns this daemon's share. It is that of the highest number of daemons in the window: those
// that have left may have used theirs, or still do so until they end.
func (allowance *Allowance) ownShare(now clock.Millis) float64 {
	if now < allowance.usable {
		return 0
	}
	allowance.daemons.advance(now)
	return allowance.limits.Extra / float64(max(1, allowance.least, allowance.current, allowance.daemons.max()))
}
