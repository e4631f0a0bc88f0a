// Package service implements the client of the services that are not model engines.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Options holds the timeouts and limits of the client.
type Options struct {
	DialTimeout clock.Millis
	// Timeout is the maximum duration of a call, until its answer has been read.
	Timeout clock.Millis
	// MaxIdleConnections is the maximum number of idle connections kept per service address.
	MaxIdleConnections int
	// MaxAnswerBytes is the maximum size of an answer, in bytes.
	MaxAnswerBytes int64
}

// DefaultOptions returns the options that apply where the settings give no value.
func DefaultOptions() Options {
	return Options{DialTimeout: 2 * clock.Second, Timeout: 30 * clock.Second, MaxIdleConnections: 64, MaxAnswerBytes: 8 << 20}
}

// Call is one request to a service.
type Call struct {
	Address     string // IP:port
	Method      string
	Path        string // with its query
	ContentType string
	RequestID   string
	Body        []byte
}

// Client calls services.
type Client struct {
	httpClient *http.Client
	maxAnswer  int64 // bytes
}

// New returns a client.
func New(options Options) *Client {
	dialer := &net.Dialer{Timeout: options.DialTimeout.Duration()}
	return &Client{maxAnswer: options.MaxAnswerBytes, httpClient: &http.Client{
		Timeout: options.Timeout.Duration(),
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: options.MaxIdleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a call once and never retries it. If there is no complete answer,
// the outcome states whether the service may have received the call.
func (client *Client) Do(ctx context.Context, call Call) (*message.StoredAnswer, outcome.Outcome) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, outcome.Refused(outcome.BadRequest, 0)
	}
	answer, err := client.exchange(request)
	switch {
	case err == nil:
		return answer, outcome.Done()
	case sent.Load():
		return nil, outcome.MayHaveRun(outcome.ServiceLost)
	}
	return nil, outcome.Refused(outcome.EngineRefused, clock.Second)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build service call")
	}
	// The transport retries a request on its own if it can read the body again and
	// the method or an idempotency header permits it. A body that is not nil and
	// cannot be rewound prevents that, even if it is empty.
	request.Body = io.NopCloser(bytes.NewReader(call.Body))
	request.ContentLength = int64(len(call.Body))
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set("X-Request-Id", call.RequestID)
	return request, nil
}

func (client *Client) exchange(request *http.Request) (*message.StoredAnswer, error) {
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call service")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, client.maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read service answer")
	}
	if int64(len(body)) > client.maxAnswer {
		return nil, errors.Errorf("service answer exceeds %d bytes", client.maxAnswer)
	}
	return &message.StoredAnswer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}
