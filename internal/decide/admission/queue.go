// Package admission holds bounded queues of waiting work, in strict order of
// urgency class and by earliest deadline within a class.
package admission

import (
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
)

// Queue holds items of any type. It is not safe for concurrent use.
type Queue[Item any] struct {
	limits  [config.ClassCount]int
	classes [config.ClassCount][]entry[Item]
}

type entry[Item any] struct {
	deadline clock.Millis
	item     Item
}

// New returns a queue that holds at most limits[class] items of each class.
func New[Item any](limits [config.ClassCount]int) *Queue[Item] {
	return &Queue[Item]{limits: limits}
}

// Push adds an item, or reports false when its class is full.
func (queue *Queue[Item]) Push(class config.Class, deadline clock.Millis, item Item) bool {
	list := queue.classes[class]
	if len(list) >= queue.limits[class] {
		return false
	}
	at := sort.Search(len(list), func(i int) bool { return list[i].deadline > deadline })
	list = append(list, entry[Item]{})
	copy(list[at+1:], list[at:])
	list[at] = entry[Item]{deadline: deadline, item: item}
	queue.classes[class] = list
	return true
}

// Len returns the number of waiting items of a class.
func (queue *Queue[Item]) Len(class config.Class) int {
	return len(queue.classes[class])
}

// Total returns the number of waiting items.
func (queue *Queue[Item]) Total() int {
	total := 0
	for class := range queue.classes {
		total += len(queue.classes[class])
	}
	return total
}

// Filter visits the items in order, most urgent first, and removes those for
// which keep reports false.
func (queue *Queue[Item]) Filter(keep func(class config.Class, deadline clock.Millis, item Item) bool) {
	for class := range queue.classes {
		list := queue.classes[class]
		kept := list[:0]
		for _, waiting := range list {
			if keep(config.Class(class), waiting.deadline, waiting.item) {
				kept = append(kept, waiting)
			}
		}
		clear(list[len(kept):])
		queue.classes[class] = kept
	}
}
