package ownership

import "teaselmoor/internal/base/clock"

// Options are the spans that ownership rests on. Those of the platform (list
// lag, clock margin, order span) are assumptions: exclusive ownership of an
// engine that ignores fencing numbers holds only while they do.
type Options struct {
	// ViewAge is the age of the VM list up to which an owner gives orders.
	ViewAge clock.Millis
	// ListLag is the longest span by which the list lags behind the truth.
	ListLag clock.Millis
	// ClockMargin is the largest difference between the wall clocks of two VMs.
	ClockMargin clock.Millis
	// HandoverSpan is the age up to which a handover replaces the hold-down.
	HandoverSpan clock.Millis
	// OrderSpan is the longest span between the decision to give an order and
	// its arrival at the engine.
	OrderSpan clock.Millis
	// ReportLag is the longest span by which a report is older than it says.
	ReportLag clock.Millis
	// Suspicion is the silence after which a daemon of the same data centre is
	// passed over for engines that check fencing numbers.
	Suspicion clock.Millis
	// Pause is the gap between two steps that counts as a pause of the process.
	Pause clock.Millis
}

// DefaultOptions returns the spans used when settings name none.
func DefaultOptions() Options {
	return Options{
		ViewAge:      2 * clock.Second,
		ListLag:      clock.Second,
		ClockMargin:  250 * clock.Millisecond,
		HandoverSpan: 250 * clock.Millisecond,
		OrderSpan:    250 * clock.Millisecond,
		ReportLag:    500 * clock.Millisecond,
		Suspicion:    2 * clock.Second,
		Pause:        500 * clock.Millisecond,
	}
}

// HoldDown is the span for which the next daemon waits, from its first reading
// of a list that makes it the first candidate. After it, no former owner can
// have an order under way: the last list that still named that owner was read
// within ListLag, acted upon for ViewAge, and its last order or handover took
// OrderSpan or HandoverSpan.
func (options Options) HoldDown() clock.Millis {
	return options.ViewAge + options.ListLag + options.ClockMargin + options.HandoverSpan + options.OrderSpan
}
