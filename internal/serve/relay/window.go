// Package relay moves the answers of streams with flow control per stream: the
// side that talks to the engine holds a window, the side that talks to the
// caller an inbox, and credits flow back as the caller reads.
package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// WindowBytes is what a stream may have in flight beyond what its caller read.
const WindowBytes = 256 << 10

// creditStep is the number of consumed bytes that are given back at once.
const creditStep = WindowBytes / 4

// Window is the sending side's allowance of one stream. Safe for concurrent use.
type Window struct {
	mutex  sync.Mutex // guards all but more
	free   int
	closed bool
	reset  bool
	more   chan struct{} // holds a token after a grant or the close
}

// ErrClosed ends a relay that no credit will ever reach.
var ErrClosed = errors.New("the stream's entry is gone")

// NewWindow returns a full window.
func NewWindow() *Window {
	return &Window{free: WindowBytes, more: make(chan struct{}, 1)}
}

// Take waits until the window is open and takes count bytes. A chunk larger
// than what is free passes and leaves the window in debt, so that no chunk size
// can block a stream for good.
func (window *Window) Take(ctx context.Context, count int) error {
	for {
		if taken, err := window.tryTake(count); taken || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-window.more:
		}
	}
}

func (window *Window) tryTake(count int) (bool, error) {
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

// Close ends the window: Take fails from now on. With reset, the entry has said
// that it knows nothing of the stream any more.
func (window *Window) Close(reset bool) {
	window.mutex.Lock()
	window.closed = true
	window.reset = window.reset || reset
	window.mutex.Unlock()
	window.signal()
}

// Reset reports whether the entry has disowned the stream.
func (window *Window) Reset() bool {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	return window.reset
}

// Grant gives bytes back.
func (window *Window) Grant(count int) {
	window.mutex.Lock()
	window.free += count
	window.mutex.Unlock()
	window.signal()
}

func (window *Window) signal() {
	select {
	case window.more <- struct{}{}:
	default:
	}
}
