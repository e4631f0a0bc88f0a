package ownership

import "teaselmoor/internal/base/clock"

// Options are the time limits of ownership. Those of the platform (list lag, clock
// margin, order delay) are assumptions: the ownership of an engine that ignores
// fencing numbers is exclusive only as long as they hold.
type Options struct {
	// MaxListAge is the maximum age of the VM list at which an owner sends orders.
	MaxListAge clock.Millis
	// ListLag is the maximum delay until the VM list shows a change.
	ListLag clock.Millis
	// ClockMargin is the maximum difference between the wall clocks of two VMs.
	ClockMargin clock.Millis
	// MaxHandoverAge is the maximum age of a handover that replaces the hold-down.
	MaxHandoverAge clock.Millis
	// MaxOrderDelay is the maximum time from the decision to send an order until it
	// arrives at the engine.
	MaxOrderDelay clock.Millis
	// ReportLag is the maximum time by which a report is older than its stated age.
	ReportLag clock.Millis
	// SilenceTimeout is the time without messages after which a daemon of the same data
	// centre is skipped as a candidate for engines that check fencing numbers.
	SilenceTimeout clock.Millis
	// MaxStepGap is the longest gap between two steps that does not count as a pause of
	// the process.
	MaxStepGap clock.Millis
}

// DefaultOptions returns the time limits used if the settings do not set them.
func DefaultOptions() Options {
	return Options{
		MaxListAge:     2 * clock.Second,
		ListLag:        clock.Second,
		ClockMargin:    250 * clock.Millisecond,
		MaxHandoverAge: 250 * clock.Millisecond,
		MaxOrderDelay:  250 * clock.Millisecond,
		ReportLag:      500 * clock.Millisecond,
		SilenceTimeout: 2 * clock.Second,
		MaxStepGap:     500 * clock.Millisecond,
	}
}

// HoldDown returns how long a daemon waits after it first reads a VM list that makes
// it the first candidate. After that time no order of a former owner can be in
// progress: the former owner read the last list that still named it within the list
// lag and acted on it up to the maximum list age, and its last order or handover
// arrived within its own maximum delay.
func (options Options) HoldDown() clock.Millis {
	return options.MaxListAge + options.ListLag + options.ClockMargin + options.MaxHandoverAge + options.MaxOrderDelay
}
