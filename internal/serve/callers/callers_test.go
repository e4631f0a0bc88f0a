package callers_test

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/relay"
)

const apiKey = "clerk-secret"

// fakeDaemon records refusals. It fails the test when a request is started, unless start
// is set.
type fakeDaemon struct {
	start    func(arrived node.RequestArrived, pending *daemon.PendingRequest)
	t        testing.TB
	snapshot *config.Snapshot
	refused  []outcome.Record
	ready    bool
}

func (fake *fakeDaemon) StartRequest(arrived node.RequestArrived, pending *daemon.PendingRequest) {
	if fake.start != nil {
		fake.start(arrived, pending)
		return
	}
	fake.t.Errorf("request %s was started", arrived.RequestID)
}

func (fake *fakeDaemon) CallerDisconnected(*daemon.PendingRequest) {}

func (fake *fakeDaemon) Ready() bool { return fake.ready }

func (fake *fakeDaemon) Config() *config.Snapshot { return fake.snapshot }

func (fake *fakeDaemon) RecordRefusal(record outcome.Record) outcome.Record {
	fake.refused = append(fake.refused, record)
	return record
}

func newFake(t testing.TB) *fakeDaemon {
	t.Helper()
	snapshot, err := config.Compile(config.Config{
		Version: 7, Callers: []config.Caller{{Name: "clerk", KeyHash: config.HashKey(apiKey)}},
	})
	require.NoError(t, err)
	return &fakeDaemon{t: t, snapshot: snapshot}
}

// badRequest is a request that must be refused, with the expected answer.
type badRequest struct {
	name    string
	method  string // POST when empty
	path    string // completions when empty
	headers map[string]string
	body    string
	status  int
	reason  outcome.Reason
	detail  string // expected within the message
}

const goodBody = `{"model":"letters@1"}`

var badRequests = []badRequest{
	{name: "unknown path", path: "/v2/completions", status: 404, reason: outcome.UnknownPath},
	{name: "wrong method", method: http.MethodGet, status: 405, reason: outcome.WrongMethod, detail: "want POST"},
	{name: "no service named", path: "/services/", status: 404, reason: outcome.UnknownPath, detail: "/services/NAME"},
	{name: "dot segments", path: "/services/records/../other", status: 404, reason: outcome.UnknownPath, detail: "dot segments"},
	{name: "empty segment", path: "/v1//completions", status: 404, reason: outcome.UnknownPath, detail: "empty"},
	{name: "no API key", headers: map[string]string{"Authorization": ""}, status: 401, reason: outcome.Unauthorized},
	{name: "unknown API key", headers: map[string]string{"Authorization": "Bearer other"}, status: 401, reason: outcome.Unauthorized},
	{name: "API key without its scheme", headers: map[string]string{"Authorization": apiKey}, status: 401, reason: outcome.Unauthorized, detail: "Bearer"},
	{name: "API key with a space", headers: map[string]string{"Authorization": "Bearer a b"}, status: 401, reason: outcome.Unauthorized, detail: "Bearer"},
	{name: "body too large", body: `{"model":"` + strings.Repeat("x", 2000) + `"}`, status: 413, reason: outcome.BodyTooLarge, detail: "1024 bytes"},
	{name: "wrong content type", headers: map[string]string{"Content-Type": "text/plain"}, status: 415, reason: outcome.UnsupportedType, detail: "application/json"},
	{name: "compressed", headers: map[string]string{"Content-Encoding": "gzip"}, status: 415, reason: outcome.UnsupportedType},
	{name: "not JSON", body: "hello", status: 400, reason: outcome.BadRequest, detail: "not a JSON object"},
	{name: "empty body", body: " ", status: 400, reason: outcome.BadRequest, detail: "not a JSON object"},
	{name: "a JSON list", body: "[]", status: 400, reason: outcome.BadRequest, detail: "JSON array: want an object"},
	{name: "model is a number", body: `{"model":3}`, status: 400, reason: outcome.BadRequest, detail: "model: a JSON number: want a string"},
	{name: "stream is a string", body: `{"model":"a@1","stream":"yes"}`, status: 400, reason: outcome.BadRequest, detail: "stream: a JSON string: want true or false"},
	{name: "no model", body: `{}`, status: 400, reason: outcome.BadRequest, detail: "adapter@version"},
	{name: "model without version", body: `{"model":"letters"}`, status: 400, reason: outcome.BadRequest, detail: "adapter@version"},
	{name: "key without issue time", headers: map[string]string{callers.IdempotencyKeyHeader: "abc"}, status: 400, reason: outcome.BadRequest, detail: "version 7"},
	{name: "key too long", headers: map[string]string{callers.IdempotencyKeyHeader: strings.Repeat("k", 300)}, status: 400, reason: outcome.BadRequest, detail: "255"},
	{name: "bad issue time", headers: map[string]string{callers.IdempotencyKeyHeader: "abc", callers.IdempotencyIssuedHeader: "today"}, status: 400, reason: outcome.BadRequest, detail: "Unix epoch"},
	{name: "bad repeatable header", headers: map[string]string{callers.NotRepeatableHeader: "maybe"}, status: 400, reason: outcome.BadRequest, detail: "true or false"},
	{name: "request id too long", headers: map[string]string{callers.RequestIDHeader: strings.Repeat("r", 200)}, status: 400, reason: outcome.BadRequest, detail: "128"},
}

func (bad badRequest) request(t testing.TB, address string) *http.Request {
	t.Helper()
	method, path, body := bad.method, bad.path, bad.body
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = callers.CompletionsPath
	}
	if body == "" {
		body = goodBody
	}
	request, err := http.NewRequestWithContext(t.Context(), method, address+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range bad.headers {
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	return request
}

func TestBadInputIsRefused(t *testing.T) {
	for _, bad := range badRequests {
		t.Run(bad.name, func(t *testing.T) {
			fake := newFake(t)
			options := callers.DefaultOptions()
			options.MaxBodyBytes = 1024
			server := httptest.NewServer(callers.New(fake, options, slog.New(slog.DiscardHandler)))
			defer server.Close()
			response, err := http.DefaultClient.Do(bad.request(t, server.URL))
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			var body struct {
				Error  struct{ Message, Type, Code string }
				Record outcome.Record
			}
			require.NoError(t, json.Unmarshal(text, &body), "%s", text)
			require.Equal(t, bad.status, response.StatusCode, "%s", text)
			require.Equal(t, "NotRun", response.Header.Get(callers.OutcomeHeader))
			require.Equal(t, string(bad.reason), response.Header.Get(callers.ReasonHeader))
			require.NotEmpty(t, response.Header.Get(callers.RequestIDHeader))
			require.Equal(t, string(bad.reason), body.Error.Code)
			require.Contains(t, body.Error.Message, bad.detail)
			require.NotEmpty(t, body.Error.Message)
			require.NotContains(t, string(text), apiKey)
			require.Len(t, fake.refused, 1)
			require.Equal(t, bad.reason, fake.refused[0].Outcome.Reason)
			require.Equal(t, response.Header.Get(callers.RequestIDHeader), body.Record.Request)
		})
	}
}

// TestSlowBodyIsRefused sends the headers of a request but not its body. The request must be
// refused after the timeout.
func TestSlowBodyIsRefused(t *testing.T) {
	fake := newFake(t)
	options := callers.DefaultOptions()
	options.BodyTimeout = clock.Millisecond
	server := httptest.NewServer(callers.New(fake, options, slog.New(slog.DiscardHandler)))
	defer server.Close()
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+callers.CompletionsPath, reader)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Equal(t, "BodyTimeout", response.Header.Get(callers.ReasonHeader))
}

// TestHealthChecksNeedNoAPIKey checks health and readiness without an API key, as a load
// balancer does.
func TestHealthChecksNeedNoAPIKey(t *testing.T) {
	fake := newFake(t)
	handler := callers.New(fake, callers.DefaultOptions(), slog.New(slog.DiscardHandler))
	status := func(path string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code
	}
	require.Equal(t, http.StatusOK, status(callers.HealthPath))
	require.Equal(t, http.StatusServiceUnavailable, status(callers.ReadyPath))
	fake.ready = true
	require.Equal(t, http.StatusOK, status(callers.ReadyPath))
}

// TestServicePathIsForwarded checks the path and query that a service is sent, escaped as
// the caller sent them.
func TestServicePathIsForwarded(t *testing.T) {
	cases := []struct{ path, name, target string }{
		{"/services/records", "records", "/"},
		{"/services/records/", "records", "/"},
		{"/services/records/opt-outs?member=1&all", "records", "/opt-outs?member=1&all"},
		{"/services/records/a%20b%2Fc%3Fd", "records", "/a%20b%2Fc%3Fd"},
		{"/services/crew%20app/shifts/7/", "crew app", "/shifts/7/"},
	}
	for _, each := range cases {
		t.Run(each.path, func(t *testing.T) {
			fake := newFake(t)
			var name, target string
			fake.start = func(arrived node.RequestArrived, pending *daemon.PendingRequest) {
				name, target = arrived.Service, pending.Call.Path
				pending.Inbox = relay.NewInbox(false)
				pending.Inbox.PutFinal(effect.Answer{Outcome: outcome.Done(), Stored: &message.StoredAnswer{Status: http.StatusCreated}})
			}
			handler := callers.New(fake, callers.DefaultOptions(), slog.New(slog.DiscardHandler))
			request := httptest.NewRequest(http.MethodPost, each.path, nil)
			request.Header.Set("Authorization", "Bearer "+apiKey)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			require.Equal(t, http.StatusCreated, recorder.Code, recorder.Body)
			require.Equal(t, each.name, name)
			require.Equal(t, each.target, target)
		})
	}
}
