package retry

import "teaselmoor/internal/base/clock"

// Allowance is one daemon's share of the fixed allowance, which is the same for all services.
type Allowance struct {
	limits  Limits
	usable  clock.Millis // when the share may be used
	least   int          // daemons that share the allowance at least
	daemons int
}

// NewAllowance returns the share of a daemon that starts now. Least is the minimum number of
// daemons that the allowance is divided by, so that a daemon that knows few others yet does not
// use more than its share. FirstStart reports that the site has never run before: otherwise the
// former process of this daemon may just have used its share, which is usable again after a window.
func NewAllowance(limits Limits, now clock.Millis, least int, firstStart bool) *Allowance {
	allowance := &Allowance{limits: limits, usable: now + limits.Window, least: least}
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

// RecordDaemons records the number of daemons that share the allowance.
func (allowance *Allowance) RecordDaemons(_ clock.Millis, daemons int) {
	allowance.daemons = daemons
}

// Share returns this daemon's share.
func (allowance *Allowance) Share(now clock.Millis) float64 {
	if now < allowance.usable {
		return 0
	}
	return allowance.limits.Extra / float64(max(1, allowance.least, allowance.daemons))
}
