// Package records is a stand-in for a plain HTTP service, which runs no model. It
// records each call in a ledger, from which tests see what ran and how often.
package records

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// LedgerPath is the path at which the ledger is read.
const LedgerPath = "/ledger"

// Entry is the ledger's record of one call.
type Entry struct {
	RequestID string
	Path      string
	Body      string
}

// Service accepts every call and records it in its ledger.
type Service struct {
	callDuration time.Duration

	mutex  sync.Mutex // guards ledger
	ledger []Entry
}

// New returns a service that answers each call after callDuration.
func New(callDuration time.Duration) *Service {
	return &Service{callDuration: callDuration}
}

// Ledger returns a copy of the ledger, in the order in which calls arrived.
func (service *Service) Ledger() []Entry {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]Entry(nil), service.ledger...)
}

// ServeHTTP records and answers a call, or returns the ledger at LedgerPath.
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
	time.Sleep(service.callDuration)
	_ = json.NewEncoder(writer).Encode(map[string]int{"Receipt": receipt})
}
