package quarantine

import "teaselmoor/internal/base/clock"

// recent remembers keys for a span and up to twice as long, the newest and those that come
// again first.
type recent[K comparable] struct {
	span       clock.Millis
	most       int // keys of one generation
	young, old map[K]bool
	began      clock.Millis // when the young generation did
}

func newRecent[K comparable](span clock.Millis, most int) *recent[K] {
	return &recent[K]{span: span, most: most, young: make(map[K]bool)}
}

func (recent *recent[K]) add(now clock.Millis, key K) {
	recent.age(now)
	recent.young[key] = true
}

func (recent *recent[K]) has(now clock.Millis, key K) bool {
	recent.age(now)
	return recent.young[key] || recent.old[key]
}

// age begins a new generation when it is time, or the young one is full.
func (recent *recent[K]) age(now clock.Millis) {
	passed := now - recent.began
	if passed < recent.span && len(recent.young) < recent.most {
		return
	}
	recent.old = recent.young
	if passed >= 2*recent.span {
		recent.old = nil
	}
	recent.young = make(map[K]bool)
	recent.began = now
}
