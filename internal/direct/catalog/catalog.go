// Package catalog holds the configuration by which daemons route requests directly to
// backend servers: routes, services and their engines. A Catalog is immutable; a new version
// of the configuration is a new Catalog.
package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Kind says whether a request may be repeated.
type Kind int

// Kinds of requests. The zero value is the most restrictive one.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run more than once
	Streaming              // answered by events; runs at most once unless resumable
)

// String returns the name of the kind as written to the log.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "at most once"
}

// Route says which services requests for a host and path prefix are sent to.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   clock.Millis // maximum time that a caller waits for the answer; 0: no limit
	Goal      clock.Millis // an answer that arrives within this time is on time
	GapGoal   clock.Millis // maximum pause between events of an answer on time
	Rank      int          // urgency; 0 is the most urgent
	Attempts  int          // maximum number of backend servers that one attempt may run on
	Resumable bool         // streams may run more than once
	Open      bool         // callers need no key
	Targets   []Target
}

// Repeatable reports whether requests of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Streaming && route.Resumable
}

// Target is a service that gets a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service returns the service for an attempt, or "" if the weights add up to 0. Every daemon
// returns the same service for the same attempt.
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
	MaxConnections int     // maximum open connections of one server from all callers; 0: no limit
	Engine         *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int     // requests in one batch
	CacheTokens  int     // memory of a server for prompts and running requests, in tokens
	MemoryMB     float64 // for base models and adapters together
	AdapterSlots int
	LoadsPerS    float64 // loads from the weight store per second, over all servers
	Models       []Model
}

// Model is a base model that an engine may hold.
type Model struct {
	Name      string
	MB        float64
	AdapterMB float64
	LoadTime  clock.Millis // from the weight store, while few loads are in flight
}

// Model returns the base model with the given name.
func (engine *Engine) Model(name string) (Model, bool) {
	index := slices.IndexFunc(engine.Models, func(model Model) bool { return model.Name == name })
	if index < 0 {
		return Model{}, false
	}
	return engine.Models[index], true
}

// Limits bound the size of a caller's requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version    int64
	Limits     Limits
	Services   map[string]*Service
	Accounts   *account.Directory  // nil if callers need no key
	routes     map[string][]*Route // by host, longest prefix first
	minGapGoal clock.Millis        // shortest gap goal of all routes; 0: none has one
	competing  map[string]competition
	plainGoals map[string]clock.Millis // by plain service
	keyRanks   []int                   // ranks of the routes that need a key, ascending
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
		if route.GapGoal > 0 && (catalog.minGapGoal == 0 || route.GapGoal < catalog.minGapGoal) {
			catalog.minGapGoal = route.GapGoal
		}
		if !route.Open {
			catalog.keyRanks = append(catalog.keyRanks, route.Rank)
		}
	}
	slices.Sort(catalog.keyRanks)
	catalog.keyRanks = slices.Compact(catalog.keyRanks)
	for _, hostRoutes := range catalog.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	catalog.competing = competitions(catalog.Services, routes)
	catalog.plainGoals = plainGoals(catalog.Services, routes)
	return catalog
}

// MinGapGoal returns the shortest gap goal of all routes, or 0 if none has one.
func (catalog *Catalog) MinGapGoal() clock.Millis {
	return catalog.minGapGoal
}

// RankPosition returns the position of a rank among the ranks of the routes that need a key, of which
// 0 is the most urgent, and their number. A rank between them has the position of the next one.
func (catalog *Catalog) RankPosition(rank int) (position, ranks int) {
	position, _ = slices.BinarySearch(catalog.keyRanks, rank)
	return min(position, max(0, len(catalog.keyRanks)-1)), len(catalog.keyRanks)
}

// Match returns the route of a host with the longest prefix that matches path.
func (catalog *Catalog) Match(host, path string) (*Route, bool) {
	for _, route := range catalog.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}
