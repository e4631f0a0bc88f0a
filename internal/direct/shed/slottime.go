package shed

// slotTime estimates the time that a request occupies a slot, in milliseconds.
//
// By Little's law the mean time of an answer is the load (in requests for each slot, and at least 1)
// times the time in a slot. The estimate therefore divides the mean time of answers by the mean load.
// A low quantile of the times would not do: in an overloaded service every request queues.
type slotTime struct {
	took  float64 // mean time of answers
	load  float64 // mean load at their ends
	count int
}

const (
	// minAnswers is the number of answers before the estimate is used: about as many as a daemon
	// gets in the first second of an overload.
	minAnswers = 5
	// slotTimeAnswers is the number of recent answers that the estimate covers. With fewer, daemons
	// differ in their targets, and so in how many requests they refuse.
	slotTimeAnswers = 200
)

func (slotTime *slotTime) observe(took, load float64) {
	if took <= 0 {
		return
	}
	slotTime.count = min(slotTime.count+1, slotTimeAnswers)
	slotTime.took += (took - slotTime.took) / float64(slotTime.count)
	slotTime.load += (max(1, load) - slotTime.load) / float64(slotTime.count)
}

// estimate returns the time, or 0 while too few answers have been observed.
func (slotTime *slotTime) estimate() float64 {
	if slotTime.count < minAnswers {
		return 0
	}
	return slotTime.took / slotTime.load
}
