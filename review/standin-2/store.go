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

// item is an item of the store.
type item struct {
	Key       string
	Value     []byte // base64 in JSON
	Revision  int64
	CreateRev int64
	Lease     int64
}

// store is the platform's metadata store.
type store struct {
	listener net.Listener

	mutex    sync.Mutex // guards the fields below
	revision int64
	items    map[string]item
	changed  chan struct{} // closed and replaced at each change
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
	store.revision++
	created := store.revision
	if known, ok := store.items[key]; ok {
		created = known.CreateRev
	}
	store.items[key] = item{Key: key, Value: encoded, Revision: store.revision, CreateRev: created}
	close(store.changed)
	store.changed = make(chan struct{})
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
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(writer, map[string]any{"items": items, "MorePages": false, "AsOf": revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
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
		case <-request.Context().Done():
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
