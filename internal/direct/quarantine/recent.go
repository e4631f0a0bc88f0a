package quarantine

import "teaselmoor/internal/base/clock"

// recentSet remembers keys for at least a span and at most two, in two generations. When the
// current generation is full, the previous one is dropped early: keys that were added last or
// that are added again stay.
type recentSet[K comparable] struct {
	span              clock.Millis
	maxKeys           int // in one generation
	current, previous map[K]bool
	startedAt         clock.Millis // start of the current generation
}

func newRecentSet[K comparable](span clock.Millis, maxKeys int) *recentSet[K] {
	return &recentSet[K]{span: span, maxKeys: maxKeys, current: make(map[K]bool)}
}

func (recentSet *recentSet[K]) add(now clock.Millis, key K) {
	recentSet.rotate(now)
	recentSet.current[key] = true
}

func (recentSet *recentSet[K]) has(now clock.Millis, key K) bool {
	recentSet.rotate(now)
	return recentSet.current[key] || recentSet.previous[key]
}

// rotate starts a new generation once the span has passed or the current one is full.
func (recentSet *recentSet[K]) rotate(now clock.Millis) {
	passed := now - recentSet.startedAt
	if passed < recentSet.span && len(recentSet.current) < recentSet.maxKeys {
		return
	}
	recentSet.previous = recentSet.current
	if passed >= 2*recentSet.span {
		recentSet.previous = nil
	}
	recentSet.current = make(map[K]bool)
	recentSet.startedAt = now
}
