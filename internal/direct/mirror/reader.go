package mirror

import "teaselmoor/internal/base/clock"

// ReaderState is the state that decides whether a daemon reads the store itself.
type ReaderState struct {
	ReadsForOthers bool         // other daemons rely on its reads, or no other daemon reads for it
	HasData        bool         // it has received data of the store
	HasHub         bool         // it has a hub, which reads the store for it
	HubReadAge     clock.Millis // time since the store last answered the hub, as reported by the hub
	HubSilence     clock.Millis // time since the last store update from the hub
	LastCallFailed bool         // this daemon's last call to the store failed
	SinceLastCall  clock.Millis // time since that call
}

// ShouldRead reports whether a daemon must read the store itself. A daemon with a hub does so
// if it has no data yet, if the store has not answered the hub for CoverLimit, or if the hub
// has sent no store update for UnheardLimit. If its own calls fail too, it reads only every
// CoveredRetry, so that a store that is down is called mostly by the hubs.
func (options Options) ShouldRead(state ReaderState) bool {
	switch {
	case state.ReadsForOthers:
		return true
	case state.HasData && state.HubReadAge <= options.CoverLimit && state.HubSilence <= options.UnheardLimit:
		return false
	case state.HasHub && state.LastCallFailed:
		return state.SinceLastCall >= options.CoveredRetry
	default:
		return true
	}
}
