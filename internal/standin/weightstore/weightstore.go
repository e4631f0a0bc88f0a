// Package weightstore is a stand-in for the weight store from which engines load
// adapters. It serves one load at a time, at full speed, for all engines together.
package weightstore

import (
	"net/http"
	"sync/atomic"
	"time"
)

// LoadPath is the path at which engines fetch the weights of an adapter.
const LoadPath = "/load"

// Store serves loads one at a time.
type Store struct {
	loadDuration time.Duration
	slot         chan struct{} // holds an item while a load is served
	loads        atomic.Int64
}

// New returns a store in which each load takes loadDuration.
func New(loadDuration time.Duration) *Store {
	return &Store{loadDuration: loadDuration, slot: make(chan struct{}, 1)}
}

// Loads returns the number of completed loads.
func (store *Store) Loads() int64 {
	return store.loads.Load()
}

// ServeHTTP serves a load once the loads before it have ended.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != LoadPath {
		http.NotFound(writer, request)
		return
	}
	select {
	case store.slot <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-store.slot }()
	select {
	case <-time.After(store.loadDuration):
		store.loads.Add(1)
	case <-request.Context().Done():
	}
}
