// Package admission implements the queues of waiting items and the bound on their
// number. Items are ordered by class, most urgent first, and by deadline within a
// class. The package does not limit rates.
package admission

import (
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
)

// Queue is a queue of items with a class and a deadline. It is not safe for concurrent
// use.
type Queue[Item comparable] struct {
	classes [config.ClassCount][]entry[Item]
}

type entry[Item comparable] struct {
	deadline clock.Millis
	item     Item
}

// Push adds an item behind those with the same or an earlier deadline.
func (queue *Queue[Item]) Push(class config.Class, deadline clock.Millis, item Item) {
	entries := queue.classes[class]
	at := sort.Search(len(entries), func(i int) bool { return entries[i].deadline > deadline })
	entries = append(entries, entry[Item]{})
	copy(entries[at+1:], entries[at:])
	entries[at] = entry[Item]{deadline: deadline, item: item}
	queue.classes[class] = entries
}

// First returns the item of a class with the earliest deadline.
func (queue *Queue[Item]) First(class config.Class) (item Item, deadline clock.Millis, found bool) {
	entries := queue.classes[class]
	if len(entries) == 0 {
		return item, 0, false
	}
	return entries[0].item, entries[0].deadline, true
}

// Pop removes and returns the item of a class with the earliest deadline.
func (queue *Queue[Item]) Pop(class config.Class) (item Item, found bool) {
	entries := queue.classes[class]
	if len(entries) == 0 {
		return item, false
	}
	item = entries[0].item
	entries[0] = entry[Item]{}
	queue.classes[class] = entries[1:]
	return item, true
}

// Remove removes an item that was pushed with this class and deadline, and reports
// whether it was in the queue.
func (queue *Queue[Item]) Remove(class config.Class, deadline clock.Millis, item Item) bool {
	entries := queue.classes[class]
	at := sort.Search(len(entries), func(i int) bool { return entries[i].deadline >= deadline })
	for ; at < len(entries) && entries[at].deadline == deadline; at++ {
		if entries[at].item != item {
			continue
		}
		copy(entries[at:], entries[at+1:])
		entries[len(entries)-1] = entry[Item]{}
		queue.classes[class] = entries[:len(entries)-1]
		return true
	}
	return false
}

// Expire removes the items whose deadline has been reached and passes each to the
// given function, the most urgent class first.
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

// Drain removes all items and passes each to the given function in the order of the
// queue.
func (queue *Queue[Item]) Drain(removed func(Item)) {
	for class := range queue.classes {
		entries := queue.classes[class]
		queue.classes[class] = nil
		for _, entry := range entries {
			removed(entry.item)
		}
	}
}

// Any reports whether any item of a class matches the condition.
func (queue *Queue[Item]) Any(class config.Class, matches func(Item) bool) bool {
	for _, entry := range queue.classes[class] {
		if matches(entry.item) {
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
