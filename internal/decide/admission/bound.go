package admission

import (
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
)

// Bound limits how many items of each class wait, over any number of queues.
type Bound struct {
	limits [config.ClassCount]int
	counts [config.ClassCount]int
}

// NewBound returns a bound of limits[class] items of each class.
func NewBound(limits [config.ClassCount]int) *Bound {
	return &Bound{limits: limits}
}

// Enter counts an item, or reports false when its class is full.
func (bound *Bound) Enter(class config.Class) bool {
	if bound.counts[class] >= bound.limits[class] {
		return false
	}
	bound.counts[class]++
	return true
}

// Leave ends the count of an item that entered.
func (bound *Bound) Leave(class config.Class) {
	invariant.Check(bound.counts[class] > 0, "only what entered a queue leaves it", "class %s", class)
	bound.counts[class]--
}

// Total returns the number of items counted.
func (bound *Bound) Total() int {
	total := 0
	for _, count := range bound.counts {
		total += count
	}
	return total
}
