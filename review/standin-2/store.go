package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"` // base64 in JSON
	Revision  int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Deleted   bool  `json:",omitempty"`
}

// store is the platform's metadata store.
type store struct {
	listener net.Listener

	mutex    sync.Mutex // guards the fields below
	revision int64
	items    map[string]item // with those that were removed
	changed  chan struct{}   // closed and replaced at each change
	cutAfter time.Duration   // a watch that has waited for so long is cut; 0: none is
	cuts     int
}

func newStore() (*store, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	store := &store{listener: listener, revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return store, nil
}

func (store *store) address() string { return store.listener.Addr().String() }

// put writes an item as JSON.
func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	created := store.revision + 1
	if known, ok := store.items[key]; ok && !known.Deleted {
		created = known.CreateRev
	}
	store.write(item{Key: key, Value: encoded, CreateRev: created})
}

// remove removes an item.
func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(item{Key: key, Deleted: true})
}

// write writes an item under the next revision. The mutex must be held.
func (store *store) write(item item) {
	store.revision++
	item.Revision = store.revision
	store.items[item.Key] = item
	close(store.changed)
	store.changed = make(chan struct{})
}

// cutWatches has watches be cut that have waited for some time.
func (store *store) cutWatches(after time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.cutAfter = after
}

// since returns the items under a prefix that were written after a revision, and the store's revision.
func (store *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, each := range store.items {
		if strings.HasPrefix(key, prefix) && each.Revision > after {
			items = append(items, each)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return int(a.Revision - b.Revision) })
	return items, store.revision, store.changed
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	items, revision, _ := store.since(request.URL.Query().Get("Prefix"), 0)
	if request.URL.Query().Get("after") != "" {
		items = items[:0] // all fit into one page
	}
	items = slices.DeleteFunc(items, func(item item) bool { return item.Deleted })
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(writer, map[string]any{"items": items, "MorePages": false, "AsOf": revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	cut := store.cut()
	for {
		items, revision, changed := store.since(query.Get("Prefix"), after)
		if len(items) > 0 {
			writeJSON(writer, map[string]any{"events": items, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, map[string]any{"events": items, "AsOf": revision})
			return
		case <-cut:
			store.cutWatch(writer)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// cut returns a channel from which can be received when a watch that begins now is to be cut; nil: it is not.
func (store *store) cut() <-chan time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.cutAfter == 0 {
		return nil
	}
	return time.After(store.cutAfter)
}

// cutWatch ends the connection of a watch without an answer.
func (store *store) cutWatch(writer http.ResponseWriter) {
	store.mutex.Lock()
	store.cuts++
	store.mutex.Unlock()
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
