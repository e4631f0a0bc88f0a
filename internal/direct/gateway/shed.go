package gateway

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/retryafter"
	"teaselmoor/internal/direct/shed"
)

// loadShedding is the state of load shedding at plain services.
type loadShedding struct {
	services map[string]*shed.Service // that requests have arrived for
	refused  map[string]int64         // requests, by service
	promises *retryafter.Schedule     // to refused callers, by service
}

// Bounds of the promises to refused callers: as many services as a metric distinguishes, and as many promises
// as are made within some seconds.
const (
	shedPromises          = 2000
	shedPromisesByService = 128
)

func newLoadShedding() loadShedding {
	options := retryafter.Options{Keys: maxSeries, Promises: shedPromises, PromisesByKey: shedPromisesByService}
	return loadShedding{services: make(map[string]*shed.Service), refused: make(map[string]int64), promises: retryafter.New(options)}
}

// shedService returns the load shedding of a request's service, or nil if the request is not subject
// to it: one with a short goal to a plain service, at a site with hubs, is. The mutex must be held.
func (core *core) shedService(job *job) *shed.Service {
	if !core.options.Shed.Enabled || job.engine || core.members.Plan().Mesh || !choose.IsShort(job.route.Goal) {
		return nil
	}
	service, ok := core.shedding.services[job.service]
	if goal := core.catalog.PlainGoal(job.service); goal > 0 && (!ok || service.Goal() != goal) {
		service = shed.New(core.options.Shed, goal)
		core.shedding.services[job.service] = service
	}
	return service
}

// shedView returns what this daemon knows of the servers of a plain service. The mutex must be held.
func (core *core) shedView(now clock.Millis, service string) shed.View {
	return shed.NewView(now, choose.HealthyServers(now, service, core.fleet), core.work, core.overLimit(now, ""))
}

// shedRequest refuses a request that its service cannot answer within its goal without making others
// late. A request that has been sent to a server before is not refused. The mutex must be held.
func (core *core) shedRequest(now clock.Millis, job *job) *tryResult {
	if job.timesSent > 0 || len(job.triedServers) > 0 {
		return nil
	}
	service := core.shedService(job)
	if service == nil {
		return nil
	}
	service.Arrived(job.rank)
	request := shed.Request{Hash: xxhash.Sum64String(job.headers.Attempt), Rank: job.rank}
	decision := service.Decide(now, core.shedView(now, job.service), request)
	if !decision.Refused {
		return nil
	}
	job.retryAfter, _ = core.shedding.promises.Promise(now, job.service, decision.Refusal(job.rank, request.Hash, core.ownShare()))
	core.shedding.refused[job.service]++
	core.log.Info(ending.MessageRequestShed, "Request", job.headers.Attempt, "Service", job.service, "LoadTenths", tenths(decision.Load),
		"TargetTenths", tenths(decision.Target), "Rank", job.rank, "RetryAfterMillis", job.retryAfter)
	return &tryResult{status: http.StatusServiceUnavailable, reason: ending.Overloaded}
}

func tenths(value float64) int {
	return int(math.Round(10 * value))
}

// recordPlainAnswer records how long a server of a plain service took to answer.
func (core *core) recordPlainAnswer(job *job, to assignment) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if service := core.shedService(job); service != nil {
		service.RecordAnswer(core.now() - to.at)
	}
}

// observeOverload updates load shedding after counts have arrived. The mutex must be held.
func (core *core) observeOverload(now clock.Millis) {
	for name, service := range core.shedding.services {
		if service.Due(now) {
			service.Observe(now, core.shedView(now, name))
		}
	}
}

// pruneShedding drops the services that no route with a goal leads to any more. The mutex must be
// held.
func (core *core) pruneShedding() {
	unused := func(service string) bool { return core.catalog == nil || core.catalog.PlainGoal(service) == 0 }
	maps.DeleteFunc(core.shedding.services, func(service string, _ *shed.Service) bool { return unused(service) })
	maps.DeleteFunc(core.shedding.refused, func(service string, _ int64) bool { return unused(service) })
}

// writeShedding writes the metrics of load shedding. The mutex must be held.
func (core *core) writeShedding(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(core.shedding.services)) {
		service := core.shedding.services[name]
		_, _ = fmt.Fprintf(out, "teaselmoor_requests_shed_total{service=%q} %d\n", name, core.shedding.refused[name])
		_, _ = fmt.Fprintf(out, "teaselmoor_plain_load{service=%q} %g\n", name, service.Load())
		_, _ = fmt.Fprintf(out, "teaselmoor_plain_load_target{service=%q} %g\n", name, service.Target())
	}
}
