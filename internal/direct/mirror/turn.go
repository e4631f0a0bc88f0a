package mirror

import "teaselmoor/internal/base/clock"

// ReaderState is what decides whether a daemon reads the store itself.
type ReaderState struct {
	ReadsForOthers bool         // it reads for others, or nobody reads for it
	HasData        bool         // it knows anything of the store
	HasHub         bool         // it hears the daemon that reads for it
	HubReadAge     clock.Millis // since the store last answered that daemon, by its word
	HubSilence     clock.Millis // since that daemon's last word
	LastCallFailed bool         // the store did not answer this daemon's last call
	SinceLastCall  clock.Millis // since that call
}

// ShouldRead reports whether a daemon reads the store itself. One for which another one
// reads does so when that one has had no answer for CoverLimit or is not heard for
// UnheardLimit, and less often while it
// gets none either: a store that is down for all is called by the readers.
func (options Options) ShouldRead(turn ReaderState) bool {
	switch {
	case turn.ReadsForOthers:
		return true
	case turn.HasData && turn.HubReadAge <= options.CoverLimit && turn.HubSilence <= options.UnheardLimit:
		return false
	case turn.HasHub && turn.LastCallFailed:
		return turn.SinceLastCall >= options.CoveredRetry
	default:
		return true
	}
}
