package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"k8s.io/apimachinery/pkg/labels"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Snapshot is a validated configuration, compiled for lookups. It is immutable.
type Snapshot struct {
	Config Config
	// ParsedParts holds the parsed parts that the document was assembled from, if any.
	ParsedParts      ParsedParts
	rules            []compiledRule
	callersByKeyHash map[string]*Caller
	callersByName    map[string]*Caller
	adapters         map[ident.Adapter]*Adapter
	engines          map[ident.EngineID]*Engine
	services         map[string]*Service
	stores           map[string]*WeightStore
	// pools holds the engines that a rule permits, in order of name, by the index
	// of the rule and the engines' base model.
	pools map[poolKey][]*Engine
}

type poolKey struct {
	rule      int
	baseModel string
}

type compiledRule struct {
	Rule
	index    int
	class    Class
	callers  labels.Selector
	adapters labels.Selector
	services labels.Selector
	engines  labels.Selector
}

// Decision says how to serve a request, by the first rule that matches it.
type Decision struct {
	Rule       string
	Class      Class
	Deadline   clock.Millis // maximum time to the start of the answer
	Repeatable bool
	// Pool lists the engines that the rule permits and that have the adapter's base
	// model, in order of name. It includes engines that are leaving. It is empty
	// for service calls.
	Pool []*Engine
}

// Compile validates the document and builds its snapshot. If the document is
// invalid, the error is a Problems that lists every mistake.
func Compile(config Config) (*Snapshot, error) {
	if problems := Validate(config); len(problems) > 0 {
		return nil, problems
	}
	snapshot := &Snapshot{
		Config:           config,
		callersByKeyHash: make(map[string]*Caller, len(config.Callers)),
		callersByName:    make(map[string]*Caller, len(config.Callers)),
		adapters:         make(map[ident.Adapter]*Adapter, len(config.Adapters)),
		engines:          make(map[ident.EngineID]*Engine, len(config.Engines)),
		services:         make(map[string]*Service, len(config.Services)),
		stores:           make(map[string]*WeightStore, len(config.WeightStores)),
		pools:            map[poolKey][]*Engine{},
	}
	snapshot.index()
	snapshot.compileRules()
	return snapshot, nil
}

func (snapshot *Snapshot) index() {
	config := &snapshot.Config
	for i := range config.Callers {
		snapshot.callersByKeyHash[config.Callers[i].KeyHash] = &config.Callers[i]
		snapshot.callersByName[config.Callers[i].Name] = &config.Callers[i]
	}
	for i := range config.Adapters {
		snapshot.adapters[config.Adapters[i].Address()] = &config.Adapters[i]
	}
	for i := range config.Engines {
		snapshot.engines[config.Engines[i].Name] = &config.Engines[i]
	}
	for i := range config.Services {
		snapshot.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.WeightStores {
		snapshot.stores[config.WeightStores[i].Name] = &config.WeightStores[i]
	}
}

func (snapshot *Snapshot) compileRules() {
	for i, rule := range snapshot.Config.Rules {
		compiled := compiledRule{
			Rule:     rule,
			index:    i,
			callers:  mustSelector(rule.Callers),
			adapters: mustSelector(rule.Adapters),
			services: mustSelector(rule.Services),
			engines:  mustSelector(rule.Engines),
		}
		compiled.class, _ = ParseClass(rule.Class)
		snapshot.rules = append(snapshot.rules, compiled)
		snapshot.compilePools(compiled)
	}
}

func (snapshot *Snapshot) compilePools(rule compiledRule) {
	for i := range snapshot.Config.Engines {
		engine := &snapshot.Config.Engines[i]
		if !rule.engines.Matches(labels.Set(engine.Labels)) {
			continue
		}
		key := poolKey{rule: rule.index, baseModel: engine.BaseModel}
		snapshot.pools[key] = append(snapshot.pools[key], engine)
	}
	for key, pool := range snapshot.pools {
		if key.rule == rule.index {
			sort.Slice(pool, func(i, j int) bool { return pool[i].Name < pool[j].Name })
		}
	}
}

// HashKey returns the hash of an API key, as held in Caller.KeyHash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Version returns the configuration version.
func (snapshot *Snapshot) Version() uint64 {
	return snapshot.Config.Version
}

// CallerByKey returns the caller that an API key belongs to.
func (snapshot *Snapshot) CallerByKey(key string) (*Caller, bool) {
	caller, ok := snapshot.callersByKeyHash[HashKey(key)]
	return caller, ok
}

// Caller returns a caller by name.
func (snapshot *Snapshot) Caller(name string) (*Caller, bool) {
	caller, ok := snapshot.callersByName[name]
	return caller, ok
}

// Adapter returns an adapter version.
func (snapshot *Snapshot) Adapter(address ident.Adapter) (*Adapter, bool) {
	adapter, ok := snapshot.adapters[address]
	return adapter, ok
}

// Engine returns an engine by name.
func (snapshot *Snapshot) Engine(name ident.EngineID) (*Engine, bool) {
	engine, ok := snapshot.engines[name]
	return engine, ok
}

// Service returns a service by name.
func (snapshot *Snapshot) Service(name string) (*Service, bool) {
	service, ok := snapshot.services[name]
	return service, ok
}

// Store returns a weight store by name.
func (snapshot *Snapshot) Store(name string) (*WeightStore, bool) {
	store, ok := snapshot.stores[name]
	return store, ok
}

// DecideModel returns the decision of the first rule that matches a model
// request. It reports false if no rule matches.
func (snapshot *Snapshot) DecideModel(caller *Caller, adapter *Adapter) (Decision, bool) {
	for i := range snapshot.rules {
		rule := &snapshot.rules[i]
		if rule.Services != "" || !rule.callers.Matches(labels.Set(caller.Labels)) ||
			!rule.adapters.Matches(labels.Set(adapter.Labels)) {
			continue
		}
		decision := rule.decision()
		decision.Pool = snapshot.pools[poolKey{rule: rule.index, baseModel: adapter.BaseModel}]
		return decision, true
	}
	return Decision{}, false
}

// DecideService returns the decision of the first rule that matches a service
// call. It reports false if no rule matches.
func (snapshot *Snapshot) DecideService(caller *Caller, service *Service) (Decision, bool) {
	for i := range snapshot.rules {
		rule := &snapshot.rules[i]
		if rule.Services == "" || !rule.callers.Matches(labels.Set(caller.Labels)) ||
			!rule.services.Matches(labels.Set(service.Labels)) {
			continue
		}
		return rule.decision(), true
	}
	return Decision{}, false
}

func (rule *compiledRule) decision() Decision {
	return Decision{
		Rule:       rule.Name,
		Class:      rule.class,
		Deadline:   rule.DeadlineMillis,
		Repeatable: rule.Repeatable,
	}
}
