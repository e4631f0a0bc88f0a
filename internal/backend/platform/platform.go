// Package platform reads what the platform publishes: values of the
// configuration service and the VM list. Nothing is ever written to it.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/members"
)

// MaxValue is the size of the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// VersionHeader carries the version of a value.
const VersionHeader = "X-Version"

// Paths of the platform's services.
const (
	ValuesPath = "/values/"
	VMsPath    = "/vms"
)

// ErrNotFound says that the service holds no value under a key.
var ErrNotFound = errors.New("no such value")

// Value is one version of a value.
type Value struct {
	Version uint64
	Body    []byte
}

// Client reads the configuration service and the VM list.
type Client struct {
	configAddress string // IP:port
	vmAddress     string // IP:port
	client        *http.Client
	timeout       clock.Millis
}

// New returns a client. The timeout bounds each call beyond a watch's own wait.
func New(configAddress, vmAddress string, timeout clock.Millis) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{
		configAddress: configAddress, vmAddress: vmAddress,
		client: &http.Client{Transport: transport}, timeout: timeout,
	}
}

// Read returns the value under a key.
func (client *Client) Read(ctx context.Context, key string) (Value, error) {
	value, _, err := client.get(ctx, key, url.Values{}, client.timeout)
	return value, err
}

// Watch waits up to the given span for a version above after; it reports false
// when there was none.
func (client *Client) Watch(ctx context.Context, key string, after uint64, wait clock.Millis) (Value, bool, error) {
	query := url.Values{"After": {strconv.FormatUint(after, 10)}, "WaitMillis": {strconv.FormatInt(int64(wait), 10)}}
	return client.get(ctx, key, query, wait+client.timeout)
}

func (client *Client) get(ctx context.Context, key string, query url.Values, timeout clock.Millis) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	target := fmt.Sprintf("http://%s%s%s?%s", client.configAddress, ValuesPath, url.PathEscape(key), query.Encode())
	response, err := client.fetch(ctx, target)
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read value %s", key)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, false, nil
	case http.StatusNotFound:
		return Value{}, false, errors.Wrapf(ErrNotFound, "read value %s", key)
	default:
		return Value{}, false, errors.Errorf("read value %s: status %d", key, response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read value %s: version", key)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValue+1))
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read value %s", key)
	}
	if len(body) > MaxValue {
		return Value{}, false, errors.Errorf("read value %s: more than %d bytes", key, MaxValue)
	}
	return Value{Version: version, Body: body}, true, nil
}

func (client *Client) fetch(ctx context.Context, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return client.client.Do(request)
}

// ListReading is what a read of the VM list brought.
type ListReading struct {
	// List is unset when it is still the one that the tag stands for.
	List    members.List
	Changed bool
	// Tag stands for the list in the next read.
	Tag string
}

// VMs reads the VM list unless it is still the one that the tag stands for: at
// the size of a fleet the list is far larger than everything else that a daemon
// reads in a second. An empty tag reads it in any case.
func (client *Client) VMs(ctx context.Context, tag string) (ListReading, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+client.vmAddress+VMsPath, nil)
	if err != nil {
		return ListReading{}, errors.Wrap(err, "read VM list")
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := client.client.Do(request)
	if err != nil {
		return ListReading{}, errors.Wrap(err, "read VM list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return ListReading{Tag: tag}, nil
	default:
		return ListReading{}, errors.Errorf("read VM list: status %d", response.StatusCode)
	}
	reading := ListReading{Changed: true, Tag: response.Header.Get("ETag")}
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxValue)).Decode(&reading.List); err != nil {
		return ListReading{}, errors.Wrap(err, "decode VM list")
	}
	return reading, nil
}
