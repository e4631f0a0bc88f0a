package software

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// History holds the software versions that each service has had within Lifetime. A server that states none
// counts as one of an unnamed version.
type History struct {
	Interruptions int                                // number of calls of Interrupt
	completeAt    clock.Millis                       // from when on it covers Lifetime
	versions      map[string]map[string]clock.Millis // by service and version: when last seen
}

// NewHistory returns the history of a daemon that starts. It does not cover the time before.
func NewHistory(now clock.Millis) *History {
	return &History{completeAt: now + Lifetime, versions: make(map[string]map[string]clock.Millis)}
}

// Complete records that the versions seen are all that there were within Lifetime.
func (history *History) Complete(now clock.Millis) {
	history.completeAt = now
}

// Interrupt records that servers may have come and gone unseen until now.
func (history *History) Interrupt(now clock.Millis) {
	history.Interruptions++
	history.completeAt = now + Lifetime
}

// CompleteIn returns the time until the history covers Lifetime, 0 if it does.
func (history *History) CompleteIn(now clock.Millis) clock.Millis {
	return max(0, history.completeAt-now)
}

// See records that a service has a server of a version.
func (history *History) See(now clock.Millis, service, version string) {
	versions := history.versions[service]
	if versions == nil {
		versions = make(map[string]clock.Millis)
		history.versions[service] = versions
	}
	versions[version] = now
}

// Only returns the version of a service that has had no other one within Lifetime: each stream that is in
// progress there has begun at it.
func (history *History) Only(now clock.Millis, service string) (string, bool) {
	if now < history.completeAt || len(history.versions[service]) != 1 {
		return "", false
	}
	for version := range history.versions[service] {
		return version, true
	}
	return "", false
}

// Mixed reports whether a service has had servers of several versions within Lifetime.
func (history *History) Mixed(service string) bool {
	return len(history.versions[service]) > 1
}

// Several reports whether any service may have had servers of several versions within Lifetime.
func (history *History) Several(now clock.Millis) bool {
	if now < history.completeAt {
		return true
	}
	for service := range history.versions {
		if history.Mixed(service) {
			return true
		}
	}
	return false
}

// Prune drops versions that have not been seen within Lifetime.
func (history *History) Prune(now clock.Millis) {
	for service, versions := range history.versions {
		maps.DeleteFunc(versions, func(_ string, at clock.Millis) bool { return now-at >= Lifetime })
		if len(versions) == 0 {
			delete(history.versions, service)
		}
	}
}
