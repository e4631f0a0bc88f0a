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
