package compare

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
)

// selection tells which rules of a configuration select a caller or a target.
// Whatever the same rules select is treated alike.
type selection struct {
	callers  []labels.Selector // by rule
	adapters []labels.Selector
	services []labels.Selector
}

func newSelection(snapshot *config.Snapshot) *selection {
	selection := &selection{}
	for _, rule := range snapshot.Config.Rules {
		selection.callers = append(selection.callers, selector(rule.Callers))
		selection.adapters = append(selection.adapters, selector(rule.Adapters))
		selection.services = append(selection.services, selector(rule.Services))
	}
	return selection
}

func selector(text string) labels.Selector {
	parsed, err := labels.Parse(text)
	invariant.Check(err == nil, "a snapshot's selectors are valid", "%q: %v", text, err)
	return parsed
}

// caller returns a key that is equal for callers treated alike.
func (selection *selection) caller(caller *config.Caller) string {
	if caller == nil {
		return "absent"
	}
	return matches(selection.callers, caller.Labels)
}

// target returns a key that is equal for targets treated alike.
func (selection *selection) target(target target) string {
	switch {
	case target.adapter != nil:
		return "adapter " + target.adapter.BaseModel + " " + matches(selection.adapters, target.adapter.Labels)
	case target.service != nil:
		return "service " + strings.Join(target.service.Addresses, ",") + " " + matches(selection.services, target.service.Labels)
	}
	return "absent"
}

func matches(selectors []labels.Selector, of map[string]string) string {
	bits := make([]byte, 0, len(selectors))
	for _, selector := range selectors {
		bit := byte('0')
		if selector.Matches(labels.Set(of)) {
			bit = '1'
		}
		bits = append(bits, bit)
	}
	return string(bits)
}
