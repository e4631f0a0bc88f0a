package gateway

import "teaselmoor/internal/direct/choose"

// shortLoads returns the average loads by which a short request is placed: one to a plain service
// with a goal that is short against the age of other daemons' load counts. It returns nil for
// other requests, and in a mesh, where counts are recent. The mutex must be held.
func (core *core) shortLoads(job *job) *choose.LoadAverage {
	if !core.options.Short || job.engine || core.members.Plan().Mesh || !choose.IsShort(job.route.Goal) {
		return nil
	}
	return core.loadAverage
}
