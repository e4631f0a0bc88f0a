// Package weightstore is a stand-in for the store that engines load adapters
// from: one load at a time at full speed, for everybody.
package weightstore

import (
	"net/http"
	"sync/atomic"
	"time"
)

// LoadPath is where engines fetch an adapter's weights.
const LoadPath = "/load"

// Store serves loads one after the other.
type Store struct {
	span  time.Duration
	turn  chan struct{}
	loads atomic.Int64
}

// New returns a store in which one load takes the given span.
func New(span time.Duration) *Store {
	return &Store{span: span, turn: make(chan struct{}, 1)}
}

// Loads returns the number of loads served.
func (store *Store) Loads() int64 {
	return store.loads.Load()
}

// ServeHTTP serves one load.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != LoadPath {
		http.NotFound(writer, request)
		return
	}
	select {
	case store.turn <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-store.turn }()
	select {
	case <-time.After(store.span):
		store.loads.Add(1)
	case <-request.Context().Done():
	}
}
