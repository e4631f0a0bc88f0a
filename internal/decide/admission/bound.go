package admission

import (
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
)

// Bound limits the number of waiting items of each class, over any number of queues.
type Bound struct {
	limits [config.ClassCount]int
	counts [config.ClassCount]int
}

// NewBound returns a bound that admits up to limits[class] items of each class.
func NewBound(limits [config.ClassCount]int) *Bound {
	return &Bound{limits: limits}
}

// Enter counts an item, or returns false if its class is at the limit.
func (bound *Bound) Enter(class config.Class) bool {
	if bound.counts[class] >= bound.limits[class] {
		return false
	}
	bound.counts[class]++
	return true
}

// Leave stops counting an item that has entered.
func (bound *Bound) Leave(class config.Class) {
	invariant.Check(bound.counts[class] > 0, "only what entered a queue leaves it", "class %s", class)
	bound.counts[class]--
}

// Total returns the number of counted items.
func (bound *Bound) Total() int {
	total := 0
	for _, count := range bound.counts {
		total += count
	}
	return total
}
