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
	unconfirmed   map[string]unconfirmedServer       // by server id
	confirmed     map[string]bool                    // servers that were confirmed before the history was complete
}

// unconfirmedServer is a server whose last process may not be the one that its entry states.
type unconfirmedServer struct {
	service string
	until   clock.Millis // when the streams have ended that an unknown process may have begun
}

// NewHistory returns the history of a daemon that starts. It does not cover the time before.
func NewHistory(now clock.Millis) *History {
	return &History{completeAt: now + Lifetime, versions: make(map[string]map[string]clock.Millis), unconfirmed: make(map[string]unconfirmedServer), confirmed: make(map[string]bool)}
}

// Complete records that the versions seen are all that there were within Lifetime.
func (history *History) Complete(now clock.Millis) {
	history.completeAt = now
	clear(history.confirmed)
}

// Interrupt records that servers may have come and gone unseen until now.
func (history *History) Interrupt(now clock.Millis) {
	history.Interruptions++
	history.completeAt = now + Lifetime
}

// AddUnconfirmed records that a server may have started again before now, with a version that no entry has stated, unless it has been
// confirmed.
func (history *History) AddUnconfirmed(now clock.Millis, server, service string) {
	if history.confirmed[server] {
		return
	}
	history.unconfirmed[server] = unconfirmedServer{service: service, until: now + Lifetime}
}

// Confirm records that the last process of a server is known.
func (history *History) Confirm(now clock.Millis, server string) {
	delete(history.unconfirmed, server)
	if now < history.completeAt {
		history.confirmed[server] = true
	}
}

// Unconfirmed returns the servers of a service that may have had another version than those seen, if the history shows one otherwise.
func (history *History) Unconfirmed(now clock.Millis, service string) []string {
	if now < history.completeAt || len(history.versions[service]) != 1 {
		return nil
	}
	var servers []string
	for server, unconfirmed := range history.unconfirmed {
		if unconfirmed.service == service && now < unconfirmed.until {
			servers = append(servers, server)
		}
	}
	return servers
}

// CompleteIn returns the time until the history of a service covers Lifetime, 0 if it does.
func (history *History) CompleteIn(now clock.Millis, service string) clock.Millis {
	completeAt := history.completeAt
	for _, server := range history.Unconfirmed(now, service) {
		completeAt = max(completeAt, history.unconfirmed[server].until)
	}
	return max(0, completeAt-now)
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
	if now < history.completeAt || len(history.versions[service]) != 1 || len(history.Unconfirmed(now, service)) > 0 {
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
		if history.Mixed(service) || len(history.Unconfirmed(now, service)) > 0 {
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
	maps.DeleteFunc(history.unconfirmed, func(_ string, server unconfirmedServer) bool { return now >= server.until })
}
