package quarantine

import "teaselmoor/internal/base/clock"

// recentTimes remembers when keys were last added, for at least a span and at most two, in two generations. When
// the current generation is full, the previous one is dropped early: keys that were added last or
// that are added again stay.
type recentTimes[K comparable] struct {
	span              clock.Millis
	maxKeys           int // in one generation
	current, previous map[K]clock.Millis
	startedAt         clock.Millis // start of the current generation
}

func newRecentTimes[K comparable](span clock.Millis, maxKeys int) *recentTimes[K] {
	return &recentTimes[K]{span: span, maxKeys: maxKeys, current: make(map[K]clock.Millis)}
}

func (recentTimes *recentTimes[K]) add(now clock.Millis, key K) {
	recentTimes.rotate(now)
	recentTimes.current[key] = now
}

// last returns when a key was last added.
func (recentTimes *recentTimes[K]) last(now clock.Millis, key K) (clock.Millis, bool) {
	recentTimes.rotate(now)
	if at, ok := recentTimes.current[key]; ok {
		return at, true
	}
	at, ok := recentTimes.previous[key]
	return at, ok
}

// rotate starts a new generation once the span has passed or the current one is full.
func (recentTimes *recentTimes[K]) rotate(now clock.Millis) {
	passed := now - recentTimes.startedAt
	if passed < recentTimes.span && len(recentTimes.current) < recentTimes.maxKeys {
		return
	}
	recentTimes.previous = recentTimes.current
	if passed >= 2*recentTimes.span {
		recentTimes.previous = nil
	}
	recentTimes.current = make(map[K]clock.Millis)
	recentTimes.startedAt = now
}
