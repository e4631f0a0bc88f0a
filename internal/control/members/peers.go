package members

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Peer is what a daemon has heard of another.
type Peer struct {
	Incarnation   ident.Incarnation
	ConfigVersion uint64
	// HeardAt is when the last word came in; SentAt is the sender's clock in it.
	HeardAt clock.Millis
	SentAt  clock.Millis
	// Leaving says that the daemon is shutting down.
	Leaving bool
	// Lost says that the connection broke and nothing has come in since.
	Lost bool
}

// Peers holds what a daemon has heard of the others. It decides on silence, and
// never on who is a member: that is the VM list's to say.
type Peers struct {
	peers map[ident.DaemonID]*Peer
	// listenSince is when this daemon began to listen: silence before is none.
	listenSince clock.Millis
}

// NewPeers returns a table of a daemon that has listened since the given time.
func NewPeers(listenSince clock.Millis) *Peers {
	return &Peers{peers: map[ident.DaemonID]*Peer{}, listenSince: listenSince}
}

// Relisten discounts silence before the given time, after a pause.
func (peers *Peers) Relisten(now clock.Millis) {
	peers.listenSince = now
}

// Touch notes that something came in from a daemon.
func (peers *Peers) Touch(now clock.Millis, daemon ident.DaemonID) {
	peer := peers.peer(daemon)
	peer.HeardAt = now
	peer.Lost = false
}

// Lost notes that the connection to a daemon broke.
func (peers *Peers) Lost(daemon ident.DaemonID) {
	peers.peer(daemon).Lost = true
}

func (peers *Peers) peer(daemon ident.DaemonID) *Peer {
	found, known := peers.peers[daemon]
	if !known {
		found = &Peer{}
		peers.peers[daemon] = found
	}
	return found
}

// Heard takes in a daemon's word on itself. It reports false on one that is
// older than what is known.
func (peers *Peers) Heard(now clock.Millis, daemon ident.DaemonID, word Peer) bool {
	known := peers.peer(daemon)
	if word.Incarnation < known.Incarnation || word.Incarnation == known.Incarnation && word.SentAt < known.SentAt {
		return false
	}
	word.HeardAt = now
	word.Lost = known.Lost
	*known = word
	return true
}

// AnyHeard reports whether anything has come in from any daemon.
func (peers *Peers) AnyHeard() bool {
	for _, peer := range peers.peers {
		if peer.HeardAt > 0 {
			return true
		}
	}
	return false
}

// Silent reports whether nothing has come from a daemon for longer than the span.
func (peers *Peers) Silent(now clock.Millis, daemon ident.DaemonID, span clock.Millis) bool {
	heardAt := peers.listenSince
	if known, found := peers.peers[daemon]; found {
		heardAt = max(heardAt, known.HeardAt)
	}
	return now-heardAt > span
}

// Leaving reports whether a daemon said within the span that it is leaving. The
// word ages, because a new process under the same name may have come since.
func (peers *Peers) Leaving(now clock.Millis, daemon ident.DaemonID, span clock.Millis) bool {
	known, found := peers.peers[daemon]
	return found && known.Leaving && now-known.SentAt < span
}

// Unreachable reports whether the connection to a daemon is known to be broken.
func (peers *Peers) Unreachable(daemon ident.DaemonID) bool {
	known, found := peers.peers[daemon]
	return found && known.Lost
}

// Peer returns what is known of a daemon.
func (peers *Peers) Peer(daemon ident.DaemonID) (Peer, bool) {
	known, found := peers.peers[daemon]
	if !found {
		return Peer{}, false
	}
	return *known, true
}

// Keep forgets every daemon that the filter rejects.
func (peers *Peers) Keep(accept func(ident.DaemonID) bool) {
	for daemon := range peers.peers {
		if !accept(daemon) {
			delete(peers.peers, daemon)
		}
	}
}
