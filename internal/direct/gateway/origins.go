package gateway

import (
	"cmp"
	"context"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/software"
)

// origins holds the origins of streams, and the queries for them.
type origins struct {
	records   *software.Records
	history   *software.History
	seenAt    clock.Millis            // when the history last saw all servers
	queries   map[uint64]*originQuery // to peers, by number
	limiter   software.Limiter        // of queries
	lastID    uint64                  // of a query
	several   chan struct{}           // holds a token when a service has its second version
	startedAt clock.Millis
	learning  bool           // the store's history is still to be read
	storeRead chan storePast // what the first reading of the store shows of the time before
}

func newOrigins(now clock.Millis) *origins {
	return &origins{
		records: software.NewRecords(now), history: software.NewHistory(now), queries: make(map[uint64]*originQuery),
		several: make(chan struct{}, 1), startedAt: now, learning: true, storeRead: make(chan storePast, 1),
	}
}

// seeVersion records that a service has a server of a software version.
func (origins *origins) seeVersion(now clock.Millis, service, version string) {
	before := origins.history.Several(now)
	origins.history.See(now, service, version)
	if before || !origins.history.Several(now) {
		return
	}
	select {
	case origins.several <- struct{}{}:
	default:
	}
}

// streamAttempt returns the caller's attempt that brought the first event of the stream.
func (job *job) streamAttempt() string {
	return cmp.Or(job.headers.FirstAttempt, job.headers.Attempt)
}

// continuesStream reports whether a caller resumes a stream that an earlier attempt has begun.
func continuesStream(route *catalog.Route, headers platformapi.RequestHeaders) bool {
	return route.Kind == catalog.Streaming && (headers.LastEventID != "" || headers.FirstAttempt != "")
}

// originSource is how the origin of a stream was found out.
type originSource string

// Sources of origins.
const (
	originRecorded originSource = "recorded" // by this daemon, which began the stream or had it replicated
	originAnswered originSource = "answered" // by a peer, which has recorded it
	originInferred originSource = "inferred" // the service has had no other version for as long as streams last
	originSeveral  originSource = "several"  // not recorded, and the service has had several versions
	originUnknown  originSource = "unknown"
)

// findOrigin finds out what began the stream that a request continues. If that is not known, it returns the
// result of the try instead.
func (gateway *Gateway) findOrigin(ctx context.Context, job *job) *tryResult {
	if !job.continues {
		return nil
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if recorded, ok := core.origins.records.Find(software.KeyOf(job.streamAttempt())); ok {
		if !job.originKnown {
			gateway.recordOriginFound(job, recorded, originRecorded)
		}
		job.origin, job.originKnown = recorded, true
		return nil
	}
	if job.originKnown {
		return nil
	}
	job.place.Release()
	origin, source := gateway.askOrigin(ctx, job)
	gateway.recordOriginFound(job, origin, source)
	if source == originUnknown || source == originSeveral {
		core.setUnknownRetryAfter(core.now(), job)
		return &tryResult{status: http.StatusServiceUnavailable, reason: ending.StreamUnknown}
	}
	job.origin, job.originKnown = origin, true
	return nil
}

// setUnknownRetryAfter sets when a caller whose stream is not known may try again: soon while this daemon starts, as others may know it, or
// while servers may still be confirmed, and otherwise when the service will have had one version for long enough. If that is too late, no
// further try can succeed. The mutex must be held.
func (core *core) setUnknownRetryAfter(now clock.Millis, job *job) {
	if core.starting(now) || len(core.confirmable(now, job.service)) > 0 {
		return
	}
	wait := core.origins.history.CompleteIn(now, job.service)
	if wait == 0 || wait >= job.deadline-now || core.origins.history.Mixed(job.service) {
		job.hopeless = true
		return
	}
	job.retryAfter = wait
}

// recordOriginFound logs and counts how the origin of a stream was found out.
func (gateway *Gateway) recordOriginFound(job *job, origin software.Origin, source originSource) {
	gateway.counters.recordOrigin(source)
	gateway.log.Info(ending.MessageStreamResumed, "Request", job.headers.Attempt, "FirstAttempt", job.headers.FirstAttempt, "After", cmp.Or(job.lastEventID, job.headers.LastEventID),
		"Source", string(source), "Software", origin.Version, "Server", origin.Server, "Unnamed", origin.Unnamed)
}

// inferredOrigin returns the origin that each stream in progress at a service has, if there is only one. A daemon
// that cannot read the store may not know all versions. The mutex must be held.
func (core *core) inferredOrigin(now clock.Millis, service string) (software.Origin, bool) {
	version, ok := core.origins.history.Only(now, service)
	if !ok || core.outages.FailingSince() > 0 {
		return software.Origin{}, false
	}
	return software.Origin{Version: version, Unnamed: version == ""}, true
}

// originOf returns the origin of a stream whose first event has come from a server. A server whose entry has
// changed since the request was sent may have run another version than the one known then. The mutex must be held.
func (core *core) originOf(now clock.Millis, to assignment, service string) software.Origin {
	if to.peer != "" {
		return to.origin
	}
	sent := to.server
	member, known := core.fleet.Member(sent.ID)
	current, stated := core.softwareOf(sent.Process())
	switch {
	case stated && sent.Software == "" && (member.StartedAt != sent.StartedAt || !member.SoftwareChanged):
		sent.Software = current
	case known && current != sent.Software:
		return software.Origin{}
	}
	origin := software.OriginOf(sent)
	if version, ok := core.origins.history.Only(now, service); ok && version == "" {
		origin.Unnamed = true
	}
	return origin
}

// recordBegin records that a request has got an event of its stream, the first one from this server. The mutex must
// not be held.
func (core *core) recordBegin(job *job, to assignment) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if !job.continues {
		job.continues = true
		job.origin = core.originOf(now, to, job.service)
		job.originKnown = job.origin != software.Origin{}
	}
	if job.entry != "" || !job.route.Resumable || !job.originKnown || job.streamAttempt() == "" {
		return // the daemon that received the request from its caller records it, by a name that no other stream has
	}
	key := software.KeyOf(job.streamAttempt())
	core.origins.records.Put(now, key, job.origin)
	core.origins.records.Publish(now, key, cmp.Or(to.server.ID, to.peer))
}

// fits returns a function that reports whether a request's stream may go on at a server. It is nil if the
// request begins anew. The mutex must be held.
func (core *core) fits(now clock.Millis, job *job) func(platformapi.Server) bool {
	if !job.continues {
		return nil
	}
	origin := core.resolve(now, job.origin, job.service)
	if beginner, ok := core.onlyBeginner(now, origin); ok {
		return func(server platformapi.Server) bool { return server.ID == beginner }
	}
	return origin.Fits
}

// resolve returns an origin with what has become known since it was recorded. The mutex must be held.
func (core *core) resolve(now clock.Millis, origin software.Origin, service string) software.Origin {
	if origin.Unnamed {
		if version, ok := core.origins.history.Only(now, service); ok && version == "" {
			return origin
		}
		origin.Unnamed = false // a server states a version now
	}
	member, ok := core.fleet.Member(origin.Server)
	if !ok || origin.Version != "" {
		return origin
	}
	if member.StartedAt == origin.StartedAt && member.SoftwareChanged {
		return software.Origin{}
	}
	if version, stated := core.softwareOf(origin.Process()); stated {
		return software.OriginOf(platformapi.Server{ID: origin.Server, StartedAt: origin.StartedAt, Software: version})
	}
	return origin
}

// hasFitting reports whether a server may take new work at which a request's stream may go on. The mutex must be held.
func (core *core) hasFitting(now clock.Millis, job *job) bool {
	fits := core.fits(now, job)
	for _, member := range core.fleet.Usable(job.service) {
		if fits == nil || fits(member.Server) {
			return true
		}
	}
	return false
}

// historyInterval is the time between two looks at all servers for the history of their versions.
const historyInterval = clock.Second

// updateOrigins does the periodic work on origins. The mutex must be held.
func (core *core) updateOrigins(now clock.Millis) {
	if now-core.origins.seenAt < historyInterval {
		return
	}
	core.origins.seenAt = now
	for _, member := range core.fleet.Members() {
		core.origins.history.See(now, member.Service, member.Software)
	}
	core.origins.history.Prune(now)
	core.origins.records.Prune(now)
}
