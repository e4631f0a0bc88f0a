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

// TestReaderThatDoesNotReadBlocksNobody writes to a pipe that nobody reads.
func TestReaderThatDoesNotReadBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	pipe := logpipe.New(writer, 8)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- pipe.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(pipe, nil))
	for i := range 1000 {
		log.Info("line", "Number", i)
	}
	require.GreaterOrEqual(t, pipe.Dropped(), int64(1000-8-1))
	require.NoError(t, reader.Close())
	cancel()
	require.ErrorIs(t, <-ended, io.ErrClosedPipe)
}

// TestDroppedLinesAreSaid counts every line: written or said to be dropped.
func TestDroppedLinesAreSaid(t *testing.T) {
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

// TestReaderThatDoesNotReadHoldsNoEndUp: the process ends all the same.
func TestReaderThatDoesNotReadHoldsNoEndUp(t *testing.T) {
	reader, writer := io.Pipe()
	pipe := logpipe.New(writer, 8)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- pipe.Run(ctx) }()
	_, err := pipe.Write([]byte("line\n"))
	require.NoError(t, err)
	cancel()
	require.ErrorIs(t, logpipe.Finish(ended, 10), logpipe.ErrStuck)
	require.NoError(t, reader.Close())
	require.ErrorIs(t, logpipe.Finish(ended, 60_000), io.ErrClosedPipe)
}

// BenchmarkLine is what a line costs its writer, the JSON included.
func BenchmarkLine(b *testing.B) {
	pipe := logpipe.New(io.Discard, 1024)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- pipe.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(pipe, nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request sent", "Request", "765df69773537e9a", "Server", "i-62241e2ae3", "Adapter", "a2602",
			"Offer", 1, "CostMillis", 141, "LeftMillis", 14571, "Version", 0, "WaitedMillis", 263)
	}
	cancel()
	require.NoError(b, <-ended)
}
