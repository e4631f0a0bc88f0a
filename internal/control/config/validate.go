package config

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"teaselmoor/internal/base/document"
	"teaselmoor/internal/base/ident"
)

// Problem is one mistake in a configuration.
type Problem struct {
	Line int    // in the parsed document; 0 if unknown
	Path string // of the field, for example Rules[2].Callers
	Text string
}

// String returns the line, path and text of the problem.
func (problem Problem) String() string {
	return document.Mistake{Line: problem.Line, Key: problem.Path, Text: problem.Text}.String()
}

// Problems is the error that lists every mistake in a document.
type Problems []Problem

// Error returns the problems, one on each line.
func (problems Problems) Error() string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// ParseClass parses the name of an urgency class.
func ParseClass(text string) (Class, error) {
	switch text {
	case Urgent.String():
		return Urgent, nil
	case Routine.String():
		return Routine, nil
	}
	return Routine, errors.Errorf("class %q: want Urgent or Routine", text)
}

func mustSelector(text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		panic(fmt.Sprintf("selector %q was validated before: %v", text, err))
	}
	return selector
}

// validator collects the problems of a document.
type validator struct {
	problems Problems
	seen     map[string]bool // keys of the names used so far; see unique
}

// Validate returns every mistake in the document itself. See CheckSuccessor for
// those in the change from the configuration in force.
func Validate(config Config) Problems {
	validator := &validator{seen: map[string]bool{}}
	if config.Version == 0 {
		validator.add("Version", "must be above 0")
	}
	stores := map[string]bool{}
	for i, store := range config.WeightStores {
		stores[store.Name] = true
		validator.store(fmt.Sprintf("WeightStores[%d]", i), store)
	}
	baseModels := map[string]bool{}
	for i, engine := range config.Engines {
		baseModels[engine.BaseModel] = true
		validator.engine(fmt.Sprintf("Engines[%d]", i), engine, stores)
	}
	for i, service := range config.Services {
		validator.service(fmt.Sprintf("Services[%d]", i), service)
	}
	for i, caller := range config.Callers {
		validator.caller(fmt.Sprintf("Callers[%d]", i), caller)
	}
	for i, adapter := range config.Adapters {
		validator.adapter(fmt.Sprintf("Adapters[%d]", i), adapter, baseModels)
	}
	for i, rule := range config.Rules {
		validator.rule(fmt.Sprintf("Rules[%d]", i), rule)
		validator.shadowedRule(i, config.Rules)
	}
	validator.regions(config)
	return validator.problems
}

// regions requires a region for each caller if engines are in several regions.
// The region decides which daemons keep the caller's idempotency keys, and
// daemons keep connections to the daemons of their own region. It is required
// whatever the rules say, because a caller may ask for stricter handling than the
// rules give.
func (validator *validator) regions(config Config) {
	regions := map[string]bool{}
	for _, engine := range config.Engines {
		regions[engine.Region] = true
	}
	for i, caller := range config.Callers {
		path := fmt.Sprintf("Callers[%d].Region", i)
		switch {
		case caller.Region != "" && !regions[caller.Region]:
			validator.add(path, "no engine stands in region %q", caller.Region)
		case caller.Region == "" && len(regions) > 1:
			validator.add(path, "must be set where engines stand in several regions")
		}
	}
}

func (validator *validator) add(path, format string, arguments ...any) {
	validator.problems = append(validator.problems, Problem{Path: path, Text: fmt.Sprintf(format, arguments...)})
}

// unique adds a problem if a name is empty or was used before for the same kind
// of object.
func (validator *validator) unique(path, kind, name string) {
	if name == "" {
		validator.add(path, "must not be empty")
		return
	}
	key := kind + "/" + name
	if validator.seen[key] {
		validator.add(path, "%s %q is defined twice", kind, name)
	}
	validator.seen[key] = true
}

func (validator *validator) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		validator.add(path, "%q: want an IP number and port", address)
	}
}

func (validator *validator) selector(path, text string) {
	if _, err := labels.Parse(text); err != nil {
		validator.add(path, "selector %q: %v", text, err)
	}
}

func (validator *validator) store(path string, store WeightStore) {
	validator.unique(path+".Name", "weight store", store.Name)
	if store.LoadsPerSecond <= 0 {
		validator.add(path+".LoadsPerSecond", "must be above 0")
	}
}

func (validator *validator) engine(path string, engine Engine, stores map[string]bool) {
	validator.unique(path+".Name", "engine", string(engine.Name))
	validator.address(path+".Address", engine.Address)
	if engine.DataCentre == "" {
		validator.add(path+".DataCentre", "must not be empty")
	}
	if engine.Region == "" {
		validator.add(path+".Region", "must not be empty")
	}
	if engine.BaseModel == "" {
		validator.add(path+".BaseModel", "must not be empty")
	}
	if !stores[engine.Store] {
		validator.add(path+".Store", "weight store %q is not defined", engine.Store)
	}
	if engine.Slots < 1 {
		validator.add(path+".Slots", "must be at least 1")
	}
	if engine.MaxRuns < 1 {
		validator.add(path+".MaxRuns", "must be at least 1")
	}
}

func (validator *validator) service(path string, service Service) {
	validator.unique(path+".Name", "service", service.Name)
	if len(service.Addresses) == 0 {
		validator.add(path+".Addresses", "must not be empty")
	}
	for i, address := range service.Addresses {
		validator.address(fmt.Sprintf("%s.Addresses[%d]", path, i), address)
	}
}

const hashDigits = 64 // hexadecimal digits of a SHA-256

func (validator *validator) caller(path string, caller Caller) {
	validator.unique(path+".Name", "caller", caller.Name)
	if caller.KeyHash != "" {
		validator.unique(path+".KeyHash", "key hash", caller.KeyHash)
	}
	if len(caller.KeyHash) != hashDigits || strings.Trim(caller.KeyHash, "0123456789abcdef") != "" {
		validator.add(path+".KeyHash", "want 64 lower-case hexadecimal digits of a SHA-256")
	}
	if caller.RequestsPerSecond < 0 {
		validator.add(path+".RequestsPerSecond", "must not be negative")
	}
	if caller.Burst < 0 {
		validator.add(path+".Burst", "must not be negative")
	}
}

func (validator *validator) adapter(path string, adapter Adapter, baseModels map[string]bool) {
	if _, err := ident.ParseAdapter(adapter.Address().String()); err != nil {
		validator.add(path, "%v", err)
	}
	validator.unique(path+".Name", "adapter", adapter.Address().String())
	if !baseModels[adapter.BaseModel] {
		validator.add(path+".BaseModel", "no engine has base model %q", adapter.BaseModel)
	}
}

func (validator *validator) rule(path string, rule Rule) {
	validator.unique(path+".Name", "rule", rule.Name)
	validator.selector(path+".Callers", rule.Callers)
	validator.selector(path+".Adapters", rule.Adapters)
	validator.selector(path+".Services", rule.Services)
	validator.selector(path+".Engines", rule.Engines)
	if rule.Services != "" && (rule.Adapters != "" || rule.Engines != "") {
		validator.add(path+".Services", "a rule for services has no Adapters or Engines")
	}
	if _, err := ParseClass(rule.Class); err != nil {
		validator.add(path+".Class", "%v", err)
	}
	if rule.DeadlineMillis <= 0 {
		validator.add(path+".DeadlineMillis", "must be above 0")
	}
}

// shadowedRule adds a problem if rule i can never apply, because an earlier rule
// selects the same requests.
func (validator *validator) shadowedRule(i int, rules []Rule) {
	rule := rules[i]
	for earlier, other := range rules[:i] {
		if other.Callers == rule.Callers && other.Adapters == rule.Adapters && other.Services == rule.Services {
			validator.add(fmt.Sprintf("Rules[%d]", i), "never decides: Rules[%d] (%s) selects the same requests", earlier, other.Name)
			return
		}
	}
}
