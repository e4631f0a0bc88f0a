package gateway

import (
	"context"
	"net/http"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/upstream"
)

// This file binds what is known of a server to one of its processes: a server may start again under its id, with another version
// of its software, and its entry in the store may be earlier or later than that. The process that matters to a stream is the one
// that answers on its connection.

// seeProcess records that a process has answered, or that another daemon knows of it. By names the source. The mutex must
// be held.
func (core *core) seeProcess(process platformapi.Process, by string) {
	member, known := core.fleet.Member(process.Server)
	if !known {
		return
	}
	former := member.Server
	if !core.fleet.SeeProcess(process) {
		return
	}
	core.log.Info("server process seen", "Server", process.Server, "Born", process.StartedAt, "Before", former.StartedAt, "By", by)
	core.origins.seeVersion(core.now(), member.Service, member.Software)
	core.handleNewProcess(former)
}

// handleNewProcess drops what holds only for the former process of a server that has started again. The mutex must be held.
func (core *core) handleNewProcess(former platformapi.Server) {
	if !former.Draining {
		core.handleRestart(former)
	}
	if worker, ok := core.orderWorkers[former.ID]; ok {
		worker.planner.InvalidateReport()
		worker.wakeUp()
	}
	core.wakeWaitingRequests()
}

// softwareOf returns the software version of a process, or false if its server's entries have not stated it. The mutex must
// be held.
func (core *core) softwareOf(process platformapi.Process) (string, bool) {
	member, known := core.fleet.Member(process.Server)
	switch {
	case !known:
		return "", false
	case process.StartedAt == 0:
		return member.Software, member.StartedAt == 0 && member.Software != ""
	}
	return member.SoftwareOf(process.StartedAt)
}

// identification returns how the process is found out that a request is sent to. It is nil if that does not matter: only
// streams that may go on elsewhere depend on what began them.
func (gateway *Gateway) identification(ctx context.Context, job *job, to assignment) *upstream.Identification {
	if job.route.Kind != catalog.Streaming || !job.route.Resumable || job.headers.Attempt == "" {
		return nil // the answer to an attempt without an id has to be the first one on its connection
	}
	request, err := gateway.servers.ReportRequest(ctx, to.server)
	if err != nil {
		gateway.log.Error("cannot ask for a server's process", "Server", to.server.ID, "Error", err.Error())
		return nil
	}
	return &upstream.Identification{
		Request: request, Matches: gateway.matchReport,
		Read: func(response *http.Response) (int64, error) {
			report, err := gateway.servers.ParseReport(response)
			if err != nil {
				return 0, err
			}
			process := to.server
			process.StartedAt = report.StartedAt
			gateway.handleLeaving(process, report.Leaving, "report")
			return report.StartedAt, nil
		},
		Accept: func(startedAt int64) bool { return gateway.acceptProcess(ctx, job, to.server, startedAt) },
	}
}

// matchReport tells whether an answer belongs to a request for a report. All other requests on the connection have ids.
func (gateway *Gateway) matchReport(response *http.Response, _ bool) upstream.Match {
	if gateway.protocol.ParseAnswer(response).Attempt != "" {
		return upstream.OtherName
	}
	return upstream.ByOrder
}

// acceptProcess reports whether a request may be sent to the process that has answered at a server. A stream that has begun
// goes on only at a process of its version. Where neither the process nor its server's entry states a start, the entry stands for
// the process, and is read again.
func (gateway *Gateway) acceptProcess(ctx context.Context, job *job, server platformapi.Server, startedAt int64) bool {
	if startedAt == 0 && server.StartedAt == 0 && job.continues && !gateway.readEntry(ctx, server.ID) {
		return false
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	process := platformapi.Process{Server: server.ID, StartedAt: startedAt}
	core.confirmProcess(process)
	core.seeProcess(process, "answer")
	if !job.continues || core.fitsProcess(core.now(), job, process) {
		return true
	}
	version, _ := core.softwareOf(process)
	core.log.Info(ending.MessageProcessDeclined, "Request", job.headers.Attempt, "Server", server.ID, "Born", startedAt, "EntryBorn", server.StartedAt,
		"Software", version, "EntrySoftware", server.Software, "OriginSoftware", job.origin.Version, "OriginServer", job.origin.Server, "OriginBorn", job.origin.StartedAt)
	return false
}

// fitsProcess reports whether a request's stream may go on at a process. The mutex must be held.
func (core *core) fitsProcess(now clock.Millis, job *job, process platformapi.Process) bool {
	if process.StartedAt == 0 { // the entry of its server stands for it
		member, known := core.fleet.Member(process.Server)
		return known && member.StartedAt == 0 && core.fits(now, job)(member.Server)
	}
	origin := core.resolve(now, job.origin, job.service)
	if origin.Unnamed || origin.Process() == process {
		return true
	}
	version, known := core.softwareOf(process)
	return known && origin.Version == version
}

// entryTimeout is the longest wait for the store, which answers within some milliseconds.
const entryTimeout = 500 * clock.Millisecond

// readEntry reads a server's entry from the store and applies it. It reports false if the entry cannot be read or is
// gone.
func (gateway *Gateway) readEntry(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout.Duration())
	defer cancel()
	core := gateway.core
	key := core.decoder.ServerKey(id)
	page, err := gateway.store.Range(ctx, key, "")
	if err != nil {
		gateway.log.Warn("cannot read server entry", "Server", id, "Error", err.Error())
		return false
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.enterEra(page.Era, false) {
		return false
	}
	for _, item := range page.Items {
		if item.Key == key {
			core.applyItem(item)
			return true
		}
	}
	return false
}

// maxProcessesDeclined is the number of servers whose processes may turn out not to fit a stream before its request ends.
const maxProcessesDeclined = 8

// handleProcessDeclined decides how to go on with a request that was not sent, as its stream cannot go on at the process that
// answered.
func (gateway *Gateway) handleProcessDeclined(ctx context.Context, job *job, to assignment) tryResult {
	job.triedServers = append(job.triedServers, to.server.ID)
	if job.brokeAt == to.server.ID {
		job.brokeAt = ""
	}
	job.timesSent--
	gateway.core.recordRetryNotSent(job)
	job.declined++
	again := ctx.Err() == nil && job.declined < maxProcessesDeclined
	return tryResult{retry: again, status: http.StatusServiceUnavailable, reason: ending.NoSoftwareVersion}
}

// identified returns an assignment with the process that has answered. The mutex must not be held.
func (core *core) identified(to assignment, startedAt int64) assignment {
	if startedAt == 0 || startedAt == to.server.StartedAt {
		return to
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	to.server.StartedAt = startedAt
	to.server.Software, _ = core.softwareOf(to.server.Process())
	return to
}

// tried returns the servers that a request is not sent to again. A stream goes on at the server where it broke off if no
// other one fits that can be reached. The mutex must be held.
func (core *core) tried(now clock.Millis, job *job) []string {
	if !job.continues || job.brokeAt == "" {
		return job.triedServers
	}
	fits := core.fits(now, job)
	reachable := false
	for _, member := range core.fleet.Usable(job.service) {
		if !fits(member.Server) || member.Suspect(now) {
			continue
		}
		if !slices.Contains(job.triedServers, member.ID) {
			return job.triedServers
		}
		reachable = reachable || member.ID == job.brokeAt
	}
	if !reachable {
		return job.triedServers
	}
	return slices.DeleteFunc(slices.Clone(job.triedServers), func(id string) bool { return id == job.brokeAt })
}

// onlyBeginner returns the server that began a stream, if the stream has to go on there: which process of the server wrote its
// events cannot be told, as the server states no start, and its entry still states the version that it had. The mutex must be
// held.
func (core *core) onlyBeginner(now clock.Millis, origin software.Origin) (string, bool) {
	if origin.Version == "" || origin.Server == "" {
		return "", false
	}
	member, known := core.fleet.Member(origin.Server)
	if !known || member.Draining || member.StartedAt != 0 || member.Suspect(now) {
		return "", false
	}
	return origin.Server, member.Software == "" || member.Software == origin.Version
}
