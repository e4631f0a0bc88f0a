package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
)

// collected is a sink that keeps what it gets.
type collected struct{ chunks []string }

func (*collected) Head(int, string) error { return nil }

func (sink *collected) Chunk(_ context.Context, payload []byte) error {
	sink.chunks = append(sink.chunks, string(payload))
	return nil
}

// TestCutInsideChunk ends an answer at every byte. A healthy engine whose
// connection broke must never be taken for one that answers with the wrong
// adapter, and no part of a chunk is passed on.
func TestCutInsideChunk(t *testing.T) {
	start := effect.StartRun{
		Stream:  ident.StreamID{Daemon: "entry", Incarnation: 1, Sequence: 2},
		Request: message.Request{Adapter: ident.Adapter{Name: "review", Version: "1"}, Path: "/v1/completions"},
	}
	event := fmt.Sprintf("data: {\"id\":%q,\"model\":\"review@1\"}\n\n", start.Stream.String())
	whole := event + event + "data: [DONE]\n\n"
	cut := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.Header().Set(engine.RunHeader, start.Stream.String())
		_, _ = writer.Write([]byte(whole[:cut]))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := engine.New(engine.DefaultOptions())
	for ; cut < len(whole); cut++ {
		sink := &collected{}
		result := client.Run(t.Context(), strings.TrimPrefix(server.URL, "http://"), start, sink)
		if cut >= len(whole)-1 {
			require.Equal(t, owner.ResultComplete, result)
			continue
		}
		require.Equal(t, owner.ResultLost, result, "cut at %d", cut)
		require.Len(t, sink.chunks, strings.Count(whole[:cut], "}\n"), "cut at %d", cut)
	}
}
