// Package catalog is the configuration that requests are routed by when daemons
// send them straight to backend servers: routes, services and their engines. A
// Catalog is immutable; a new version is a new value.
package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Kind says what may be repeated of a request.
type Kind int

// Kinds of request. The zero value is the one that allows least.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run more than once
	Streaming              // answered by events; at most once unless resumable
)

// String returns the name of the kind as the log has it.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "at most once"
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   clock.Millis // longest time that a caller is kept waiting; 0 means no limit
	Goal      clock.Millis // an answer within it is on time
	GapGoal   clock.Millis // longest pause between events of an answer on time
	Rank      int          // 0 is the most urgent
	Attempts  int          // most backend servers that one attempt may run on
	Resumable bool
	Open      bool // callers need no key
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Streaming && route.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service returns the service for an attempt. Every daemon gives the same
// answer for one attempt.
func (route *Route) Service(attempt string) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(attempt) % uint64(total))
	for _, target := range route.Targets {
		point -= target.Weight
		if point < 0 {
			return target.Service
		}
	}
	return ""
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name           string
	MaxConnections int     // open connections that one server takes from all callers; 0 means no limit
	Engine         *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int     // requests in one batch
	CacheTokens  int     // memory of a server for prompts and running requests
	MemoryMB     float64 // for weights and adapters together
	AdapterSlots int
	LoadsPerS    float64 // loads from the weight store, over all servers
	Models       []Model
}

// Model is a base model that an engine may hold.
type Model struct {
	Name      string
	MB        float64
	AdapterMB float64
	LoadTime  clock.Millis // from the weight store, when few loads are on their way
}

// Model returns the model with a name.
func (engine *Engine) Model(name string) (Model, bool) {
	at := slices.IndexFunc(engine.Models, func(model Model) bool { return model.Name == name })
	if at < 0 {
		return Model{}, false
	}
	return engine.Models[at], true
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	Accounts *account.Directory  // nil where callers need no key
	routes   map[string][]*Route // by host, longest prefix first
	gapGoal  clock.Millis
}

// New returns a catalog. Accounts may be nil.
func New(version int64, limits Limits, services []*Service, routes []*Route, accounts *account.Directory) *Catalog {
	catalog := &Catalog{
		Version: version, Limits: limits, Accounts: accounts,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route),
	}
	for _, service := range services {
		catalog.Services[service.Name] = service
	}
	for _, route := range routes {
		catalog.routes[route.Host] = append(catalog.routes[route.Host], route)
		if route.GapGoal > 0 && (catalog.gapGoal == 0 || route.GapGoal < catalog.gapGoal) {
			catalog.gapGoal = route.GapGoal
		}
	}
	for _, ofHost := range catalog.routes {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return catalog
}

// MinGapGoal returns the shortest gap goal of a route, 0 where none has one.
func (catalog *Catalog) MinGapGoal() clock.Millis {
	return catalog.gapGoal
}

// Match returns the route of a host with the longest prefix that begins path.
func (catalog *Catalog) Match(host, path string) (*Route, bool) {
	for _, route := range catalog.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}
