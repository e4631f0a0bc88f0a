package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"time"

	"teaselmoor/internal/direct/socket"
)

// conn is a connection to a server, in use or idle.
type conn struct {
	net.Conn
	number  int64 // of the connections of its pool
	address string
	reader  *bufio.Reader // of heads
	heads   *headReader
	expires time.Time
	reused  bool // it was idle before its present request

	requests int      // sent on it, with the identification
	names    []uint64 // hashes of the names of these
	skipped  int      // responses to other requests that came in the place of the last one's

	doubt func() // called if bytes come after the last response; nil: nobody is to know

	identified bool  // startedAt is known
	startedAt  int64 // start of the process at the other end in Unix milliseconds; 0: it states none
}

// Use is the use of a connection by one request.
type Use struct {
	Connection int64 // number of the connection among those of its pool, from 1; 0: none
	Request    int   // number of the request among those sent on the connection, from 1
	Skipped    int   // responses to other requests that came in the place of its own
}

// use returns the use of the connection by the last request.
func (conn *conn) use() Use {
	return Use{Connection: conn.number, Request: conn.requests, Skipped: conn.skipped}
}

// nameSeed makes hashes of names differ from process to process, as callers choose the names.
var nameSeed = maphash.MakeSeed()

// mayCarry reports whether a request may be sent whose response bears a name. A name is sent at most once on a connection: the
// response to the first request could come once more in the place of the response to the second one. The response to a request
// without a name is known only as the first one on its connection.
func (conn *conn) mayCarry(name string) bool {
	if name == "" {
		return conn.requests == 0
	}
	return !slices.Contains(conn.names, maphash.String(nameSeed, name))
}

// raiseDoubt tells that bytes have come after the last response.
func (conn *conn) raiseDoubt() {
	if conn.doubt != nil {
		conn.doubt()
		conn.doubt = nil
	}
}

// hasSurplus reports whether bytes have come after the last response, on an idle connection where somebody is to know.
func (conn *conn) hasSurplus() bool {
	return conn.doubt != nil && socket.Peek(conn.Conn, make([]byte, 1)) > 0
}

// recordRequest records that a request is sent, with the name that its response bears.
func (conn *conn) recordRequest(name string) {
	conn.requests++
	if name != "" {
		conn.names = append(conn.names, maphash.String(nameSeed, name))
	}
}
