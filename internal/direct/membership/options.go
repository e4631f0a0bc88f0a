package membership

import "teaselmoor/internal/base/clock"

// Options holds the timing parameters of a membership.
type Options struct {
	// Usual is the report interval that Silence is based on. A daemon that reports less
	// often may be silent longer by the difference.
	Usual clock.Millis
	// Silence is how long after its last report a daemon is considered live.
	Silence clock.Millis
	// Unmet is how long a daemon may send nothing while a connection to it is kept or
	// attempted. After that it is considered silent, and the next one takes its place.
	Unmet clock.Millis
	// Retry is how long a daemon that is considered silent is left out of plans.
	Retry clock.Millis
	// Memory is how long a peer is remembered after its last report, as a daemon to
	// connect to and to wait for.
	Memory clock.Millis
	// Settle is how long after its start a daemon cannot be a candidate: at first it
	// knows few others, and would mistake a large site for a small one. It is shorter
	// than claims.Options.StartWait, the time between a start and the first claims.
	Settle clock.Millis
	// Meet is how long after the first report of any peer a daemon cannot be a candidate,
	// for the same reason.
	Meet clock.Millis
	// Alone replaces Settle for a daemon that has seeds but has received no report yet.
	Alone clock.Millis
	// Pause is the gap between two ticks beyond which the process is considered to have
	// been suspended.
	Pause clock.Millis
	// Tombstone is how long the record of a gone daemon is kept, so that an older record
	// does not restore it.
	Tombstone clock.Millis
}

// DefaultOptions returns options for daemons that report once or twice a second, over
// connections that are retried every 300 ms.
func DefaultOptions() Options {
	return Options{
		Usual: 500, Silence: 1500, Unmet: 1500, Retry: 8 * clock.Second, Memory: clock.Minute,
		Settle: 500, Meet: 300, Alone: 2 * clock.Second, Pause: 400, Tombstone: 10 * clock.Minute,
	}
}
