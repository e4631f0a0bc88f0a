package gateway

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
)

// job is a caller's request on its way through this daemon.
type job struct {
	call     platformapi.RequestHeaders
	incoming *http.Request
	body     []byte
	content  content.ID
	config   int64 // version of the configuration that it is served by
	route    *catalog.Route
	service  string
	engine   bool
	accounts bool                // the configuration lists accounts
	account  account.Account     // the caller's; without a name where there is none
	cost     float64             // units taken of the account's limit
	rank     int                 // 0 is the most urgent
	adapter  platformapi.Adapter // empty for a plain service
	hash     uint64
	places   int // for adapters at each server of the service
	arrived  clock.Millis
	deadline clock.Millis // the caller's or the route's, whichever is first

	tried    []string     // servers not to try again
	sends    int          // servers that may have run it
	offers   int          // times that it was sent
	waited   clock.Millis // for its adapter, or held
	held     clock.Millis // of it, while its engine read other prompts
	started  bool         // the head of an answer went to the caller
	heardAt  clock.Millis // when the caller last got something; its arrival until then
	lastSent string       // the last event that went to the caller whole
	firstAt  clock.Millis
	// longestGap is the longest time between two events of the answer as they came.
	longestGap clock.Millis
	comeBack   clock.Millis // after which a refused caller was told to come back
}

// ServeHTTP serves a caller's request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	core := gateway.core
	core.mutex.Lock()
	config := core.catalog
	leaving := core.leaving
	core.mutex.Unlock()
	if leaving {
		writer.Header().Set("Connection", "close")
	}
	if config == nil {
		gateway.refuse(writer, &job{incoming: request, arrived: core.now()}, http.StatusServiceUnavailable, ending.NotReady)
		return
	}
	job, status, why := gateway.accept(writer, request, config)
	defer gateway.settle(job)
	if status != 0 {
		gateway.refuse(writer, job, status, why)
		return
	}
	gateway.dispatch(writer, job)
}

// accept reads a request whole and finds its route. A status other than 0
// refuses it.
func (gateway *Gateway) accept(writer http.ResponseWriter, request *http.Request, config *catalog.Catalog) (*job, int, ending.Reason) {
	core := gateway.core
	now := core.now()
	job := &job{incoming: request, arrived: now, heardAt: now, config: config.Version}
	call, err := gateway.protocol.ParseRequest(request)
	job.call = call
	if err != nil || strings.HasPrefix(request.RequestURI, "//") {
		return job, http.StatusBadRequest, ending.BadRequest
	}
	route, ok := config.Match(hostOf(request.Host), request.URL.Path)
	if !ok {
		return job, http.StatusNotFound, ending.NoRoute
	}
	job.route = route
	job.rank = route.Rank
	if status, why := gateway.admit(job, config); status != 0 {
		return job, status, why
	}
	job.service = route.Service(call.Attempt)
	job.deadline = deadlineOf(job)
	service := config.Services[job.service]
	job.engine = service != nil && service.Engine != nil
	if job.engine {
		job.adapter = platformapi.Adapter{Model: call.Model, Name: call.Adapter}
		job.hash = hashOf(job.adapter)
		job.places = service.Engine.AdapterSlots
	}
	limit := gateway.options.BodyBytes
	if config.Limits.BodyBytes > 0 {
		limit = config.Limits.BodyBytes
	}
	job.body, err = io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return job, http.StatusRequestEntityTooLarge, ending.TooLarge
	case err != nil:
		return job, http.StatusBadRequest, ending.BadRequest
	}
	job.content = content.Of(content.Request{Host: request.Host, Target: request.RequestURI, Account: job.account.Name, Body: job.body})
	core.mutex.Lock()
	core.budget(job.service).Request(job.arrived)
	core.mutex.Unlock()
	return job, 0, ""
}

// hostOf takes the port off a host.
func hostOf(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// longest is the time given to a request when neither caller nor route bounds it.
const longest = 60 * clock.Second

func deadlineOf(job *job) clock.Millis {
	span := longest
	if job.call.TimeLeft > 0 {
		span = min(span, job.call.TimeLeft)
	}
	if job.route.Timeout > 0 {
		span = min(span, job.route.Timeout)
	}
	return job.arrived + span
}

// refuse answers a request that no server answers.
func (gateway *Gateway) refuse(writer http.ResponseWriter, job *job, status int, why ending.Reason) {
	if ending.PromisesNotRun(status) && job.comeBack == 0 {
		job.comeBack = gateway.options.RetryAfter
	}
	gateway.protocol.SetRefusalHeaders(writer.Header(), job.comeBack)
	gateway.ended(job, status, why)
	http.Error(writer, string(why), status)
}

// ended writes the line that says how a request ended.
func (gateway *Gateway) ended(job *job, status int, why ending.Reason) {
	now := gateway.core.now()
	line := []any{
		"Request", job.call.Attempt, "Status", status, "Reason", string(why), "Millis", now - job.arrived,
		"Offers", job.offers, "WaitedMillis", job.waited, "Config", job.config, "Daemon", gateway.settings.Name,
	}
	if job.comeBack > 0 {
		line = append(line, "RetryAfterMillis", job.comeBack)
	}
	if why == ending.NoRoute {
		line = append(line, "Host", job.incoming.Host, "Path", job.incoming.URL.Path)
	}
	if job.route != nil {
		line = append(line, "Route", job.route.Name, "Service", job.service, "Adapter", job.adapter.Name, "LeftMillis", job.deadline-now,
			"Kind", job.route.Kind.String(), "Repeatable", job.route.Repeatable())
	}
	if job.account.Name != "" {
		line = append(line, "Account", job.account.Name)
	}
	if job.firstAt > 0 {
		line = append(line, "FirstMillis", job.firstAt-job.arrived, "GapMillis", job.longestGap)
	}
	gateway.log.Info(ending.MessageRequestEnded, line...)
	gateway.counters.ended(job, status, why, now)
}
