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

// Call is one request of a caller. Its prompt is unique, so that its entries in
// the engines' ledgers can be found.
type Call struct {
	Model  string
	Tokens int
	Stream bool
	Prompt string
	// Key is the idempotency key, if any.
	Key string
}

// NewCall returns a call for an adapter, given as NAME@VERSION, with an answer of the
// given number of tokens.
func NewCall(model string, tokens int) Call {
	return Call{Model: model, Tokens: tokens, Prompt: uuid.NewString()}
}

// WithStreaming returns the call with its answer requested as server-sent events.
func (call Call) WithStreaming() Call {
	call.Stream = true
	return call
}

// WithKey returns the call with a new idempotency key.
func (call Call) WithKey() Call {
	call.Key = uuid.Must(uuid.NewV7()).String()
	return call
}

// Result is how a call ended for its caller. Kind is empty when the connection
// closed without an outcome.
type Result struct {
	Kind   outcome.Kind
	Reason outcome.Reason
	Text   string
	Status int
}

// OpenCall is a call whose answer is being read.
type OpenCall struct {
	Call     Call
	response *http.Response
	reader   *bufio.Reader
	cancel   context.CancelFunc
	text     strings.Builder
}

// Begin sends a call and returns once the response begins. If there is none, it
// returns nil and a result without an outcome.
func (daemon *Daemon) Begin(call Call) (*OpenCall, Result) {
	body, err := json.Marshal(map[string]any{
		"model": call.Model, "max_tokens": call.Tokens, "stream": call.Stream, "prompt": call.Prompt,
	})
	require.NoError(daemon.site.T, err)
	return daemon.begin("/v1/completions", call, body)
}

// Do sends a call and reads the answer to its end.
func (daemon *Daemon) Do(call Call) Result {
	openCall, result := daemon.Begin(call)
	if openCall == nil {
		return result
	}
	return openCall.Finish()
}

// CallService calls the records service, with the prompt as the body.
func (daemon *Daemon) CallService(call Call) Result {
	openCall, result := daemon.begin(callers.ServicesPath+site.Service+"/opt-outs", call, []byte(call.Prompt))
	if openCall == nil {
		return result
	}
	return openCall.Finish()
}

// readBufferBytes is the size of the caller's socket buffer. It is small, so that an
// answer that the caller doesn't read stalls early.
const readBufferBytes = 32 << 10

func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
}

// Abandon sends a call and closes the connection without waiting for the answer.
func (daemon *Daemon) Abandon(call Call) {
	conn, err := net.Dial("tcp", daemon.Settings.CallerAddress)
	require.NoError(daemon.site.T, err)
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"prompt":%q}`, call.Model, call.Tokens, call.Prompt)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		site.CallerKey, len(body), body)
	require.NoError(daemon.site.T, err)
}

func (daemon *Daemon) begin(path string, call Call, body []byte) (*OpenCall, Result) {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+daemon.Settings.CallerAddress+path, bytes.NewReader(body))
	require.NoError(daemon.site.T, err)
	request.GetBody = nil // keeps the client from retrying the request by itself
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	request.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		request.Header.Set(callers.IdempotencyKeyHeader, call.Key)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialWithSmallBuffer}}).Do(request)
	if err != nil {
		cancel()
		return nil, Result{}
	}
	return &OpenCall{Call: call, response: response, reader: bufio.NewReader(response.Body), cancel: cancel}, Result{}
}

// IsStreamed reports whether the answer is sent as server-sent events.
func (openCall *OpenCall) IsStreamed() bool {
	return strings.HasPrefix(openCall.response.Header.Get("Content-Type"), "text/event-stream")
}

// Close closes the caller's connection.
func (openCall *OpenCall) Close() {
	openCall.cancel()
	_ = openCall.response.Body.Close()
}

// ReadToken reads one streamed token and returns true. At the end of the answer it
// returns the result and false.
func (openCall *OpenCall) ReadToken() (Result, bool) {
	for {
		line, err := openCall.reader.ReadString('\n')
		if err != nil {
			return Result{Status: openCall.response.StatusCode, Text: openCall.text.String()}, false
		}
		payload, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		if payload == "[DONE]" {
			return Result{
				Kind: outcome.Answered, Reason: outcome.Complete, Status: openCall.response.StatusCode, Text: openCall.text.String(),
			}, false
		}
		if result, failed := parseError([]byte(payload)); failed {
			result.Status, result.Text = openCall.response.StatusCode, openCall.text.String()
			return result, false
		}
		openCall.text.WriteString(parseText([]byte(payload)))
		return Result{}, true
	}
}

// Finish reads the rest of the answer and returns the result.
func (openCall *OpenCall) Finish() Result {
	defer openCall.Close()
	if openCall.IsStreamed() {
		for {
			if result, more := openCall.ReadToken(); !more {
				return result
			}
		}
	}
	body, err := io.ReadAll(openCall.reader)
	if err != nil {
		return Result{Status: openCall.response.StatusCode}
	}
	result := Result{
		Kind:   outcome.Kind(openCall.response.Header.Get(callers.OutcomeHeader)),
		Reason: outcome.Reason(openCall.response.Header.Get(callers.ReasonHeader)),
		Status: openCall.response.StatusCode, Text: parseText(body),
	}
	return result
}

func parseError(payload []byte) (Result, bool) {
	var body struct {
		Error *struct{ Type, Code string }
	}
	if json.Unmarshal(payload, &body) != nil || body.Error == nil {
		return Result{}, false
	}
	return Result{Kind: outcome.Kind(body.Error.Type), Reason: outcome.Reason(body.Error.Code)}, true
}

func parseText(payload []byte) string {
	var body struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(payload, &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// expectedText returns the answer that a stand-in engine gives to the call.
func (call Call) expectedText() string {
	var text strings.Builder
	for index := range call.Tokens {
		fmt.Fprintf(&text, "%s#%d ", call.Model, index)
	}
	return text.String()
}
