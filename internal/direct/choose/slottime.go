package choose

import "teaselmoor/internal/base/clock"

// SlotTime is the mean time for which a request occupies a slot of an engine, as a daemon
// observes it. A request that finds all slots taken waits this time divided by the number
// of slots for each request ahead of it.
type SlotTime struct {
	millis float64 // 0: nothing observed yet
}

// slotTimeStep is the weight of one observation in the moving average.
const slotTimeStep = 0.02

// Observe updates the mean with the time for which a request occupied a slot.
func (slotTime *SlotTime) Observe(took clock.Millis) {
	if took <= 0 {
		return
	}
	if slotTime.millis == 0 {
		slotTime.millis = float64(took)
		return
	}
	slotTime.millis += slotTimeStep * (float64(took) - slotTime.millis)
}

// Millis returns the mean time, or 0 while nothing has been observed.
func (slotTime *SlotTime) Millis() float64 {
	return slotTime.millis
}
