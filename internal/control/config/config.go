// Package config defines the configuration that operators publish: weight
// stores, engines, services, callers, adapters and the rules that say how
// requests are served.
//
// A Config is the document as written. A Snapshot is a fully validated Config,
// compiled for lookups. Snapshots are immutable: a new configuration version
// gives a new snapshot. The package does no I/O.
package config

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Class is the urgency of a request. A lower value is more urgent.
type Class uint8

// Urgency classes.
const (
	Urgent Class = iota
	Routine
	// ClassCount is the number of classes, for arrays indexed by class.
	ClassCount
)

// String returns the name of the class as written in the configuration.
func (class Class) String() string {
	if class == Urgent {
		return "Urgent"
	}
	return "Routine"
}

// Config is one published version of the configuration.
type Config struct {
	// Version increases with every publication. A daemon never accepts a lower
	// version than the one in force.
	Version      uint64        `yaml:"Version,omitempty"`
	WeightStores []WeightStore `yaml:"WeightStores,omitempty"`
	Engines      []Engine      `yaml:"Engines,omitempty"`
	Services     []Service     `yaml:"Services,omitempty"`
	Callers      []Caller      `yaml:"Callers,omitempty"`
	Adapters     []Adapter     `yaml:"Adapters,omitempty"`
	Rules        []Rule        `yaml:"Rules,omitempty"`
}

// WeightStore is a store that engines load adapter weights from.
type WeightStore struct {
	Name string `yaml:"Name"`
	// LoadsPerSecond is the number of loads that the store completes per second
	// when it serves one load at a time.
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
	// ChecksFencing is set if the engine refuses orders with an old fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Slots is the number of adapters that the engine can hold.
	Slots int `yaml:"Slots"`
	// MaxRuns is the maximum number of runs that share one engine step.
	MaxRuns int `yaml:"MaxRuns"`
	// Leaving is set to send no new work to the engine.
	Leaving bool `yaml:"Leaving,omitempty"`
}

// Service is a service that is not a model engine; calls are forwarded to it
// without an adapter.
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
	// Region is the region whose daemons keep the caller's idempotency keys. It
	// may be empty if all engines are in one region. It must not change for a
	// caller name; see CheckSuccessor.
	Region string `yaml:"Region,omitempty"`
	// RequestsPerSecond limits the caller at each entry VM; 0 means no limit.
	RequestsPerSecond float64 `yaml:"RequestsPerSecond,omitempty"`
	// Burst is the number of requests above the rate that are accepted at once.
	Burst int `yaml:"Burst,omitempty"`
}

// Adapter is one version of one adapter.
type Adapter struct {
	Name      string            `yaml:"Name"`
	Version   string            `yaml:"Version"`
	BaseModel string            `yaml:"BaseModel"`
	Labels    map[string]string `yaml:"Labels,omitempty"`
}

// Address returns the adapter's name and version.
func (adapter Adapter) Address() ident.Adapter {
	return ident.Adapter{Name: adapter.Name, Version: adapter.Version}
}

// Rule selects requests by label selectors and says how to serve them. The
// first rule of the document that matches a request applies. A request that
// matches no rule is refused.
type Rule struct {
	Name string `yaml:"Name"`
	// Callers, Adapters and Services select requests; an empty selector matches
	// all. A rule with Services set matches only service calls, a rule without
	// it only model requests.
	Callers  string `yaml:"Callers,omitempty"`
	Adapters string `yaml:"Adapters,omitempty"`
	Services string `yaml:"Services,omitempty"`
	// Engines selects the engines that may run matching model requests.
	Engines string `yaml:"Engines,omitempty"`
	Class   string `yaml:"Class"`
	// DeadlineMillis is the maximum time from a request to the start of its answer.
	DeadlineMillis clock.Millis `yaml:"DeadlineMillis"`
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool `yaml:"Repeatable"`
}
