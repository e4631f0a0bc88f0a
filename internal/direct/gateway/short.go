package gateway

import (
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/topology"
)

// shortLoads returns the average loads by which a short request is placed: one to a plain service
// with a goal that is short against the age of other daemons' load counts. It returns nil for
// other requests, and at a site that is small enough for a mesh, where counts are recent. The mutex must be held.
func (core *core) shortLoads(job *job) *choose.LoadAverage {
	if !core.options.Short || job.engine || core.hasRecentCounts() || !choose.IsShort(job.route.Goal) {
		return nil
	}
	return core.loadAverage
}

// hasRecentCounts reports whether the load counts of other daemons are recent, as they come directly from each of them. They
// do not at a large site of which some daemons are silent for a while: those that report make a mesh, but its links are new,
// and the counts of the others are old. The mutex must be held.
func (core *core) hasRecentCounts() bool {
	return core.members.Plan().Mesh && core.members.DaemonCount() <= topology.MeshLimit
}
