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

// maxLine bounds one line of a streamed answer.
const maxLine = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// relay checks an answer and hands it to the sink, chunk by chunk.
type relay struct {
	start effect.StartRun
	sink  Sink
	index uint64
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer int64
}

// chunkIdentity is the part of a chunk that says what produced it.
type chunkIdentity struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	// Error is set on an error answer, which carries no identity.
	Error json.RawMessage `json:"error"`
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// stream relays server-sent events. An answer without its closing mark is
// truncated, whatever the connection says.
func (relay *relay) stream(ctx context.Context, body io.Reader) owner.Result {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	scanner.Split(wholeLines)
	for scanner.Scan() {
		payload, isData := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, doneMark) {
			return owner.ResultComplete
		}
		if !relay.matches(payload) {
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

// wholeLines splits at line ends and drops an unfinished last line: what a cut
// connection leaves of a chunk says nothing about the engine.
func wholeLines(data []byte, atEOF bool) (int, []byte, error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// whole relays an answer that is not streamed, as one chunk.
func (relay *relay) whole(ctx context.Context, response *http.Response) owner.Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, relay.maxAnswer+1))
	if err != nil {
		return owner.ResultLost
	}
	if int64(len(body)) > relay.maxAnswer || response.ContentLength < 0 && !json.Valid(body) {
		return owner.ResultTruncated
	}
	if response.StatusCode == http.StatusOK && !relay.matches(body) {
		return owner.ResultWrongAdapter
	}
	if relay.sink.Chunk(ctx, body) != nil {
		return owner.ResultLost
	}
	return owner.ResultComplete
}

// matches reports whether a chunk names the run, adapter and version asked for.
func (relay *relay) matches(payload []byte) bool {
	var identity chunkIdentity
	if json.Unmarshal(payload, &identity) != nil {
		return false
	}
	if len(identity.Error) > 0 {
		return true
	}
	return identity.ID == relay.start.Stream.String() && identity.Model == relay.start.Request.Adapter.String()
}
