package gateway

import (
	"context"
	"net"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/socket"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// keepConn keeps a connection for the requests that arrive on it.
func keepConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the socket of a request's connection, or nil if it is not known.
func connOf(request *http.Request) net.Conn {
	conn, _ := request.Context().Value(connKey{}).(net.Conn)
	if callerConn, ok := conn.(*callerConn); ok {
		return callerConn.Conn
	}
	return conn
}

// endReading lets other requests be read, as a request has been.
func endReading(request *http.Request) {
	if callerConn, ok := request.Context().Value(connKey{}).(*callerConn); ok {
		callerConn.endRequest()
	}
}

// callerLeft reports whether the caller of a request has closed its connection. The context ends only once the connection is read, which
// may be after the request: both may lie in the socket together if the daemon stood still or has many connections to read.
func callerLeft(request *http.Request) bool {
	if request.Context().Err() != nil {
		return true
	}
	return socket.Ended(connOf(request))
}

// sinceReceived returns the time since the last bytes of a request came, 0 if it is unknown. They may have been in the socket for long when
// the request is read.
func sinceReceived(request *http.Request) clock.Millis {
	return socket.SinceReceived(connOf(request))
}

// abandon ends a request whose caller has left. Nothing is sent to a caller that has only closed its half of the connection, as an
// empty answer would look complete.
func (gateway *Gateway) abandon(job *job) {
	gateway.logEnd(job, 0, ending.CallerLeft)
	panic(http.ErrAbortHandler)
}
