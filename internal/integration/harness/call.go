package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/standin/site"
)

// Call is one request of a caller. Its prompt is unique, so that the engines'
// ledgers can be searched for it.
type Call struct {
	Model  string
	Tokens int
	Stream bool
	Prompt string
	// Key is the idempotency key, if any.
	Key string
}

// NewCall returns a call for an adapter.
func NewCall(model string, tokens int) Call {
	return Call{Model: model, Tokens: tokens, Prompt: uuid.NewString()}
}

// Streamed returns the call as one that is answered in server-sent events.
func (call Call) Streamed() Call {
	call.Stream = true
	return call
}

// Keyed returns the call with a new idempotency key.
func (call Call) Keyed() Call {
	call.Key = uuid.Must(uuid.NewV7()).String()
	return call
}

// Told is what a caller was told. Kind is empty when the connection broke
// without a word.
type Told struct {
	Kind   outcome.Kind
	Reason outcome.Reason
	Text   string
	Status int
}

// Open is a call whose answer is being read.
type Open struct {
	Call     Call
	response *http.Response
	reader   *bufio.Reader
	cancel   context.CancelFunc
	text     strings.Builder
}

// Begin sends a call and returns once the answer begins, or nil and what the
// caller was told when there is none.
func (daemon *Daemon) Begin(call Call) (*Open, Told) {
	body, err := json.Marshal(map[string]any{
		"model": call.Model, "max_tokens": call.Tokens, "stream": call.Stream, "prompt": call.Prompt,
	})
	require.NoError(daemon.site.T, err)
	return daemon.begin("/v1/completions", call, body)
}

// Do sends a call and reads the whole answer.
func (daemon *Daemon) Do(call Call) Told {
	open, told := daemon.Begin(call)
	if open == nil {
		return told
	}
	return open.Finish()
}

// Service calls the records service; the prompt is the body.
func (daemon *Daemon) Service(call Call) Told {
	open, told := daemon.begin(callers.ServicesPath+site.Service+"/opt-outs", call, []byte(call.Prompt))
	if open == nil {
		return told
	}
	return open.Finish()
}

// readBuffer is what the kernel keeps of an answer that a caller leaves unread.
const readBuffer = 32 << 10

func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(readBuffer)
}

// Abandon sends a call and closes the connection at once.
func (daemon *Daemon) Abandon(call Call) {
	conn, err := net.Dial("tcp", daemon.Settings.CallerAddress)
	require.NoError(daemon.site.T, err)
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":%q}`, call.Model, call.Tokens, call.Prompt)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		site.CallerKey, len(body), body)
	require.NoError(daemon.site.T, err)
}

func (daemon *Daemon) begin(path string, call Call, body []byte) (*Open, Told) {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+daemon.Settings.CallerAddress+path, bytes.NewReader(body))
	require.NoError(daemon.site.T, err)
	request.GetBody = nil // the client must not repeat a request by itself
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	request.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		request.Header.Set(callers.IdempotencyKeyHeader, call.Key)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialSmall}}).Do(request)
	if err != nil {
		cancel()
		return nil, Told{}
	}
	return &Open{Call: call, response: response, reader: bufio.NewReader(response.Body), cancel: cancel}, Told{}
}

// Streams reports whether the answer comes as server-sent events.
func (open *Open) Streams() bool {
	return strings.HasPrefix(open.response.Header.Get("Content-Type"), "text/event-stream")
}

// Leave closes the caller's connection.
func (open *Open) Leave() {
	open.cancel()
	_ = open.response.Body.Close()
}

// Next reads one streamed token; it reports false at the end.
func (open *Open) Next() (Told, bool) {
	for {
		line, err := open.reader.ReadString('\n')
		if err != nil {
			return Told{Status: open.response.StatusCode, Text: open.text.String()}, false
		}
		payload, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		if payload == "[DONE]" {
			return Told{
				Kind: outcome.Answered, Reason: outcome.Complete, Status: open.response.StatusCode, Text: open.text.String(),
			}, false
		}
		if told, failed := refusalIn([]byte(payload)); failed {
			told.Status, told.Text = open.response.StatusCode, open.text.String()
			return told, false
		}
		open.text.WriteString(textIn([]byte(payload)))
		return Told{}, true
	}
}

// Finish reads the rest of the answer and returns what the caller was told.
func (open *Open) Finish() Told {
	defer open.Leave()
	if open.Streams() {
		for {
			if told, more := open.Next(); !more {
				return told
			}
		}
	}
	body, err := io.ReadAll(open.reader)
	if err != nil {
		return Told{Status: open.response.StatusCode}
	}
	told := Told{
		Kind:   outcome.Kind(open.response.Header.Get(callers.OutcomeHeader)),
		Reason: outcome.Reason(open.response.Header.Get(callers.ReasonHeader)),
		Status: open.response.StatusCode, Text: textIn(body),
	}
	return told
}

func refusalIn(payload []byte) (Told, bool) {
	var body struct {
		Error *struct{ Type, Code string }
	}
	if json.Unmarshal(payload, &body) != nil || body.Error == nil {
		return Told{}, false
	}
	return Told{Kind: outcome.Kind(body.Error.Type), Reason: outcome.Reason(body.Error.Code)}, true
}

func textIn(payload []byte) string {
	var body struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(payload, &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// whole is the answer that an engine gives to a call.
func (call Call) whole() string {
	var text strings.Builder
	for at := range call.Tokens {
		fmt.Fprintf(&text, "%s#%d ", call.Model, at)
	}
	return text.String()
}
