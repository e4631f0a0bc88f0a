package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/takeup"
)

// entry is what a daemon says of a request that it sends to a peer.
type entry struct {
	daemon        string // that received the request from its caller; empty: this one
	runs          int    // servers that may have run the request
	configVersion int64
	counted       bool            // another daemon has counted the request for the retry budget
	renewsLease   bool            // the daemon sends heartbeats while it waits for the answer
	after         takeup.Event    // the last event that its caller had
	origin        software.Origin // of the stream that the request continues, if originKnown
	originKnown   bool
}

// parseEntry reads and removes the headers that a daemon adds to a request that it sends to a peer.
func parseEntry(header http.Header) entry {
	parsed := entry{daemon: header.Get(entryHeader)}
	runs, err := strconv.Atoi(header.Get(runsHeader))
	if err != nil || runs < 0 {
		runs = maxProxiedRuns // so that the request is not repeated
	}
	parsed.runs = runs
	parsed.configVersion, _ = strconv.ParseInt(header.Get(configHeader), 10, 64) // 0: any version will do
	parsed.origin, parsed.originKnown = takeOrigin(header)
	parsed.counted = header.Get(countedHeader) != ""
	parsed.renewsLease, parsed.after = takeLease(header)
	for _, name := range []string{entryHeader, runsHeader, configHeader, countedHeader} {
		header.Del(name)
	}
	return parsed
}

// maxProxiedRuns is more than the servers that any route lets run a request.
const maxProxiedRuns = 1000

// handlePeerConnections returns the handler of connections from peers: those over which messages are
// exchanged, and those with requests of a peer's callers.
func (gateway *Gateway) handlePeerConnections(messages http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		nameAnswer(writer, request)
		if request.Header.Get(entryHeader) == "" {
			messages.ServeHTTP(writer, request)
			return
		}
		gateway.proxiedRequests.Add(1)
		defer gateway.proxiedRequests.Add(-1)
		gateway.serveProxied(writer, request)
	})
}

// serveProxied serves a request that a peer has received from its caller, as the peer reaches no server.
// The request is never sent to a further peer.
func (gateway *Gateway) serveProxied(writer http.ResponseWriter, request *http.Request) {
	from := parseEntry(request.Header)
	gateway.counters.recordProxied(proxyReceived)
	config, reason := gateway.core.acceptsProxied(from)
	if reason != "" {
		gateway.refuse(writer, &job{incoming: request, entry: from.daemon, arrived: gateway.core.now()}, http.StatusServiceUnavailable, reason)
		return
	}
	gateway.serveRequest(writer, request, config, from)
}

// acceptsProxied returns the configuration to serve a peer's request with, or the reason for which this
// daemon does not take it.
func (core *core) acceptsProxied(from entry) (*catalog.Catalog, ending.Reason) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	switch {
	case core.links.CutOff():
		return nil, ending.Unreachable
	case core.catalog == nil || core.leaving || core.catalog.Version < from.configVersion:
		return nil, ending.NoConfiguration
	}
	return core.catalog, ""
}

// proxiedCheckInterval is how often a stopping daemon checks whether requests of peers are in progress.
const proxiedCheckInterval = 20 * time.Millisecond

// awaitProxied waits until no requests of peers are in progress.
func (gateway *Gateway) awaitProxied(ctx context.Context) {
	ticker := time.NewTicker(proxiedCheckInterval)
	defer ticker.Stop()
	for gateway.proxiedRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
