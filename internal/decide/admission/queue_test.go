package admission_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/admission"
	"teaselmoor/internal/decide/nodetest"
)

// waiting is an item as the sorted list of the test holds it.
type waiting struct {
	class    config.Class
	deadline clock.Millis
	item     int
}

// TestQueueKeepsItsOrder compares the queue with a sorted list under random operations.
func TestQueueKeepsItsOrder(t *testing.T) {
	nodetest.CheckHistories(t, 200, func(t *rapid.T) {
		var queue admission.Queue[int]
		var model []waiting
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				added := waiting{
					class:    config.Class(rapid.IntRange(0, int(config.ClassCount)-1).Draw(t, "class")),
					deadline: clock.Millis(rapid.IntRange(0, 5).Draw(t, "deadline")), item: next,
				}
				next++
				queue.Push(added.class, added.deadline, added.item)
				model = append(model, added)
				slices.SortStableFunc(model, func(a, b waiting) int {
					if a.class != b.class {
						return int(a.class) - int(b.class)
					}
					return int(a.deadline - b.deadline)
				})
			},
			"pop": func(t *rapid.T) {
				class := config.Class(rapid.IntRange(0, int(config.ClassCount)-1).Draw(t, "class"))
				at := slices.IndexFunc(model, func(waiting waiting) bool { return waiting.class == class })
				item, found := queue.Pop(class)
				require.Equal(t, at >= 0, found)
				if found {
					require.Equal(t, model[at].item, item)
					model = slices.Delete(model, at, at+1)
				}
			},
			"remove": func(t *rapid.T) {
				if len(model) == 0 {
					return
				}
				at := rapid.IntRange(0, len(model)-1).Draw(t, "at")
				removed := model[at]
				require.True(t, queue.Remove(removed.class, removed.deadline, removed.item))
				require.False(t, queue.Remove(removed.class, removed.deadline, removed.item))
				model = slices.Delete(model, at, at+1)
			},
			"expire": func(t *rapid.T) {
				now := clock.Millis(rapid.IntRange(0, 5).Draw(t, "now"))
				var expired, want []int
				queue.Expire(now, func(item int) { expired = append(expired, item) })
				model = slices.DeleteFunc(model, func(waiting waiting) bool {
					if waiting.deadline <= now {
						want = append(want, waiting.item)
						return true
					}
					return false
				})
				require.Equal(t, want, expired)
			},
			"": func(t *rapid.T) { require.Equal(t, len(model), queue.Total()) },
		})
	})
}

// TestBoundLimitsEachClass checks that each class has its own limit and that an item that
// leaves makes room for another.
func TestBoundLimitsEachClass(t *testing.T) {
	bound := admission.NewBound([config.ClassCount]int{config.Urgent: 1, config.Routine: 2})
	require.True(t, bound.Enter(config.Urgent))
	require.False(t, bound.Enter(config.Urgent))
	require.True(t, bound.Enter(config.Routine), "a class at its limit does not block another class")
	bound.Leave(config.Urgent)
	require.True(t, bound.Enter(config.Urgent))
	require.Equal(t, 2, bound.Total())
}
