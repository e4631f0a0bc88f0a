package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// maxLineBytes is the maximum size of one line of a streamed answer.
const maxLineBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// relay checks the answer of a run and passes it to the sink, chunk by chunk.
type relay struct {
	start effect.StartRun
	sink  Sink
	index uint64
	// maxAnswer is the maximum size of an answer that is not streamed, in bytes.
	maxAnswer int64
}

// chunkIdentity holds the fields of a chunk that identify its run and adapter.
type chunkIdentity struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	// Error is set in an error answer, which has neither ID nor Model.
	Error json.RawMessage `json:"error"`
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// relayStream relays server-sent events. An answer without its end marker is
// truncated, even if the connection was closed without an error.
func (relay *relay) relayStream(ctx context.Context, body io.Reader) owner.Result {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	scanner.Split(splitCompleteLines)
	for scanner.Scan() {
		payload, isData := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, endMarker) {
			return owner.ResultComplete
		}
		if !relay.matchesRequest(payload) {
			return owner.ResultWrongAdapter
		}
		if relay.sink.Chunk(ctx, bytes.Clone(payload)) != nil {
			return owner.ResultLost
		}
	}
	if scanner.Err() != nil {
		return owner.ResultLost
	}
	return owner.ResultTruncated
}

// splitCompleteLines is a split function for bufio.Scanner. It drops an incomplete
// last line, because the part of a chunk that was received before a connection
// broke does not show whether the engine answered for the requested run.
func splitCompleteLines(data []byte, atEOF bool) (int, []byte, error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// relayUnstreamed relays an answer that is not streamed as one chunk.
func (relay *relay) relayUnstreamed(ctx context.Context, response *http.Response) owner.Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, relay.maxAnswer+1))
	if err != nil {
		return owner.ResultLost
	}
	if int64(len(body)) > relay.maxAnswer || response.ContentLength < 0 && !json.Valid(body) {
		return owner.ResultTruncated
	}
	if response.StatusCode == http.StatusOK && !relay.matchesRequest(body) {
		return owner.ResultWrongAdapter
	}
	if relay.sink.Chunk(ctx, body) != nil {
		return owner.ResultLost
	}
	return owner.ResultComplete
}

// matchesRequest reports whether a chunk names the requested run, adapter and
// adapter version. An error answer matches any request.
func (relay *relay) matchesRequest(payload []byte) bool {
	var identity chunkIdentity
	if json.Unmarshal(payload, &identity) != nil {
		return false
	}
	if len(identity.Error) > 0 {
		return true
	}
	return identity.ID == relay.start.Stream.String() && identity.Model == relay.start.Request.Adapter.String()
}
