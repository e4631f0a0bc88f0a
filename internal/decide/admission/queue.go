// Package admission holds queues of waiting work, in strict order of urgency
// class and by earliest deadline within a class, and the bound on how much work
// may wait.
package admission

import (
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
)

// Queue holds items of any type. It is not safe for concurrent use.
type Queue[Item comparable] struct {
	classes [config.ClassCount][]entry[Item]
}

type entry[Item comparable] struct {
	deadline clock.Millis
	item     Item
}

// Push adds an item, behind those with the same deadline.
func (queue *Queue[Item]) Push(class config.Class, deadline clock.Millis, item Item) {
	list := queue.classes[class]
	at := sort.Search(len(list), func(i int) bool { return list[i].deadline > deadline })
	list = append(list, entry[Item]{})
	copy(list[at+1:], list[at:])
	list[at] = entry[Item]{deadline: deadline, item: item}
	queue.classes[class] = list
}

// First returns the item of a class with the earliest deadline.
func (queue *Queue[Item]) First(class config.Class) (item Item, deadline clock.Millis, found bool) {
	list := queue.classes[class]
	if len(list) == 0 {
		return item, 0, false
	}
	return list[0].item, list[0].deadline, true
}

// Pop removes and returns the item of a class with the earliest deadline.
func (queue *Queue[Item]) Pop(class config.Class) (item Item, found bool) {
	list := queue.classes[class]
	if len(list) == 0 {
		return item, false
	}
	item = list[0].item
	list[0] = entry[Item]{}
	queue.classes[class] = list[1:]
	return item, true
}

// Remove takes out an item that was pushed with this class and deadline, and
// reports whether it was there.
func (queue *Queue[Item]) Remove(class config.Class, deadline clock.Millis, item Item) bool {
	list := queue.classes[class]
	at := sort.Search(len(list), func(i int) bool { return list[i].deadline >= deadline })
	for ; at < len(list) && list[at].deadline == deadline; at++ {
		if list[at].item != item {
			continue
		}
		copy(list[at:], list[at+1:])
		list[len(list)-1] = entry[Item]{}
		queue.classes[class] = list[:len(list)-1]
		return true
	}
	return false
}

// Expire removes the items whose deadline is not after a time and passes them
// on, most urgent first.
func (queue *Queue[Item]) Expire(now clock.Millis, expired func(Item)) {
	for class := range queue.classes {
		for {
			_, deadline, found := queue.First(config.Class(class))
			if !found || deadline > now {
				break
			}
			item, _ := queue.Pop(config.Class(class))
			expired(item)
		}
	}
}

// Drain removes all items and passes them on in order, most urgent first.
func (queue *Queue[Item]) Drain(removed func(Item)) {
	for class := range queue.classes {
		list := queue.classes[class]
		queue.classes[class] = nil
		for _, waiting := range list {
			removed(waiting.item)
		}
	}
}

// Any reports whether an item of a class matches.
func (queue *Queue[Item]) Any(class config.Class, matches func(Item) bool) bool {
	for _, waiting := range queue.classes[class] {
		if matches(waiting.item) {
			return true
		}
	}
	return false
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
