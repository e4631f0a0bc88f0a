// Package platform is a stand-in for two services of the platform: a
// configuration service whose values daemons can read and watch, and a VM list
// that shows changes with a delay. Daemons can't write to either. Tests and the
// demo publish through Go calls, or through the admin handler, whose address
// daemons are not given.
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

	protocol "teaselmoor/internal/backend/platform"
	"teaselmoor/internal/control/members"
)

// Mode is the state of the configuration service.
type Mode int

// Modes of the configuration service.
const (
	// Up serves the latest values.
	Up Mode = iota
	// Down fails every call.
	Down
	// Stale serves the values as they were when this mode was set.
	Stale
)

// Platform serves the values of the configuration service and the VM list.
type Platform struct {
	configCalls atomic.Int64

	mutex       sync.Mutex // guards the fields below
	mode        Mode
	values      map[string]protocol.Value
	staleValues map[string]protocol.Value // served in mode Stale
	changed     chan struct{}             // closed and replaced at each change
	list        members.List
	listLag     time.Duration
	// listDown is set while reads of the VM list fail.
	listDown bool
	history  []listVersion // oldest first
}

// listVersion is a version of the VM list and the time of its publication.
type listVersion struct {
	publishedAt time.Time
	list        members.List
}

// New returns a platform without values and with an empty VM list. Readers see a
// change of the list after listLag.
func New(listLag time.Duration) *Platform {
	return &Platform{
		values: map[string]protocol.Value{}, staleValues: map[string]protocol.Value{},
		changed: make(chan struct{}), listLag: listLag,
	}
}

// ConfigCalls returns the number of calls that the configuration service has
// received; a watch counts as one call.
func (platform *Platform) ConfigCalls() int64 {
	return platform.configCalls.Load()
}

// SetMode sets the mode of the configuration service.
func (platform *Platform) SetMode(mode Mode) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if mode == Stale && platform.mode != Stale {
		platform.staleValues = map[string]protocol.Value{}
		for key, value := range platform.values {
			platform.staleValues[key] = value
		}
	}
	platform.mode = mode
	platform.notifyWatchers()
}

// Publish sets the value of a key and increments the version of the value.
func (platform *Platform) Publish(key string, body []byte) error {
	if len(body) > protocol.MaxValueBytes {
		return fmt.Errorf("value %s: %d bytes, at most %d", key, len(body), protocol.MaxValueBytes)
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.values[key] = protocol.Value{Version: platform.values[key].Version + 1, Body: body}
	platform.notifyWatchers()
	return nil
}

// SetVMs publishes a new version of the VM list, which readers see after the
// list lag.
func (platform *Platform) SetVMs(vms []members.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.list = members.List{Version: platform.list.Version + 1, VMs: vms}
	platform.history = append(platform.history, listVersion{publishedAt: time.Now(), list: platform.list})
}

// notifyWatchers wakes all pending watches. The caller holds the mutex.
func (platform *Platform) notifyWatchers() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// ServeHTTP serves reads of values and of the VM list.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method != http.MethodGet:
		http.Error(writer, "only reads", http.StatusMethodNotAllowed)
	case request.URL.Path == protocol.VMsPath:
		platform.serveVMList(writer, request)
	case strings.HasPrefix(request.URL.Path, protocol.ValuesPath):
		platform.configCalls.Add(1)
		platform.serveValue(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

// SetListDown makes reads of the VM list fail while down is true.
func (platform *Platform) SetListDown(down bool) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.listDown = down
}

func (platform *Platform) serveVMList(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	down := platform.listDown
	platform.mutex.Unlock()
	if down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	list := platform.visibleVMList()
	tag := strconv.Quote(strconv.FormatUint(list.Version, 10))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}

// visibleVMList returns the latest version that is at least as old as the list
// lag, or the first version while none is.
func (platform *Platform) visibleVMList() members.List {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	newest := time.Now().Add(-platform.listLag)
	var found members.List
	for _, version := range platform.history {
		if !version.publishedAt.After(newest) || found.Version == 0 {
			found = version.list
		}
	}
	return found
}

// serveValue serves a read of a value, or a watch when the query has WaitMillis: a
// watch waits until the version exceeds After.
func (platform *Platform) serveValue(writer http.ResponseWriter, request *http.Request) {
	key := strings.TrimPrefix(request.URL.Path, protocol.ValuesPath)
	after, _ := strconv.ParseUint(request.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(request.URL.Query().Get("WaitMillis"), 10, 64)
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		value, found, up, changed := platform.lookUp(key)
		switch {
		case !up:
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		case found && value.Version > after:
			writer.Header().Set(protocol.VersionHeader, strconv.FormatUint(value.Version, 10))
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

// lookUp returns the value of a key as the mode shows it, whether the service is
// up, and a channel that is closed at the next change.
func (platform *Platform) lookUp(key string) (value protocol.Value, found, up bool, changed <-chan struct{}) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.mode == Stale {
		value, found = platform.staleValues[key]
	} else {
		value, found = platform.values[key]
	}
	return value, found, platform.mode != Down, platform.changed
}
