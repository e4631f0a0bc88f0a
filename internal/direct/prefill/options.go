// Package prefill decides when a prompt is sent to a model engine. An engine reads (prefills)
// prompts between the decoding steps of its streams, so prompts that arrive together make all
// of its streams pause. The owner of an engine keeps a Queue, to which every daemon's prompts
// for the engine are announced, and grants them one after another. A Requester keeps a daemon's
// own prompts that wait for a grant; each of them ends its wait by itself if no grant comes.
// The package does no I/O and reads no clock: package gateway carries the messages.
package prefill

import "teaselmoor/internal/base/clock"

// Options holds the limits of prefill admission control.
type Options struct {
	// Enabled activates admission control on sites with hubs, for services whose callers
	// compete (catalog.CompetingRanks).
	Enabled bool
	// AnswerTimeout is the time after which a prompt does not wait any longer for an owner that has
	// not answered its request at all. A request and its answer cross four links at most, which
	// takes a few milliseconds; the rest is for a busy hub or owner.
	AnswerTimeout clock.Millis
	// SilentTime is how long a silent owner is not asked, so that the loss of an owner costs
	// each daemon one wait in that time.
	SilentTime clock.Millis
	// SilentAfter is the number of consecutive requests, sent at least AnswerTimeout apart, that
	// an owner leaves unanswered before it is considered silent. 1: a single one is enough. A
	// busy owner answers late now and then, and with 1 its servers receive unordered prompts for
	// SilentTime after each late answer.
	SilentAfter int
	// HeardTime is how long nothing may have been received on the way from an owner for
	// SilentAfter to apply; after that one unanswered request is enough. Updates arrive every
	// 500 ms.
	HeardTime clock.Millis
	// Report has prompts that are sent without a grant reported to the owners of their servers,
	// whose buckets then account for them.
	Report bool
	// GapShare is the share of the gap goal that reading the prompts at a server may take.
	GapShare float64
	// GoalShare is the share of its first-event goal after which a prompt is sent in any case.
	GoalShare float64
	// LeakShare is the share of an engine's read rate at which its bucket drains.
	LeakShare float64
	// MostWaiting bounds the prompts that wait at a server. Further ones are granted at once.
	MostWaiting int
}

// Shares for a daemon that knows only its own prompts, which package choose uses. They leave room
// for the prompts of other daemons.
const (
	DefaultGapShare  = 0.5
	DefaultGoalShare = 0.33
	// DefaultLeakShare is below 1 because an engine that reads prompts all the time sends its
	// streams an event only every few full steps; if it reads for this share of the time they
	// meet their gap goal.
	DefaultLeakShare = 0.6
)

// Shares for an owner, which knows the prompts of all daemons. It lets few prompts be read
// together, but lets the engine read most of the time. With the shares above, a prompt of mean
// size had to wait until the bucket was nearly empty although the engine had read the one before
// (TestReplayBursts).
const (
	ownerGapShare  = 0.25
	ownerLeakShare = 0.8
)

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Enabled: true, AnswerTimeout: 60, SilentTime: clock.Second, SilentAfter: 2, HeardTime: 500, Report: true,
		GapShare: ownerGapShare, GoalShare: DefaultGoalShare, LeakShare: ownerLeakShare, MostWaiting: 256,
	}
}
