// Package config holds the configuration that operators publish: backend
// servers, adapters, callers and the rules that select between them.
//
// A Config is the document as written. A Snapshot is a Config that validated
// whole, compiled for lookups and immutable; readers take one and work on it,
// and a change makes a new one. The package does no I/O.
package config

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Class is the urgency of a request. Lower is more urgent.
type Class uint8

// Urgency classes.
const (
	Urgent Class = iota
	Routine
	// ClassCount is the number of classes, for arrays indexed by class.
	ClassCount
)

// String names the class as in the configuration.
func (class Class) String() string {
	if class == Urgent {
		return "Urgent"
	}
	return "Routine"
}

// Config is one published version of the configuration.
type Config struct {
	// Version rises with every publication; a lower one is never accepted.
	Version      uint64        `yaml:"Version,omitempty"`
	WeightStores []WeightStore `yaml:"WeightStores,omitempty"`
	Engines      []Engine      `yaml:"Engines,omitempty"`
	Services     []Service     `yaml:"Services,omitempty"`
	Callers      []Caller      `yaml:"Callers,omitempty"`
	Adapters     []Adapter     `yaml:"Adapters,omitempty"`
	Rules        []Rule        `yaml:"Rules,omitempty"`
}

// WeightStore is a store that engines load adapters from.
type WeightStore struct {
	Name string `yaml:"Name"`
	// LoadsPerSecond is the rate at which one load at a time completes.
	LoadsPerSecond float64 `yaml:"LoadsPerSecond"`
}

// Engine is one model engine.
type Engine struct {
	Name       ident.EngineID    `yaml:"Name"`
	Address    string            `yaml:"Address"` // IP:port
	DataCentre string            `yaml:"DataCentre"`
	Region     string            `yaml:"Region"`
	BaseModel  string            `yaml:"BaseModel"`
	Store      string            `yaml:"Store"`
	Labels     map[string]string `yaml:"Labels,omitempty"`
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	Slots         int  `yaml:"Slots"`
	// MaxRuns is the number of runs that one engine step shares at most.
	MaxRuns int `yaml:"MaxRuns"`
	// Leaving stops new work at once.
	Leaving bool `yaml:"Leaving,omitempty"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name      string            `yaml:"Name"`
	Addresses []string          `yaml:"Addresses"` // IP:port
	Labels    map[string]string `yaml:"Labels,omitempty"`
}

// Caller is a client organisation's account.
type Caller struct {
	Name string `yaml:"Name"`
	// KeyHash is the SHA-256 of the API key, in hexadecimal.
	KeyHash string            `yaml:"KeyHash"`
	Labels  map[string]string `yaml:"Labels,omitempty"`
	// Region is where the caller's idempotency keys are kept. It may be empty
	// while all engines stand in one region, and never changes for a name.
	Region string `yaml:"Region,omitempty"`
	// RequestsPerSecond limits the caller at each entry; 0 means no limit.
	RequestsPerSecond float64 `yaml:"RequestsPerSecond,omitempty"`
	// Burst is the number of requests above the rate accepted at once.
	Burst int `yaml:"Burst,omitempty"`
}

// Adapter is one version of one adapter.
type Adapter struct {
	Name      string            `yaml:"Name"`
	Version   string            `yaml:"Version"`
	BaseModel string            `yaml:"BaseModel"`
	Labels    map[string]string `yaml:"Labels,omitempty"`
}

// Address returns name and version.
func (adapter Adapter) Address() ident.Adapter {
	return ident.Adapter{Name: adapter.Name, Version: adapter.Version}
}

// Rule selects requests by label selectors and says how to serve them. The
// first matching rule of the document wins; a request that no rule matches is
// refused.
type Rule struct {
	Name string `yaml:"Name"`
	// Callers, Adapters and Services select requests; empty selects all. A rule
	// with Services set matches service calls only, otherwise model calls only.
	Callers  string `yaml:"Callers,omitempty"`
	Adapters string `yaml:"Adapters,omitempty"`
	Services string `yaml:"Services,omitempty"`
	// Engines selects where matching model requests may run.
	Engines string `yaml:"Engines,omitempty"`
	Class   string `yaml:"Class"`
	// DeadlineMillis is the longest that a caller waits for the answer to begin.
	DeadlineMillis clock.Millis `yaml:"DeadlineMillis"`
	// Repeatable says that running the request twice does no harm.
	Repeatable bool `yaml:"Repeatable"`
}
