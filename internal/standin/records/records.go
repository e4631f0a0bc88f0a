// Package records is a stand-in for a plain service beside the engines. Its
// ledger tells what ran and how often.
package records

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// LedgerPath answers with the ledger.
const LedgerPath = "/ledger"

// Entry is one call that ran.
type Entry struct {
	RequestID string
	Path      string
	Body      string
}

// Service runs every call it gets and writes it down.
type Service struct {
	span time.Duration

	mutex  sync.Mutex // guards ledger
	ledger []Entry
}

// New returns a service that takes the given span for each call.
func New(span time.Duration) *Service {
	return &Service{span: span}
}

// Ledger returns the calls that ran so far.
func (service *Service) Ledger() []Entry {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]Entry(nil), service.ledger...)
}

// ServeHTTP runs a call, or shows the ledger.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	if request.URL.Path == LedgerPath {
		_ = json.NewEncoder(writer).Encode(service.Ledger())
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	entry := Entry{RequestID: request.Header.Get("X-Request-Id"), Path: request.URL.Path, Body: string(body)}
	service.mutex.Lock()
	service.ledger = append(service.ledger, entry)
	receipt := len(service.ledger)
	service.mutex.Unlock()
	time.Sleep(service.span)
	_ = json.NewEncoder(writer).Encode(map[string]int{"Receipt": receipt})
}
