package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/intake"
	"teaselmoor/internal/direct/late"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/prefill"
	"teaselmoor/internal/direct/retry"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/takeup"
)

// job is the state of a caller's request in this daemon.
type job struct {
	headers        platformapi.RequestHeaders
	incoming       *http.Request
	entry          string // the daemon that received the request from its caller, if it is another one
	body           body
	hold           *footprint.Hold // of the connection that it came on
	content        content.ID
	keys           []content.ID // by which the quarantine knows it: the content, then the parts of its prompt
	configVersion  int64        // version of the configuration that the request is served with
	route          *catalog.Route
	service        string
	engine         bool
	accountsListed bool                // the configuration lists accounts
	account        account.Account     // of the caller; unnamed if there is none
	charged        float64             // units charged to the account's limit
	rank           int                 // 0 is the most urgent
	adapter        platformapi.Adapter // empty for a plain service
	adapterHash    uint64
	adapterSlots   int          // of each server of the service
	arrived        clock.Millis // when its last bytes came that had come when it was read, which may have been long before that
	progress       progress
	place          *intake.Place // nil: it has not been taken in
	deadline       clock.Millis  // by the caller's and the route's time limits, and maxTimeout

	triedServers  []string        // servers that are not tried again
	brokeAt       string          // server at which the stream broke off last; empty: nowhere, or its process has ended
	mayHaveRun    int             // number of servers that may have run the request
	connectFailed bool            // a server could not be connected to
	peersTried    int             // number of peers that the request was sent to
	timesSent     int             // times that the request was sent to a server
	retry         *retry.Retry    // the last retry that the budget allowed; nil: none
	waited        clock.Millis    // total wait for an adapter or for other prompts
	holdTime      clock.Millis    // part of waited in which the engine was reading (prefilling) other prompts
	tryTimer      *time.Timer     // ends the present try; nil: only the deadline does
	headSent      bool            // the head of an answer has been sent to the caller
	lastEventAt   clock.Millis    // when the caller was last sent something; initially the arrival
	lastEventID   string          // of the last complete event sent to the caller
	continues     bool            // an event of the stream was sent to the caller, by this attempt or an earlier one
	origin        software.Origin // of the stream, if originKnown
	originKnown   bool
	takeUpTold    bool         // daemons have been told that the request goes on with a stream
	afterAtEntry  takeup.Event // the last event that the caller of another daemon had
	declined      int          // servers whose processes turned out not to fit the stream
	stream        late.Stream  // course of a streamed answer
	trial         *trial       // nil: the request is not suspect
	demandCounted bool         // the request counts among those that this daemon receives
	partsAnswered bool         // the parts of its prompt are known to be sound
	retryAfter    clock.Millis // sent to a refused caller
	hopeless      bool         // no further try of the caller can succeed: a refusal does not tell it to return

	// Prefill admission control in the last placement.
	turn           prefill.Result // how the prompt came to be sent; empty: without admission control
	turnTime       clock.Millis   // part of waited in which the prompt waited for a grant
	turnsWithdrawn int            // prompts withdrawn from owners
}

// ServeHTTP serves a caller's request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer endReading(request)
	core := gateway.core
	core.mutex.Lock()
	config := core.catalog
	leaving := core.leaving
	core.mutex.Unlock()
	if leaving {
		writer.Header().Set("Connection", "close")
	}
	if config == nil {
		gateway.refuse(writer, &job{incoming: request, arrived: core.now()}, http.StatusServiceUnavailable, ending.NoConfiguration)
		return
	}
	gateway.serveRequest(writer, request, config, entry{})
}

// serveRequest serves a request with a configuration.
func (gateway *Gateway) serveRequest(writer http.ResponseWriter, request *http.Request, config *catalog.Catalog, from entry) {
	if callerLeft(request) {
		gateway.abandon(&job{incoming: request, entry: from.daemon, arrived: gateway.core.now()})
	}
	if from.daemon != "" {
		writer.Header().Set(proxiedHeader, answeredByServer)
	}
	hold, end, ok := gateway.holdOf(request)
	if !ok {
		gateway.refuse(writer, &job{incoming: request, entry: from.daemon, arrived: gateway.core.now()}, http.StatusServiceUnavailable, ending.NoRoom)
		return
	}
	defer end()
	job, status, reason := gateway.accept(writer, request, config, from, hold)
	defer job.releaseBody()
	defer gateway.refundIfNotRun(job)
	if status != 0 {
		gateway.refuse(writer, job, status, reason)
		return
	}
	if !hold.BeginWork() {
		gateway.refuse(writer, job, http.StatusServiceUnavailable, ending.NoRoom)
		return
	}
	defer hold.EndWork()
	if refused := gateway.refuseStopping(gateway.core.now(), job); refused != nil {
		gateway.failRequest(writer, job, *refused)
		return
	}
	if status, reason := gateway.takeIn(job); status != 0 {
		gateway.refuse(writer, job, status, reason)
		return
	}
	defer job.place.Release()
	if job.mayBeTakenUp() {
		defer gateway.endWhenTakenUp(job, from)()
	}
	gateway.dispatch(writer, job)
}

// accept finds the route of a request, admits the caller and reads the body. If the request is
// refused, accept returns the status and reason to answer with; otherwise the status is 0.
func (gateway *Gateway) accept(writer http.ResponseWriter, request *http.Request, config *catalog.Catalog, from entry, hold *footprint.Hold) (*job, int, ending.Reason) {
	core := gateway.core
	now := core.now()
	unread := sinceReceived(request)
	job := &job{
		incoming: request, hold: hold, arrived: now - unread, progress: progress{unread: unread, head: now}, lastEventAt: now - unread,
		configVersion: config.Version, entry: from.daemon, mayHaveRun: from.runs, afterAtEntry: from.after,
	}
	headers, err := gateway.protocol.ParseRequest(request)
	job.headers = headers
	if err != nil || strings.HasPrefix(request.RequestURI, "//") {
		return job, http.StatusBadRequest, ending.BadRequest
	}
	if limit := config.Limits.HeaderBytes; from.daemon == "" && limit > 0 && headBytes(request) > limit {
		return job, http.StatusRequestHeaderFieldsTooLarge, ending.TooLarge
	}
	route, ok := config.Match(hostWithoutPort(request.Host), request.URL.Path)
	if !ok {
		return job, http.StatusNotFound, ending.NoRoute
	}
	job.route = route
	job.rank = route.Rank
	job.deadline = deadlineOf(job)
	if now >= job.deadline {
		return job, http.StatusServiceUnavailable, ending.Deadline
	}
	if status, reason := gateway.admit(job, config); status != 0 {
		return job, status, reason
	}
	job.continues = continuesStream(route, headers)
	job.origin, job.originKnown = from.origin, from.originKnown
	job.service = route.Service(job.streamAttempt())
	service := config.Services[job.service]
	job.engine = service != nil && service.Engine != nil
	if job.engine {
		job.adapter = platformapi.Adapter{Model: headers.Model, Name: headers.Adapter}
		job.adapterHash = adapterHash(job.adapter)
		job.adapterSlots = service.Engine.AdapterSlots
	}
	if status, reason := gateway.readBody(writer, job, config); status != 0 {
		return job, status, reason
	}
	job.progress.body = core.now()
	job.findKeys(content.Request{Host: request.Host, Target: request.RequestURI, Account: job.account.Name, Body: job.body.pieces})
	if !from.counted {
		core.recordForRetries(job)
	}
	return job, 0, ""
}

// headBytes returns the number of bytes of the head of a request, without optional spaces.
func headBytes(request *http.Request) int {
	const separators = len(": \r\n")
	size := len(request.Method) + len(request.RequestURI) + len("  \r\n") + len(request.Proto) + len("Host") + separators + len(request.Host) + len("\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + separators + len(value)
		}
	}
	return size
}

// hostWithoutPort removes the port from a host.
func hostWithoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// maxTimeout bounds the time that a request may take, whatever its caller and its route allow.
// It is the only bound if they set no time limit.
const maxTimeout = 60 * clock.Second

func deadlineOf(job *job) clock.Millis {
	timeout := maxTimeout
	if job.headers.TimeLeft > 0 {
		timeout = min(timeout, job.headers.TimeLeft)
	}
	if job.route.Timeout > 0 {
		timeout = min(timeout, job.route.Timeout)
	}
	return job.arrived + timeout
}

// refuse answers a request with a status and a reason in place of a server's answer.
func (gateway *Gateway) refuse(writer http.ResponseWriter, job *job, status int, reason ending.Reason) {
	boundUnreadBody(job)
	gateway.endRefused(writer.Header(), job, status, reason)
	http.Error(writer, string(reason), status)
}

// endRefused sets the headers of a refusal, and logs and counts it.
func (gateway *Gateway) endRefused(header http.Header, job *job, status int, reason ending.Reason) {
	if ending.PromisesNotRun(status) && job.retryAfter == 0 && !job.hopeless {
		job.retryAfter = gateway.options.RetryAfter
	}
	gateway.protocol.SetRefusalHeaders(header, job.retryAfter)
	if job.entry != "" {
		header.Set(proxiedHeader, string(reason))
		if job.timesSent > 0 {
			header.Set(sendsHeader, strconv.Itoa(job.timesSent))
		}
	}
	gateway.counters.recordRetryAfter(reason, job.retryAfter)
	gateway.logEnd(job, status, reason)
}

// logEnd logs how a request ended, and counts it.
func (gateway *Gateway) logEnd(job *job, status int, reason ending.Reason) {
	now := gateway.core.now()
	line := []any{
		"Request", job.headers.Attempt, "Status", status, "Reason", string(reason), "Millis", now - job.arrived,
		"Offers", job.timesSent, "WaitedMillis", job.waited, "Config", job.configVersion, "Daemon", gateway.settings.Name,
	}
	if job.retryAfter > 0 {
		line = append(line, "RetryAfterMillis", job.retryAfter)
	}
	if reason == ending.NoRoute {
		line = append(line, "Host", job.incoming.Host, "Path", job.incoming.URL.Path)
	}
	if job.route != nil {
		line = append(line, "Route", job.route.Name, "Service", job.service, "Adapter", job.adapter.Name, "LeftMillis", job.deadline-now,
			"Kind", job.route.Kind.String(), "Repeatable", job.route.Repeatable())
	}
	if job.entry != "" {
		line = append(line, "Entry", job.entry)
	}
	if job.account.Name != "" {
		line = append(line, "Account", job.account.Name)
	}
	line = append(line, job.lateFields(now)...)
	line = append(line, job.endStream(now, reason)...)
	gateway.log.Info(ending.MessageRequestEnded, line...)
	gateway.counters.recordEnd(job, status, reason, now)
	if status/100 == 2 {
		gateway.recordAnswerTime(job, now)
	}
}
