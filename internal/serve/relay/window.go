// Package relay implements flow control for the answers that are relayed between daemons,
// separately for each stream. The owner of the engine sends within a Window. The entry
// buffers the answer in an Inbox and returns credits as the caller reads.
package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// WindowBytes is the number of bytes that may be in flight on a stream, which are those
// sent but not yet consumed by the caller.
const WindowBytes = 256 << 10

// minCreditBytes is the minimum number of bytes that are granted in one credit.
const minCreditBytes = WindowBytes / 4

// Window limits what the sender of a stream may send. It is safe for concurrent use.
type Window struct {
	mutex   sync.Mutex // guards all fields except changed
	free    int        // bytes; negative after a chunk larger than the free bytes
	closed  bool
	reset   bool          // closed by a reset from the entry
	changed chan struct{} // has a value after a grant or the close
}

// ErrClosed is returned for a closed window, which can receive no more credit.
var ErrClosed = errors.New("relay window closed: the entry ended the stream or its connection was lost")

// NewWindow returns a window with WindowBytes free bytes.
func NewWindow() *Window {
	return &Window{free: WindowBytes, changed: make(chan struct{}, 1)}
}

// Acquire waits until the window has free bytes and uses count of them. A chunk larger than
// the free bytes is admitted and makes their number negative, so that a large chunk cannot
// block a stream forever.
func (window *Window) Acquire(ctx context.Context, count int) error {
	for {
		if taken, err := window.tryAcquire(count); taken || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-window.changed:
		}
	}
}

func (window *Window) tryAcquire(count int) (bool, error) {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	if window.closed {
		return false, ErrClosed
	}
	if window.free <= 0 {
		return false, nil
	}
	window.free -= count
	return true, nil
}

// Close closes the window: Acquire fails from now on. Reset is set if the entry has
// reported that it no longer knows the stream.
func (window *Window) Close(reset bool) {
	window.mutex.Lock()
	window.closed = true
	window.reset = window.reset || reset
	window.mutex.Unlock()
	window.signal()
}

// WasReset reports whether the window was closed by a reset from the entry.
func (window *Window) WasReset() bool {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	return window.reset
}

// Grant adds count bytes of credit to the window.
func (window *Window) Grant(count int) {
	window.mutex.Lock()
	window.free += count
	window.mutex.Unlock()
	window.signal()
}

func (window *Window) signal() {
	select {
	case window.changed <- struct{}{}:
	default:
	}
}
