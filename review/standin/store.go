package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, by PROTOCOL.md and the sheet of the site.
const (
	historySpan  = 20 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
	valueBytes   = 1 << 20
	maxWatchWait = 30 * time.Second
)

// storeItem is an item or an event of the store. Value is base64 in JSON.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64
	Deleted   bool `json:",omitempty"`

	at time.Time
}

// store is a stand-in of the platform's store. Only the operator and the runners write to it, by calls of put
// and remove; their return is the acknowledgement.
type store struct {
	record   *record
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	dropped  int64 // history up to this revision is no longer available
	changed  chan struct{}
}

func startStore(record *record, ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	store := &store{record: record, listener: listener, revision: 100, dropped: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", store.serveKey)
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	store.server = &http.Server{Handler: mux}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

func (store *store) address() string { return store.listener.Addr().String() }

func (store *store) close() { _ = store.server.Close() }

// put writes an item and returns its revision and size.
func (store *store) put(key string, value any) (revision int64, size int) {
	encoded, err := json.Marshal(value)
	if err != nil || len(encoded) > valueBytes {
		panic(fmt.Sprintf("the store does not take the %d bytes of %s: %v", len(encoded), key, err))
	}
	return store.change(storeItem{Key: key, Value: encoded}), len(encoded)
}

// remove removes an item and returns the revision of the removal.
func (store *store) remove(key string) int64 {
	return store.change(storeItem{Key: key, Deleted: true})
}

func (store *store) change(item storeItem) int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	before, known := store.items[item.Key]
	if item.Deleted && !known {
		return store.revision
	}
	store.revision++
	item.Revision, item.CreateRev, item.at = store.revision, before.CreateRev, time.Now()
	if !known {
		item.CreateRev = item.Revision
	}
	if item.Deleted {
		delete(store.items, item.Key)
	} else {
		store.items[item.Key] = item
	}
	store.history = append(store.history, item)
	for len(store.history) > 0 && time.Since(store.history[0].at) > historySpan {
		store.dropped = store.history[0].Revision
		store.history = store.history[1:]
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return item.Revision
}

func (store *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	item, ok := store.items[request.URL.Query().Get("Key")]
	store.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, item)
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix, after := query.Get("Prefix"), query.Get("after")
	store.mutex.Lock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, bytes, more := []storeItem{}, 0, false
	for _, key := range keys {
		item := store.items[key]
		if len(page) > 0 && (len(page) >= pageItems || bytes+len(item.Value) > pageBytes) {
			more = true
			break
		}
		page, bytes = append(page, item), bytes+len(item.Value)
	}
	asOf := store.revision
	store.mutex.Unlock()
	writeJSON(writer, http.StatusOK, map[string]any{"items": page, "MorePages": more, "AsOf": asOf})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("Prefix")
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for ended := false; ; {
		store.mutex.Lock()
		gone, asOf, changed := after < store.dropped, store.revision, store.changed
		events := []storeItem{}
		for _, item := range store.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		store.mutex.Unlock()
		switch {
		case gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
