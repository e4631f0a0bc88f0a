package gateway

import (
	"context"
	"slices"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/topology"
)

const (
	// maxOriginQueries bounds the queries in progress, as callers may name attempts that never were.
	maxOriginQueries = 256
	// originWait is how long peers are waited for that are asked what began a stream. It is longer than a round trip between
	// regions by way of a hub.
	originWait = 300 * clock.Millisecond
	// relayedOriginWait is how long a hub waits for other hubs, before it answers.
	relayedOriginWait = 200 * clock.Millisecond
)

// originQuery is a question to several peers what began a stream.
type originQuery struct {
	message  peers.OriginQuery
	asked    map[string]bool          // peers
	pending  map[string]bool          // those that have not answered
	inferred map[software.Origin]bool // what peers infer that have not recorded the stream; zero: the service has had several versions
	found    *software.Origin         // what a peer has recorded
	answered chan struct{}            // holds a token when an answer has come
}

func newOriginQuery(message peers.OriginQuery) *originQuery {
	return &originQuery{
		message: message, asked: make(map[string]bool), pending: make(map[string]bool), inferred: make(map[software.Origin]bool),
		answered: make(chan struct{}, 1),
	}
}

// answer returns what the peers have answered. Peers that infer different origins know less than they assume.
func (originQuery *originQuery) answer() (software.Origin, originSource) {
	if originQuery.found != nil {
		return *originQuery.found, originAnswered
	}
	if len(originQuery.inferred) > 1 || originQuery.inferred[software.Origin{}] {
		return software.Origin{}, originSeveral
	}
	for origin := range originQuery.inferred {
		return origin, originInferred
	}
	return software.Origin{}, originUnknown
}

// apply applies a peer's answer.
func (originQuery *originQuery) apply(peer string, answer *peers.OriginAnswer) {
	if !originQuery.pending[peer] {
		return
	}
	delete(originQuery.pending, peer)
	switch {
	case answer.Found:
		originQuery.found = &answer.Origin
	case answer.Inferred:
		originQuery.inferred[answer.Origin] = true
	}
	select {
	case originQuery.answered <- struct{}{}:
	default:
	}
}

// askOrigin asks peers what began the stream that a request continues. The mutex must be held; it is released during
// the wait.
func (gateway *Gateway) askOrigin(ctx context.Context, job *job) (software.Origin, originSource) {
	return gateway.queryPeers(ctx, originWait, peers.OriginQuery{Key: software.KeyOf(job.streamAttempt()), Service: job.service})
}

const (
	// startSpan is the time after the start within which a daemon may not be connected yet to others that run.
	startSpan = 2 * clock.Second
	// startCheckInterval is the time between two checks of what a daemon that has just started has learnt meanwhile.
	startCheckInterval = 20 * clock.Millisecond
)

// starting reports whether this daemon has just started, and may learn at any moment of further daemons, or of the time before from the
// store's history. The mutex must be held.
func (core *core) starting(now clock.Millis) bool {
	return now-core.origins.startedAt < startSpan && (core.origins.learning || core.hasOtherSeeds())
}

// queryPeers asks all linked peers, waits for them, and returns what they and this daemon know. What this daemon infers counts only if the store
// has answered it since: servers of a new version may have joined while it was cut off or stood still. The mutex must be held; it is released
// during the wait.
func (gateway *Gateway) queryPeers(ctx context.Context, wait clock.Millis, message peers.OriginQuery) (software.Origin, originSource) {
	core := gateway.core
	core.origins.lastID++
	message.ID = core.origins.lastID
	query := newOriginQuery(message)
	if len(core.origins.queries) < maxOriginQueries && core.origins.limiter.Allow(core.now()) {
		core.origins.queries[message.ID] = query
		gateway.awaitAnswers(ctx, wait, query)
		delete(core.origins.queries, message.ID)
	}
	if recorded, ok := core.origins.records.Find(message.Key); ok {
		return recorded, originRecorded // meanwhile
	}
	if _, ok := core.inferredOrigin(core.now(), message.Service); ok && query.found == nil && gateway.refreshStore(ctx) {
		if inferred, ok := core.inferredOrigin(core.now(), message.Service); ok {
			query.inferred[inferred] = true
		}
	}
	if core.origins.history.Mixed(message.Service) {
		query.inferred[software.Origin{}] = true // whatever peers infer that do not know all versions yet
	}
	return query.answer()
}

// awaitAnswers asks linked peers and waits until one knows the stream or all have answered. A daemon that has just started and cannot
// infer the answer goes on to ask those that it gets connected to, and waits for the store's history and for servers to confirm it. The mutex
// must be held; it is released during the wait.
func (gateway *Gateway) awaitAnswers(ctx context.Context, wait clock.Millis, query *originQuery) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	core := gateway.core
	for ctx.Err() == nil {
		gateway.askLinked(query)
		if _, recorded := core.origins.records.Find(query.message.Key); recorded || query.found != nil {
			return
		}
		now := core.now()
		_, inferred := core.inferredOrigin(now, query.message.Service)
		learning := !inferred && (core.starting(now) || gateway.confirmServers(now, query.message.Service))
		if len(query.pending) == 0 && !learning {
			return
		}
		check := originWait
		if learning {
			check = startCheckInterval
		}
		core.mutex.Unlock()
		select {
		case <-query.answered:
		case <-time.After(check.Duration()):
		case <-ctx.Done():
		}
		core.mutex.Lock()
	}
}

// askLinked asks the linked peers that were not asked yet. The mutex must be held.
func (gateway *Gateway) askLinked(query *originQuery) {
	for _, peer := range gateway.core.originPeers() {
		if !query.asked[peer.Name] && gateway.send(peer.Address, peers.Message{OriginQuery: &query.message}) {
			query.asked[peer.Name], query.pending[peer.Name] = true, true
		}
	}
}

// originPeers returns the peers that may know what began a stream. A daemon that has just started may not be linked yet to those that
// the plan has it ask, and asks all. The mutex must be held.
func (core *core) originPeers() []topology.Daemon {
	linked := core.members.Plan().Links
	if !core.starting(core.now()) {
		return linked
	}
	linked = slices.Clone(linked)
	for _, peer := range core.members.Peers() {
		linked = append(linked, peer.Daemon)
	}
	return linked
}

// handleOriginAnswer applies a peer's answer to a query of this daemon.
func (core *core) handleOriginAnswer(from string, answer *peers.OriginAnswer) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if query, ok := core.origins.queries[answer.ID]; ok {
		query.apply(from, answer)
	}
}

// handleOriginQuery answers a peer's query. A hub that does not know asks the other hubs first, and a member its hubs: the peer has just
// started then, and is not linked to hubs yet.
func (gateway *Gateway) handleOriginQuery(from string, query *peers.OriginQuery) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	origin, found := core.origins.records.Find(query.Key)
	plan := core.members.Plan()
	switch {
	case found:
		gateway.answerOrigin(from, query.ID, origin, originRecorded)
	case query.Relayed || plan.Mesh || core.starting(core.now()):
		gateway.answerOriginInferred(from, query)
	default:
		gateway.tasks.Go("relay origin query", func(ctx context.Context) error {
			gateway.relayOriginQuery(ctx, from, query)
			return nil
		})
	}
}

// answerOriginInferred answers a query with what this daemon infers, which may be nothing. The mutex must be held.
func (gateway *Gateway) answerOriginInferred(from string, query *peers.OriginQuery) {
	core := gateway.core
	origin, ok := core.inferredOrigin(core.now(), query.Service)
	source := originUnknown
	switch {
	case ok:
		source = originInferred
	case core.origins.history.Mixed(query.Service):
		source = originSeveral
	}
	gateway.answerOrigin(from, query.ID, origin, source)
}

// relayOriginQuery asks hubs, and answers a query with what they know.
func (gateway *Gateway) relayOriginQuery(ctx context.Context, from string, query *peers.OriginQuery) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	relayed := peers.OriginQuery{Key: query.Key, Service: query.Service, Relayed: core.members.Plan().Role == topology.Candidate}
	origin, source := gateway.queryPeers(ctx, relayedOriginWait, relayed)
	gateway.answerOrigin(from, query.ID, origin, source)
}

// answerOrigin answers a peer's query. The mutex must be held.
func (gateway *Gateway) answerOrigin(to string, id uint64, origin software.Origin, source originSource) {
	peer, ok := gateway.core.members.Peer(to)
	if !ok {
		return // the peer stops waiting by itself
	}
	gateway.send(peer.Address, peers.Message{OriginAnswer: &peers.OriginAnswer{
		ID: id, Origin: origin, Inferred: source == originInferred || source == originSeveral, Found: source == originRecorded || source == originAnswered,
	}})
}
