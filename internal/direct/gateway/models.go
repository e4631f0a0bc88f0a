package gateway

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
)

// modelStates returns the state of base models on a service's servers. The number of concurrent
// loads never exceeds the loads that the weight store allows to start in one second, whatever
// rate was learned. The mutex must be held.
func (core *core) modelStates(name string, engine *catalog.Engine) loading.Models {
	turns, maxLoads := core.turnsOf(name), max(1, int(engine.LoadsPerS))
	models := loading.Models{FullSpeedLoads: min(turns.FullSpeedLoads(), maxLoads), TrialLoads: min(turns.TrialLoads(), maxLoads), LoadTime: slowestModelLoad(engine)}
	var waiting []*fleet.Member
	for _, member := range core.fleet.Members() {
		switch {
		case member.Service != name:
		case !member.HasNoModel():
			models.Holding = append(models.Holding, member.ID)
		case hasModelOnDisk(member, engine):
		case member.LoadingModel():
			models.Loading = append(models.Loading, member.ID)
		case !member.Draining:
			waiting = append(waiting, member)
		}
	}
	slices.SortFunc(waiting, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, member := range waiting {
		models.Waiting = append(models.Waiting, member.ID)
	}
	return models
}

// hasModelOnDisk reports whether a server has held a model of the engine before, and so need
// not fetch it from the weight store.
func hasModelOnDisk(member *fleet.Member, engine *catalog.Engine) bool {
	return slices.ContainsFunc(engine.Models, func(model catalog.Model) bool { return member.OnDisk(model.Name) })
}

// slowestModelLoad returns the longest load time among the base models of an engine.
func slowestModelLoad(engine *catalog.Engine) clock.Millis {
	longest := clock.Millis(0)
	for _, model := range engine.Models {
		longest = max(longest, model.LoadTime)
	}
	return longest
}

// updateModelTurns records which base models are being loaded. The mutex must be held.
func (core *core) updateModelTurns(now clock.Millis) {
	if core.catalog == nil {
		return
	}
	for name, service := range core.catalog.Services {
		if service.Engine != nil {
			core.turnsOf(name).Update(now, core.modelStates(name, service.Engine))
		}
	}
}

// turnsOf returns the record of the base model loads on a service's servers, which decides when
// the next one may start. The mutex must be held.
func (core *core) turnsOf(service string) *loading.Turns {
	turns, ok := core.modelTurns[service]
	if !ok {
		turns = loading.NewTurns()
		core.modelTurns[service] = turns
	}
	return turns
}

// mayLoadModel reports whether a server may be ordered to load its base model now. The mutex
// must be held.
func (core *core) mayLoadModel(now clock.Millis, server *fleet.Member) bool {
	service := core.catalog.Services[server.Service]
	if service == nil || service.Engine == nil || !server.HasNoModel() || server.LoadingModel() || hasModelOnDisk(server, service.Engine) {
		return true
	}
	return core.turnsOf(server.Service).MayLoad(now, server.ID, core.modelStates(server.Service, service.Engine))
}

// isEngine reports whether the servers of a service run models. Without a configuration it is not known of any. The mutex must be held.
func (core *core) isEngine(name string) bool {
	if core.catalog == nil {
		return false
	}
	service, ok := core.catalog.Services[name]
	return ok && service.Engine != nil
}
