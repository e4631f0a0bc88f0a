package upstream

import (
	"context"
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// CheckResult is what trying to connect to an address shows.
type CheckResult int

// Presences.
const (
	Unknown CheckResult = iota // no connection came about, for whatever reason
	Listening
	ConnectionRefused // nothing listens there: the server has ended
)

// Check tries to connect to a server of which a connection broke. A connection that comes
// about is kept for requests.
func (pool *Pool) Check(ctx context.Context, address string) CheckResult {
	opened, err := pool.dial(ctx, address)
	switch {
	case err == nil:
		pool.keep(opened, 0)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	default:
		return Unknown
	}
}

// closings are what reading from or writing to a connection ends with that the other
// side has closed.
var closings = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// ClosedByServer reports whether an error says that the server has closed the connection
// or reset it.
func ClosedByServer(err error) bool {
	for _, closed := range closings {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
