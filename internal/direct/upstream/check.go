package upstream

import (
	"context"
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// Refused reports whether nothing listens at an address: a server of which a connection
// broke has ended. A connection that comes about is kept for requests. Where none comes
// about for another reason, it is not known whether the server has ended.
func (pool *Pool) Refused(ctx context.Context, address string) bool {
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	pool.keep(opened, 0)
	return false
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
