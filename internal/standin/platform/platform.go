// Package platform is a stand-in for what the platform gives: a configuration
// service that daemons can only read and watch, and a VM list that lags.
// Tests and the demo publish through Go calls, or through the admin handler,
// which daemons are never told of.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/control/members"
)

// Mode is how the configuration service behaves.
type Mode int

// Modes of the configuration service.
const (
	Up Mode = iota
	// Down: every call fails.
	Down
	// Stale: values published since stay hidden.
	Stale
)

// Platform holds values and the VM list.
type Platform struct {
	calls atomic.Int64

	mutex   sync.Mutex // guards all below
	mode    Mode
	values  map[string]platform.Value
	visible map[string]platform.Value // what Stale shows
	changed chan struct{}             // closed at each change
	list    members.List
	listLag time.Duration
	// listDown makes reads of the VM list fail.
	listDown bool
	history  []listVersion
}

type listVersion struct {
	at   time.Time
	list members.List
}

// New returns a platform that holds nothing. The list lags by the given span.
func New(listLag time.Duration) *Platform {
	return &Platform{
		values: map[string]platform.Value{}, visible: map[string]platform.Value{},
		changed: make(chan struct{}), listLag: listLag,
	}
}

// Calls returns the number of calls of the configuration service so far; a
// watch counts as one.
func (stand *Platform) Calls() int64 {
	return stand.calls.Load()
}

// SetMode changes how the configuration service behaves.
func (stand *Platform) SetMode(mode Mode) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if mode == Stale && stand.mode != Stale {
		stand.visible = map[string]platform.Value{}
		for key, value := range stand.values {
			stand.visible[key] = value
		}
	}
	stand.mode = mode
	stand.wake()
}

// Publish sets the value under a key; its version rises.
func (stand *Platform) Publish(key string, body []byte) error {
	if len(body) > platform.MaxValue {
		return fmt.Errorf("value %s: %d bytes, at most %d", key, len(body), platform.MaxValue)
	}
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.values[key] = platform.Value{Version: stand.values[key].Version + 1, Body: body}
	stand.wake()
	return nil
}

// SetVMs replaces the VM list; readers see it after the lag.
func (stand *Platform) SetVMs(vms []members.VM) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.list = members.List{Version: stand.list.Version + 1, VMs: vms}
	stand.history = append(stand.history, listVersion{at: time.Now(), list: stand.list})
}

func (stand *Platform) wake() {
	close(stand.changed)
	stand.changed = make(chan struct{})
}

// ServeHTTP serves readers.
func (stand *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method != http.MethodGet:
		http.Error(writer, "only reads", http.StatusMethodNotAllowed)
	case request.URL.Path == platform.VMsPath:
		stand.serveList(writer, request)
	case strings.HasPrefix(request.URL.Path, platform.ValuesPath):
		stand.calls.Add(1)
		stand.serveValue(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

// SetListDown makes reads of the VM list fail, or work again.
func (stand *Platform) SetListDown(down bool) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.listDown = down
}

func (stand *Platform) serveList(writer http.ResponseWriter, request *http.Request) {
	stand.mutex.Lock()
	down := stand.listDown
	stand.mutex.Unlock()
	if down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	list := stand.visibleList()
	tag := strconv.Quote(strconv.FormatUint(list.Version, 10))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}

func (stand *Platform) visibleList() members.List {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	limit := time.Now().Add(-stand.listLag)
	var found members.List
	for _, version := range stand.history {
		if !version.at.After(limit) || found.Version == 0 {
			found = version.list
		}
	}
	return found
}

func (stand *Platform) serveValue(writer http.ResponseWriter, request *http.Request) {
	key := strings.TrimPrefix(request.URL.Path, platform.ValuesPath)
	after, _ := strconv.ParseUint(request.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(request.URL.Query().Get("WaitMillis"), 10, 64)
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		value, found, up, changed := stand.look(key)
		switch {
		case !up:
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		case found && value.Version > after:
			writer.Header().Set(platform.VersionHeader, strconv.FormatUint(value.Version, 10))
			_, _ = writer.Write(value.Body)
			return
		case !found && wait == 0:
			http.NotFound(writer, request)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			writer.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (stand *Platform) look(key string) (value platform.Value, found, up bool, changed <-chan struct{}) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if stand.mode == Stale {
		value, found = stand.visible[key]
	} else {
		value, found = stand.values[key]
	}
	return value, found, stand.mode != Down, stand.changed
}
