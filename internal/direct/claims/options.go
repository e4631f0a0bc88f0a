package claims

import "teaselmoor/internal/base/clock"

// Options holds the timing parameters of claims.
type Options struct {
	// Quiet is the minimum time between the last order of one daemon and the first
	// order of the next: the lease of the platform's settings, plus quietMargin.
	Quiet clock.Millis
	// StartWait is the time between a daemon's start and its first claims. Where
	// servers check fencing numbers, it is the time that peers need to send their
	// claims. Where they do not, orders of a stopped daemon may still be in transit,
	// and StartWait is at least Quiet.
	StartWait clock.Millis
	// Announce is the time between a claim and the first order under it. The claim is
	// sent to peers at once. If the daemon stopped before they received it, no other
	// daemon would wait for orders that it had already sent.
	Announce clock.Millis
	// Silence is how long a daemon that receives no heartbeat from any peer continues to
	// send orders. It is shorter than Suspicion, so that the daemon stops before
	// another one considers it dead.
	Silence clock.Millis
	// Stale is how long claims remain valid after this daemon last sent them to peers,
	// or last received a heartbeat from a peer. After that, another daemon may have taken
	// over a server, and may have stopped since.
	Stale clock.Millis
	// Suspicion is how long a peer must be silent before others may claim its servers.
	Suspicion clock.Millis
	// Pause is the gap between two ticks beyond which the process is taken to have
	// been suspended; it then sends no orders until peers have had time to report.
	Pause clock.Millis
	// Settle is how long no orders are sent after a pause.
	Settle clock.Millis
}

// settleWait is the time that peers need to send their claims: updates are at most
// 500 ms apart, and connections are retried every 300 ms.
const settleWait = 900 * clock.Millisecond

// updateInterval is the time between two heartbeats of a daemon that announces no
// longer interval.
const updateInterval = 500 * clock.Millisecond

// quietMargin is added to the lease for orders that a daemon sent after its last
// received heartbeat, and for an order in transit.
const quietMargin = updateInterval + orderTransitTime

// orderTransitTime is how long an order may take to reach a server.
const orderTransitTime = 200 * clock.Millisecond

// staleMargin is the time between the expiry of claims and the earliest time at which others
// may take the servers over.
const staleMargin = 300 * clock.Millisecond

// DefaultOptions returns the options for a lease. The parameter fenced reports whether
// servers check fencing numbers.
func DefaultOptions(lease clock.Millis, fenced bool) Options {
	options := Options{Quiet: lease + quietMargin, Announce: 200, Silence: 1200, Suspicion: 1500, Pause: 400, Settle: 600}
	options.Stale = max(options.Quiet, options.Suspicion) - staleMargin
	options.StartWait = settleWait
	if !fenced {
		options.StartWait = max(options.Quiet, settleWait)
	}
	return options
}
