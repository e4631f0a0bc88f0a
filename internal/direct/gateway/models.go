package gateway

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
)

// models returns what is known of the base models of a service's servers. No more travel
// at once than the weight store allows to begin in a second, whatever was learned. The
// mutex is held.
func (core *core) models(name string, engine *catalog.Engine) loading.Models {
	turns, most := core.turnsOf(name), max(1, int(engine.LoadsPerS))
	models := loading.Models{FullSpeedLoads: min(turns.FullSpeedLoads(), most), TrialLoads: min(turns.TrialLoads(), most), LoadTime: slowest(engine)}
	var waiting []*fleet.Member
	for _, member := range core.fleet.Members() {
		switch {
		case member.Service != name:
		case !member.HasNoModel():
			models.Holding = append(models.Holding, member.ID)
		case fromDisk(member, engine):
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

// fromDisk reports whether a server has held a model of the engine, which it need not
// fetch from the weight store then.
func fromDisk(member *fleet.Member, engine *catalog.Engine) bool {
	return slices.ContainsFunc(engine.Models, func(model catalog.Model) bool { return member.OnDisk(model.Name) })
}

// slowest returns how long the slowest base model of an engine takes.
func slowest(engine *catalog.Engine) clock.Millis {
	longest := clock.Millis(0)
	for _, model := range engine.Models {
		longest = max(longest, model.LoadTime)
	}
	return longest
}

// noteModels takes down which base models are on their way. The mutex is held.
func (core *core) noteModels(now clock.Millis) {
	if core.catalog == nil {
		return
	}
	for name, service := range core.catalog.Services {
		if service.Engine != nil {
			core.turnsOf(name).Update(now, core.models(name, service.Engine))
		}
	}
}

// turnsOf returns the turns of a service's servers. The mutex is held.
func (core *core) turnsOf(service string) *loading.Turns {
	turns, ok := core.turns[service]
	if !ok {
		turns = loading.NewTurns()
		core.turns[service] = turns
	}
	return turns
}

// modelTurn reports whether a server may be ordered to load its base model. The mutex
// is held.
func (core *core) modelTurn(now clock.Millis, server *fleet.Member) bool {
	service := core.catalog.Services[server.Service]
	if service == nil || service.Engine == nil || !server.HasNoModel() || server.LoadingModel() || fromDisk(server, service.Engine) {
		return true
	}
	return core.turnsOf(server.Service).MayLoad(now, server.ID, core.models(server.Service, service.Engine))
}

// isEngine reports whether the servers of a service run models. The mutex is held.
func (core *core) isEngine(name string) bool {
	service, ok := core.catalog.Services[name]
	return ok && service.Engine != nil
}
