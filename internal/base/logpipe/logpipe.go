// Package logpipe writes log lines without ever blocking those who log: lines
// wait in a bounded queue, and those that find it full are counted and dropped.
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

// Pipe is an io.Writer for whole lines.
type Pipe struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// New returns a pipe that holds up to capacity lines for out.
func New(out io.Writer, capacity int) *Pipe {
	return &Pipe{out: out, lines: make(chan []byte, capacity)}
}

// Write queues a line. It never blocks and never fails.
func (pipe *Pipe) Write(line []byte) (int, error) {
	select {
	case pipe.lines <- bytes.Clone(line):
	default:
		pipe.dropped.Add(1)
		pipe.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (pipe *Pipe) Dropped() int64 { return pipe.total.Load() }

// Run writes queued lines until the context ends, and then what is left. It
// returns an error only when out fails.
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

// ErrStuck is returned when the reader of the log does not read.
var ErrStuck = errors.New("the log's reader does not read; lines are lost")

// Finish waits until Run, whose context has ended, has written what is left. A reader
// that does not read holds nobody up for longer than the patience: the process must
// end within its grace span.
func Finish(written <-chan error, patience clock.Millis) error {
	select {
	case err := <-written:
		return err
	case <-time.After(patience.Duration()):
		return ErrStuck
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
