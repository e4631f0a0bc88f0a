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

// Problem is one mistake in a configuration, at the path of the field.
type Problem struct {
	Line int    // in the document that was parsed; 0 when not known
	Path string // for example Rules[2].Callers
	Text string
}

// String formats the problem as line, path and text.
func (problem Problem) String() string {
	return document.Mistake{Line: problem.Line, Key: problem.Path, Text: problem.Text}.String()
}

// Problems lists every mistake of a document. It is an error.
type Problems []Problem

// Error joins the problems, a line each.
func (problems Problems) Error() string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// ParseClass reads the name of an urgency class.
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

// validator collects problems while it walks a document.
type validator struct {
	problems Problems
	seen     map[string]bool
}

// Validate returns every mistake in the document; none means it may be published.
func Validate(config Config) Problems {
	check := &validator{seen: map[string]bool{}}
	if config.Version == 0 {
		check.add("Version", "must be above 0")
	}
	stores := map[string]bool{}
	for i, store := range config.WeightStores {
		stores[store.Name] = true
		check.store(fmt.Sprintf("WeightStores[%d]", i), store)
	}
	bases := map[string]bool{}
	for i, engine := range config.Engines {
		bases[engine.BaseModel] = true
		check.engine(fmt.Sprintf("Engines[%d]", i), engine, stores)
	}
	for i, service := range config.Services {
		check.service(fmt.Sprintf("Services[%d]", i), service)
	}
	for i, caller := range config.Callers {
		check.caller(fmt.Sprintf("Callers[%d]", i), caller)
	}
	for i, adapter := range config.Adapters {
		check.adapter(fmt.Sprintf("Adapters[%d]", i), adapter, bases)
	}
	for i, rule := range config.Rules {
		check.rule(fmt.Sprintf("Rules[%d]", i), rule)
		check.shadowed(i, config.Rules)
	}
	check.regions(config)
	return check.problems
}

// regions asks for the region of each caller where engines stand in several: it
// decides which daemons keep the caller's idempotency keys, and daemons keep
// connections to those of their own region. It is asked for under any rules,
// because callers may ask for a stricter treatment than the rules give.
func (check *validator) regions(config Config) {
	regions := map[string]bool{}
	for _, engine := range config.Engines {
		regions[engine.Region] = true
	}
	for i, caller := range config.Callers {
		path := fmt.Sprintf("Callers[%d].Region", i)
		switch {
		case caller.Region != "" && !regions[caller.Region]:
			check.add(path, "no engine stands in region %q", caller.Region)
		case caller.Region == "" && len(regions) > 1:
			check.add(path, "must be set where engines stand in several regions")
		}
	}
}

func (check *validator) add(path, format string, arguments ...any) {
	check.problems = append(check.problems, Problem{Path: path, Text: fmt.Sprintf(format, arguments...)})
}

// unique refuses an empty name and a second use of the same name within one
// kind of object.
func (check *validator) unique(path, kind, name string) {
	if name == "" {
		check.add(path, "must not be empty")
		return
	}
	key := kind + "/" + name
	if check.seen[key] {
		check.add(path, "%s %q is defined twice", kind, name)
	}
	check.seen[key] = true
}

func (check *validator) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		check.add(path, "%q: want an IP number and port", address)
	}
}

func (check *validator) selector(path, text string) {
	if _, err := labels.Parse(text); err != nil {
		check.add(path, "selector %q: %v", text, err)
	}
}

func (check *validator) store(path string, store WeightStore) {
	check.unique(path+".Name", "weight store", store.Name)
	if store.LoadsPerSecond <= 0 {
		check.add(path+".LoadsPerSecond", "must be above 0")
	}
}

func (check *validator) engine(path string, engine Engine, stores map[string]bool) {
	check.unique(path+".Name", "engine", string(engine.Name))
	check.address(path+".Address", engine.Address)
	if engine.DataCentre == "" {
		check.add(path+".DataCentre", "must not be empty")
	}
	if engine.Region == "" {
		check.add(path+".Region", "must not be empty")
	}
	if engine.BaseModel == "" {
		check.add(path+".BaseModel", "must not be empty")
	}
	if !stores[engine.Store] {
		check.add(path+".Store", "weight store %q is not defined", engine.Store)
	}
	if engine.Slots < 1 {
		check.add(path+".Slots", "must be at least 1")
	}
	if engine.MaxRuns < 1 {
		check.add(path+".MaxRuns", "must be at least 1")
	}
}

func (check *validator) service(path string, service Service) {
	check.unique(path+".Name", "service", service.Name)
	if len(service.Addresses) == 0 {
		check.add(path+".Addresses", "must not be empty")
	}
	for i, address := range service.Addresses {
		check.address(fmt.Sprintf("%s.Addresses[%d]", path, i), address)
	}
}

const hashDigits = 64 // hexadecimal digits of a SHA-256

func (check *validator) caller(path string, caller Caller) {
	check.unique(path+".Name", "caller", caller.Name)
	if caller.KeyHash != "" {
		check.unique(path+".KeyHash", "key hash", caller.KeyHash)
	}
	if len(caller.KeyHash) != hashDigits || strings.Trim(caller.KeyHash, "0123456789abcdef") != "" {
		check.add(path+".KeyHash", "want 64 lower-case hexadecimal digits of a SHA-256")
	}
	if caller.RequestsPerSecond < 0 {
		check.add(path+".RequestsPerSecond", "must not be negative")
	}
	if caller.Burst < 0 {
		check.add(path+".Burst", "must not be negative")
	}
}

func (check *validator) adapter(path string, adapter Adapter, bases map[string]bool) {
	if _, err := ident.ParseAdapter(adapter.Address().String()); err != nil {
		check.add(path, "%v", err)
	}
	check.unique(path+".Name", "adapter", adapter.Address().String())
	if !bases[adapter.BaseModel] {
		check.add(path+".BaseModel", "no engine has base model %q", adapter.BaseModel)
	}
}

func (check *validator) rule(path string, rule Rule) {
	check.unique(path+".Name", "rule", rule.Name)
	check.selector(path+".Callers", rule.Callers)
	check.selector(path+".Adapters", rule.Adapters)
	check.selector(path+".Services", rule.Services)
	check.selector(path+".Engines", rule.Engines)
	if rule.Services != "" && (rule.Adapters != "" || rule.Engines != "") {
		check.add(path+".Services", "a rule for services has no Adapters or Engines")
	}
	if _, err := ParseClass(rule.Class); err != nil {
		check.add(path+".Class", "%v", err)
	}
	if rule.DeadlineMillis <= 0 {
		check.add(path+".DeadlineMillis", "must be above 0")
	}
}

// shadowed refuses a rule that never decides, because an earlier one selects the
// same requests.
func (check *validator) shadowed(i int, rules []Rule) {
	rule := rules[i]
	for earlier, other := range rules[:i] {
		if other.Callers == rule.Callers && other.Adapters == rule.Adapters && other.Services == rule.Services {
			check.add(fmt.Sprintf("Rules[%d]", i), "never decides: Rules[%d] (%s) selects the same requests", earlier, other.Name)
			return
		}
	}
}
