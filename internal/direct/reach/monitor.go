// Package reach detects that a daemon has lost its links to all backend servers while the servers
// run, for instance behind a partition. It decides when servers are probed and what the probes mean;
// package gateway connects to them. The package does no I/O and reads no clock.
package reach

import "teaselmoor/internal/base/clock"

// Options are the limits of a monitor.
type Options struct {
	// Silence is the time without a byte from any server, while requests wait for one, after which
	// servers are probed. It is longer than most answers take to begin.
	Silence clock.Millis
	// Idle is the time without a byte or a new connection after which an owner of servers probes some:
	// orders that it cannot send are due only when requests wait for them.
	Idle clock.Millis
	// Recheck is the minimum time between two rounds of probes.
	Recheck clock.Millis
	// FirstProbes is the number of servers that a round probes first, and that are probed while the
	// daemon is cut off.
	FirstProbes int
	// MostProbes is the number of servers that must be unreachable, if there are as many, before the
	// daemon counts as cut off.
	MostProbes int
}

// DefaultOptions returns options for servers whose connections open within a few milliseconds.
func DefaultOptions() Options {
	return Options{Silence: 600, Idle: clock.Second, Recheck: 250, FirstProbes: 2, MostProbes: 16}
}

// View is what a daemon knows of its connections to servers.
type View struct {
	LastRead   clock.Millis // when a byte last arrived from any server
	LastOpened clock.Millis // when a connection to a server was last opened
	Waiting    bool         // requests are in progress at servers
	Owner      bool         // the daemon owns servers
	Servers    int          // number of servers
}

// Monitor decides whether a daemon is cut off from all servers.
type Monitor struct {
	options      Options
	failed       bool         // a server could not be connected to since a connection was last opened
	failedAt     clock.Millis // when that was first so
	waitingSince clock.Millis // since when requests have been in progress; 0: none are
	probing      bool         // a round of probes is running
	probedAt     clock.Millis // when the last round began
	cutOff       bool
}

// New returns the monitor of a daemon that is not cut off.
func New(options Options) *Monitor {
	return &Monitor{options: options}
}

// CutOff reports whether the daemon is cut off from all servers.
func (monitor *Monitor) CutOff() bool {
	return monitor.cutOff
}

// Probing reports whether a round of probes is running.
func (monitor *Monitor) Probing() bool {
	return monitor.probing
}

// ConnectFailed records that a server could not be connected to.
func (monitor *Monitor) ConnectFailed(now clock.Millis) {
	if !monitor.failed {
		monitor.failedAt = now
	}
	monitor.failed = true
}

// Due returns the number of servers to probe now, 0 if no round is due. The caller must report the
// result to Probed.
func (monitor *Monitor) Due(now clock.Millis, view View) int {
	monitor.update(now, view)
	if monitor.probing || view.Servers == 0 || now-monitor.probedAt < monitor.options.Recheck {
		return 0
	}
	if !monitor.cutOff && !monitor.suspects(now, view) {
		return 0
	}
	monitor.probing, monitor.probedAt = true, now
	return min(monitor.options.FirstProbes, view.Servers)
}

// update applies what the connections show without probes.
func (monitor *Monitor) update(now clock.Millis, view View) {
	if view.LastOpened > monitor.failedAt {
		monitor.failed = false
	}
	switch {
	case !view.Waiting:
		monitor.waitingSince = 0
	case monitor.waitingSince == 0:
		monitor.waitingSince = now
	}
}

// suspects reports whether the daemon may be cut off.
func (monitor *Monitor) suspects(now clock.Millis, view View) bool {
	active := max(view.LastRead, view.LastOpened)
	silent := view.Waiting && now-max(active, monitor.waitingSince) >= monitor.options.Silence
	idle := view.Owner && now-active >= monitor.options.Idle
	return monitor.failed || silent || idle
}

// Probed applies the result of a part of a round: whether any server was reached, of how many that were
// probed in the round so far. It returns how many others have to be probed before the round is over.
func (monitor *Monitor) Probed(reached bool, probed int, servers int) (more int) {
	if reached {
		monitor.failed, monitor.probing, monitor.cutOff = false, false, false
		return 0
	}
	if more := min(monitor.options.MostProbes, servers) - probed; more > 0 && !monitor.cutOff {
		return more
	}
	monitor.probing, monitor.cutOff = false, true
	return 0
}
