// Package logpipe writes log lines through a bounded queue, so that logging never
// blocks. Lines that arrive while the queue is full are dropped and counted.
package logpipe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Pipe is an io.Writer that queues lines. Each call of Write must pass a whole line.
type Pipe struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // since the last warning about dropped lines
	total   atomic.Int64 // lines dropped since the start
}

// New returns a pipe that queues up to capacity lines for out.
func New(out io.Writer, capacity int) *Pipe {
	return &Pipe{out: out, lines: make(chan []byte, capacity)}
}

// Write queues a line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (pipe *Pipe) Write(line []byte) (int, error) {
	select {
	case pipe.lines <- bytes.Clone(line):
	default:
		pipe.dropped.Add(1)
		pipe.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (pipe *Pipe) Dropped() int64 { return pipe.total.Load() }

// Run writes queued lines to out until the context is done, and then the lines that
// are still queued. It returns an error only if out fails.
func (pipe *Pipe) Run(ctx context.Context) error {
	for {
		select {
		case line := <-pipe.lines:
			if err := pipe.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return pipe.drain()
		}
	}
}

// ErrTimeout is returned by Wait if the queued lines could not be written in time,
// because the reader of the log does not read.
var ErrTimeout = errors.New("queued log lines were not written within the timeout and are lost")

// Wait waits for the result of Run, whose context is done, on the channel written.
// The wait ends after the timeout even if the reader of the log does not read, because
// the process must end within its grace period.
func Wait(written <-chan error, timeout clock.Millis) error {
	select {
	case err := <-written:
		return err
	case <-time.After(timeout.Duration()):
		return ErrTimeout
	}
}

func (pipe *Pipe) drain() error {
	for {
		select {
		case line := <-pipe.lines:
			if err := pipe.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (pipe *Pipe) write(line []byte) error {
	if dropped := pipe.dropped.Swap(0); dropped > 0 {
		_, err := fmt.Fprintf(pipe.out, `{"level":"WARN","msg":"log lines dropped","Count":%d}`+"\n", dropped)
		if err != nil {
			return err
		}
	}
	_, err := pipe.out.Write(line)
	return err
}
