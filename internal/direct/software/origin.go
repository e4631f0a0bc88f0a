// Package software decides at which backend servers a stream may go on. Servers of several versions of
// their software may run side by side in one service, and what two versions write does not fit together,
// so a stream goes on only at the version that began it. The package records what began the streams of this
// daemon and of others, and which versions each service has had. It does no I/O and reads no clock.
package software

import (
	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Lifetime is how long after its begin a stream may be resumed at the latest: the longest time that a request
// may take, and some more for the caller's return.
const Lifetime = 75 * clock.Second

// Origin is what is known of the process that began a stream. With the zero value the stream may go on at
// no server.
type Origin struct {
	Version   string // of the process's software; empty: unknown
	Server    string // id of the server, if the version of its process is unknown or, as it states no start, uncertain
	StartedAt int64  // start of the process in Unix milliseconds; 0: not stated, or Server is empty
	Unnamed   bool   // no server of the service has stated a version
}

// OriginOf returns the origin of a stream that a process has begun. Server holds its id, its start, and the version of its
// software, if that is known.
func OriginOf(server platformapi.Server) Origin {
	switch {
	case server.StartedAt == 0:
		return Origin{Version: server.Software, Server: server.ID}
	case server.Software != "":
		return Origin{Version: server.Software}
	}
	return Origin{Server: server.ID, StartedAt: server.StartedAt}
}

// Process returns the process that began the stream, if the version of its software does not stand for it.
func (origin Origin) Process() platformapi.Process {
	return platformapi.Process{Server: origin.Server, StartedAt: origin.StartedAt}
}

// Fits reports whether a stream of this origin may go on at a server, as far as the server's entry shows. Which process
// answers there is known only once a connection to it is open. An entry may be older than the process that began the stream.
func (origin Origin) Fits(server platformapi.Server) bool {
	switch {
	case origin.Unnamed:
		return server.Software == ""
	case origin.Version != "":
		return server.Software == origin.Version
	}
	return origin.Server != "" && origin.Server == server.ID && server.StartedAt <= origin.StartedAt
}

// Key identifies a stream: it is a hash of the caller's attempt that brought the first event.
type Key uint64

// KeyOf returns the key of the stream that an attempt has begun.
func KeyOf(attempt string) Key {
	return Key(xxhash.Sum64String(attempt))
}
