// Package platform implements the client of the platform, which publishes values
// in its configuration service, and the VM list. The client only reads.
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

// MaxValueBytes is the maximum size of a value in the configuration service, and of the VM
// list, in bytes.
const MaxValueBytes = 1 << 20

// VersionHeader is the response header with the version of a value.
const VersionHeader = "X-Version"

// Paths of the platform's services.
const (
	ValuesPath = "/values/"
	VMsPath    = "/vms"
)

// ErrNotFound is returned if the configuration service has no value for a key.
var ErrNotFound = errors.New("no such value")

// Value is one version of a value in the configuration service.
type Value struct {
	Version uint64
	Body    []byte
}

// Client reads the configuration service and the VM list.
type Client struct {
	configAddress string // IP:port
	vmAddress     string // IP:port
	httpClient    *http.Client
	timeout       clock.Millis
}

// New returns a client. The timeout applies to each call; a watch may take longer
// by its own wait.
func New(configAddress, vmAddress string, timeout clock.Millis) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{
		configAddress: configAddress, vmAddress: vmAddress,
		httpClient: &http.Client{Transport: transport}, timeout: timeout,
	}
}

// Read returns the value of a key.
func (client *Client) Read(ctx context.Context, key string) (Value, error) {
	value, _, err := client.get(ctx, key, url.Values{}, client.timeout)
	return value, err
}

// Watch waits up to the given time for a version of the value above after. It
// reports false if there was none.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read value %s", key)
	}
	if len(body) > MaxValueBytes {
		return Value{}, false, errors.Errorf("read value %s: more than %d bytes", key, MaxValueBytes)
	}
	return Value{Version: version, Body: body}, true, nil
}

func (client *Client) fetch(ctx context.Context, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return client.httpClient.Do(request)
}

// VMListResult is the result of a read of the VM list.
type VMListResult struct {
	// List is not set if it has not changed since the read that returned the given tag.
	List    members.List
	Changed bool
	// ETag is the entity tag (ETag) of the list, for the next read.
	ETag string
}

// ReadVMList reads the VM list if its entity tag differs from the given tag. With many
// VMs the list is far larger than everything else that a daemon reads in a second.
// An empty tag always reads the list.
func (client *Client) ReadVMList(ctx context.Context, tag string) (VMListResult, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+client.vmAddress+VMsPath, nil)
	if err != nil {
		return VMListResult{}, errors.Wrap(err, "read VM list")
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return VMListResult{}, errors.Wrap(err, "read VM list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return VMListResult{ETag: tag}, nil
	default:
		return VMListResult{}, errors.Errorf("read VM list: status %d", response.StatusCode)
	}
	result := VMListResult{Changed: true, ETag: response.Header.Get("ETag")}
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxValueBytes)).Decode(&result.List); err != nil {
		return VMListResult{}, errors.Wrap(err, "decode VM list")
	}
	return result, nil
}
