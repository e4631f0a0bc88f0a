package upstream

import (
	"context"
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// CheckResult is the result of trying to connect to an address.
type CheckResult int

// Results of Check.
const (
	Unknown           CheckResult = iota // the connection attempt failed for another reason
	Listening                            // the connection was accepted
	ConnectionRefused                    // the connection was refused: the server process has ended
)

// Check tries to connect to a server, after a connection to it broke. A successful connection
// is kept for requests.
func (pool *Pool) Check(ctx context.Context, address string) CheckResult {
	opened, err := pool.dial(ctx, address)
	switch {
	case err == nil:
		pool.put(opened, 0)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	default:
		return Unknown
	}
}

// closeErrors are the errors of reading from or writing to a connection that the other side
// has closed.
var closeErrors = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// ClosedByServer reports whether an error means that the server has closed or reset the
// connection.
func ClosedByServer(err error) bool {
	for _, closed := range closeErrors {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
