package choose

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
)

// HealthyServers returns the servers of a service that short requests are sent to: without those
// that cannot be reached, or fail much more often than others, while others remain.
func HealthyServers(now clock.Millis, service string, servers *fleet.Fleet) []*fleet.Member {
	usable := servers.Usable(service)
	candidates := make([]shortCandidate, 0, len(usable))
	for _, member := range usable {
		candidates = append(candidates, shortCandidate{member: member, failing: servers.FailureRate(now, member), suspect: member.Suspect(now)})
	}
	healthy := make([]*fleet.Member, 0, len(candidates))
	for _, candidate := range healthiest(candidates) {
		healthy = append(healthy, candidate.member)
	}
	return healthy
}
