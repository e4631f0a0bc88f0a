package quota

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Tolerance is by how much the usage of an account may exceed its limit in any span of
// length Window. It comes from the platform's settings.
type Tolerance struct {
	Window clock.Millis
	Over   float64 // share of what the limit allows in the window
	Slack  float64 // units in addition
}

// DefaultWindow is the window where the settings set none.
const DefaultWindow = 8 * clock.Second

// Shares of the tolerance that accounts may use. The rest covers what daemons admit before
// they have received each other's reports. While some daemons are missing, the share is
// smaller and leaves more for that.
const (
	connectedOverShare  = 0.4  // of Over, added to the rate
	connectedBurstShare = 0.45 // of the allowance that remains beside the rate, for the burst
	splitOverShare      = 0.1
	slackShare          = 0.5
)

// allowance returns the units that the limit allows in the window.
func (tolerance Tolerance) allowance(limit account.Limit) float64 {
	return limit.Rate*tolerance.Window.Seconds() + limit.Burst
}

// connectedBucket returns the rate and depth of the bucket while no daemon is missing.
func (tolerance Tolerance) connectedBucket(limit account.Limit) (rate, depth float64) {
	rate = limit.Rate * (1 + connectedOverShare*tolerance.Over)
	left := tolerance.allowance(limit)*(1+tolerance.Over) - rate*tolerance.Window.Seconds()
	return rate, max(connectedBurstShare*left, limit.Burst) + slackShare*tolerance.Slack
}

// splitBucket returns the rate and depth that are split between the sides while some
// daemons are missing.
func (tolerance Tolerance) splitBucket(limit account.Limit) (rate, depth float64) {
	return limit.Rate, limit.Burst + splitOverShare*tolerance.Over*tolerance.allowance(limit) + slackShare*tolerance.Slack
}

// maxDebtShare bounds how far a bucket may be overdrawn, as a share of what the limit's rate
// adds during a window. A larger debt would refuse requests because of usage that the window
// no longer contains.
const maxDebtShare = 0.5

// rateTimeConstant is the time constant of rates.
const rateTimeConstant = 2 * clock.Second
