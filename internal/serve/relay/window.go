// Package relay moves the answers of streams with flow control per stream: the
// side that talks to the engine holds a window, the side that talks to the
// caller an inbox, and credits flow back as the caller reads.
package relay

import (
	"context"
	"sync"
)

// WindowBytes is what a stream may have in flight beyond what its caller read.
const WindowBytes = 256 << 10

// creditStep is the number of consumed bytes that are given back at once.
const creditStep = WindowBytes / 4

// Window is the sending side's allowance of one stream. Safe for concurrent use.
type Window struct {
	mutex sync.Mutex // guards free
	free  int
	more  chan struct{} // holds a token after a grant
}

// NewWindow returns a full window.
func NewWindow() *Window {
	return &Window{free: WindowBytes, more: make(chan struct{}, 1)}
}

// Take waits until the window is open and takes count bytes. A chunk larger
// than what is free passes and leaves the window in debt, so that no chunk size
// can block a stream for good.
func (window *Window) Take(ctx context.Context, count int) error {
	for {
		if window.tryTake(count) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-window.more:
		}
	}
}

func (window *Window) tryTake(count int) bool {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	if window.free <= 0 {
		return false
	}
	window.free -= count
	return true
}

// Grant gives bytes back.
func (window *Window) Grant(count int) {
	window.mutex.Lock()
	window.free += count
	window.mutex.Unlock()
	select {
	case window.more <- struct{}{}:
	default:
	}
}
