package compare

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
)

// ruleMatcher finds which rules of a configuration match a caller or a target.
// Callers and targets that the same rules match are handled the same way.
type ruleMatcher struct {
	callers  []labels.Selector // by index of the rule, as the others
	adapters []labels.Selector
	services []labels.Selector
}

func newRuleMatcher(snapshot *config.Snapshot) *ruleMatcher {
	ruleMatcher := &ruleMatcher{}
	for _, rule := range snapshot.Config.Rules {
		ruleMatcher.callers = append(ruleMatcher.callers, mustParseSelector(rule.Callers))
		ruleMatcher.adapters = append(ruleMatcher.adapters, mustParseSelector(rule.Adapters))
		ruleMatcher.services = append(ruleMatcher.services, mustParseSelector(rule.Services))
	}
	return ruleMatcher
}

func mustParseSelector(text string) labels.Selector {
	parsed, err := labels.Parse(text)
	invariant.Check(err == nil, "a snapshot's selectors are valid", "%q: %v", text, err)
	return parsed
}

// callerKey returns a key that is equal for callers that are handled the same way.
func (ruleMatcher *ruleMatcher) callerKey(caller *config.Caller) string {
	if caller == nil {
		return "absent"
	}
	return matchBits(ruleMatcher.callers, caller.Labels)
}

// targetKey returns a key that is equal for targets that are handled the same way.
func (ruleMatcher *ruleMatcher) targetKey(target target) string {
	switch {
	case target.adapter != nil:
		return "adapter " + target.adapter.BaseModel + " " + matchBits(ruleMatcher.adapters, target.adapter.Labels)
	case target.service != nil:
		return "service " + strings.Join(target.service.Addresses, ",") + " " + matchBits(ruleMatcher.services, target.service.Labels)
	}
	return "absent"
}

// matchBits returns a string with a 1 for each selector that matches the labels,
// and a 0 for each other.
func matchBits(selectors []labels.Selector, labelSet map[string]string) string {
	bits := make([]byte, 0, len(selectors))
	for _, selector := range selectors {
		bit := byte('0')
		if selector.Matches(labels.Set(labelSet)) {
			bit = '1'
		}
		bits = append(bits, bit)
	}
	return string(bits)
}
