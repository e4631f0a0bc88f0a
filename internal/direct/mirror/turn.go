package mirror

import "teaselmoor/internal/base/clock"

// Turn is the state that decides whether a daemon reads the store itself.
type Turn struct {
	Reader  bool         // it reads for others, or no other daemon reads for it
	Knows   bool         // it has data of the store
	Hub     bool         // it has a hub, which reads the store for it
	Covered clock.Millis // time since the store last answered the hub, as reported by the hub
	Unheard clock.Millis // time since the last store update from the hub
	Lost    bool         // this daemon's last call to the store failed
	Tried   clock.Millis // time since that call
}

// ReadsNow reports whether a daemon must read the store itself. A daemon with a hub does so
// if the store has not answered the hub for CoverLimit, or the hub has been silent for
// UnheardLimit. If its own calls fail too, it reads only every CoveredRetry, so that a store
// that is down is called mostly by the hubs.
func (options Options) ReadsNow(state Turn) bool {
	switch {
	case state.Reader:
		return true
	case state.Knows && state.Covered <= options.CoverLimit && state.Unheard <= options.UnheardLimit:
		return false
	case state.Hub && state.Lost:
		return state.Tried >= options.CoveredRetry
	default:
		return true
	}
}
