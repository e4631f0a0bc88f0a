package logpipe_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/logpipe"
)

// TestWriteDoesNotBlock checks that logging does not block, and that lines are counted as
// dropped, if the reader of the log does not read.
func TestWriteDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	pipe := logpipe.New(writer, 8)
	ctx, cancel := context.WithCancel(t.Context())
	runResult := make(chan error)
	go func() { runResult <- pipe.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(pipe, nil))
	for i := range 1000 {
		log.Info("line", "Number", i)
	}
	require.GreaterOrEqual(t, pipe.Dropped(), int64(1000-8-1))
	require.NoError(t, reader.Close())
	cancel()
	require.ErrorIs(t, <-runResult, io.ErrClosedPipe)
}

// TestDroppedLinesAreReported checks that each line is either written or counted in the
// warning about dropped lines.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	pipe := logpipe.New(&out, 4)
	for range 10 {
		_, err := pipe.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, pipe.Run(ctx))
	require.Equal(t, 4, strings.Count(out.String(), "line\n"))
	require.Contains(t, out.String(), `"Count":6`)
}

// TestStalledReaderDoesNotDelayEnd checks that the wait for queued lines ends after its
// timeout if the reader of the log does not read, so that the process can end.
func TestStalledReaderDoesNotDelayEnd(t *testing.T) {
	reader, writer := io.Pipe()
	pipe := logpipe.New(writer, 8)
	ctx, cancel := context.WithCancel(t.Context())
	runResult := make(chan error, 1)
	go func() { runResult <- pipe.Run(ctx) }()
	_, err := pipe.Write([]byte("line\n"))
	require.NoError(t, err)
	cancel()
	require.ErrorIs(t, logpipe.Wait(runResult, 10), logpipe.ErrTimeout)
	require.NoError(t, reader.Close())
	require.ErrorIs(t, logpipe.Wait(runResult, 60_000), io.ErrClosedPipe)
}

// BenchmarkLine measures the cost of logging one line, including the JSON encoding.
func BenchmarkLine(b *testing.B) {
	pipe := logpipe.New(io.Discard, 1024)
	ctx, cancel := context.WithCancel(b.Context())
	runResult := make(chan error, 1)
	go func() { runResult <- pipe.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(pipe, nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request sent", "Request", "765df69773537e9a", "Server", "i-62241e2ae3", "Adapter", "a2602",
			"Offer", 1, "CostMillis", 141, "LeftMillis", 14571, "Version", 0, "WaitedMillis", 263)
	}
	cancel()
	require.NoError(b, <-runResult)
}
