package members

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Peer is what a daemon knows of another daemon from its messages.
type Peer struct {
	Incarnation   ident.Incarnation
	ConfigVersion uint64
	// LastContactAt is when the last message was received. SentAt is the time of the
	// last update that was applied, by the sender's clock.
	LastContactAt clock.Millis
	SentAt        clock.Millis
	// Leaving is set if the daemon is shutting down.
	Leaving bool
	// Disconnected is set if the connection broke and nothing has been received since.
	Disconnected bool
}

// Peers holds what a daemon knows of the other daemons from their messages. It
// decides which of them are silent. Which daemons exist is decided by the VM list
// alone.
type Peers struct {
	peers map[ident.DaemonID]*Peer
	// listeningSince is the start of the time in which a peer can be silent: this
	// daemon received no messages before it.
	listeningSince clock.Millis
}

// NewPeers returns an empty table for a daemon that has received messages since
// the given time.
func NewPeers(listeningSince clock.Millis) *Peers {
	return &Peers{peers: map[ident.DaemonID]*Peer{}, listeningSince: listeningSince}
}

// ResetSilence starts the measurement of silence anew at the given time. It is called
// after a pause of the process or a change of its clock.
func (peers *Peers) ResetSilence(now clock.Millis) {
	peers.listeningSince = now
}

// RecordContact records that a message was received from a daemon.
func (peers *Peers) RecordContact(now clock.Millis, daemon ident.DaemonID) {
	peer := peers.peer(daemon)
	peer.LastContactAt = now
	peer.Disconnected = false
}

// MarkDisconnected records that the connection to a daemon broke.
func (peers *Peers) MarkDisconnected(daemon ident.DaemonID) {
	peers.peer(daemon).Disconnected = true
}

// peer returns the entry of a daemon, and adds it if necessary.
func (peers *Peers) peer(daemon ident.DaemonID) *Peer {
	found, known := peers.peers[daemon]
	if !known {
		found = &Peer{}
		peers.peers[daemon] = found
	}
	return found
}

// ApplyUpdate applies an update that a daemon sent about itself. It reports false and changes
// nothing if the update is older than the last one.
func (peers *Peers) ApplyUpdate(now clock.Millis, daemon ident.DaemonID, update Peer) bool {
	known := peers.peer(daemon)
	if update.Incarnation < known.Incarnation || update.Incarnation == known.Incarnation && update.SentAt < known.SentAt {
		return false
	}
	update.LastContactAt = now
	update.Disconnected = known.Disconnected
	*known = update
	return true
}

// AnyContact reports whether any message has been received from any daemon.
func (peers *Peers) AnyContact() bool {
	for _, peer := range peers.peers {
		if peer.LastContactAt > 0 {
			return true
		}
	}
	return false
}

// Silent reports whether nothing has been received from a daemon for longer than
// the timeout.
func (peers *Peers) Silent(now clock.Millis, daemon ident.DaemonID, timeout clock.Millis) bool {
	contactAt := peers.listeningSince
	if known, found := peers.peers[daemon]; found {
		contactAt = max(contactAt, known.LastContactAt)
	}
	return now-contactAt > timeout
}

// Leaving reports whether the last update of a daemon states that it is leaving
// and is younger than maxAge. An older update does not count, because a new process
// may have started under the same name since.
func (peers *Peers) Leaving(now clock.Millis, daemon ident.DaemonID, maxAge clock.Millis) bool {
	known, found := peers.peers[daemon]
	return found && known.Leaving && now-known.SentAt < maxAge
}

// Disconnected reports whether the connection to a daemon is known to be broken.
func (peers *Peers) Disconnected(daemon ident.DaemonID) bool {
	known, found := peers.peers[daemon]
	return found && known.Disconnected
}

// Peer returns what is known of a daemon.
func (peers *Peers) Peer(daemon ident.DaemonID) (Peer, bool) {
	known, found := peers.peers[daemon]
	if !found {
		return Peer{}, false
	}
	return *known, true
}

// Keep removes every daemon that the filter rejects.
func (peers *Peers) Keep(accept func(ident.DaemonID) bool) {
	for daemon := range peers.peers {
		if !accept(daemon) {
			delete(peers.peers, daemon)
		}
	}
}
