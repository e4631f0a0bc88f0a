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

// collectingSink is a sink that keeps the chunks it receives.
type collectingSink struct{ chunks []string }

func (*collectingSink) Head(int, string) error { return nil }

func (collectingSink *collectingSink) Chunk(_ context.Context, payload []byte) error {
	collectingSink.chunks = append(collectingSink.chunks, string(payload))
	return nil
}

// TestTruncatedStream breaks the connection after every byte of a streamed answer.
// Unless the whole end marker was sent, the result must be that the connection was
// lost, never that the engine answered with the wrong adapter, and an incomplete
// chunk must not be passed on.
func TestTruncatedStream(t *testing.T) {
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
		sink := &collectingSink{}
		result := client.Run(t.Context(), strings.TrimPrefix(server.URL, "http://"), start, sink)
		if cut >= len(whole)-1 {
			require.Equal(t, owner.ResultComplete, result)
			continue
		}
		require.Equal(t, owner.ResultLost, result, "cut at %d", cut)
		require.Len(t, sink.chunks, strings.Count(whole[:cut], "}\n"), "cut at %d", cut)
	}
}
