package gateway

import (
	"context"

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
	pending  map[string]bool          // peers that have not answered
	inferred map[software.Origin]bool // what peers infer that have not recorded the stream; zero: the service has had several versions
	found    *software.Origin         // what a peer has recorded
	done     chan struct{}            // closed when the answer is known
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
		clear(originQuery.pending)
	case answer.Inferred:
		originQuery.inferred[answer.Origin] = true
	}
	if len(originQuery.pending) == 0 {
		close(originQuery.done)
	}
}

// askOrigin asks peers what began the stream that a request continues. The mutex must be held; it is released during
// the wait.
func (gateway *Gateway) askOrigin(ctx context.Context, job *job) (software.Origin, originSource) {
	ctx, cancel := context.WithTimeout(ctx, originWait.Duration())
	defer cancel()
	return gateway.queryPeers(ctx, peers.OriginQuery{Key: software.KeyOf(job.streamAttempt()), Service: job.service})
}

// queryPeers asks all linked peers, and returns what they and this daemon know. The mutex must be held; it is released
// during the wait.
func (gateway *Gateway) queryPeers(ctx context.Context, message peers.OriginQuery) (software.Origin, originSource) {
	core := gateway.core
	query := &originQuery{pending: make(map[string]bool), inferred: make(map[software.Origin]bool), done: make(chan struct{})}
	if inferred, ok := core.inferredOrigin(core.now(), message.Service); ok {
		query.inferred[inferred] = true
	}
	if len(core.origins.queries) >= maxOriginQueries || !core.origins.limiter.Allow(core.now()) {
		return query.answer()
	}
	core.origins.lastID++
	message.ID = core.origins.lastID
	for _, peer := range core.members.Plan().Links {
		if gateway.send(peer.Address, peers.Message{OriginQuery: &message}) {
			query.pending[peer.Name] = true
		}
	}
	if len(query.pending) == 0 {
		return query.answer()
	}
	core.origins.queries[message.ID] = query
	core.mutex.Unlock()
	select {
	case <-query.done:
	case <-ctx.Done():
	}
	core.mutex.Lock()
	delete(core.origins.queries, message.ID)
	if core.origins.history.Mixed(message.Service) {
		query.inferred[software.Origin{}] = true // whatever peers infer that do not know all versions yet
	}
	return query.answer()
}

// handleOriginAnswer applies a peer's answer to a query of this daemon.
func (core *core) handleOriginAnswer(from string, answer *peers.OriginAnswer) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if query, ok := core.origins.queries[answer.ID]; ok {
		query.apply(from, answer)
	}
}

// handleOriginQuery answers a peer's query. A hub that does not know asks the other hubs first.
func (gateway *Gateway) handleOriginQuery(from string, query *peers.OriginQuery) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	origin, found := core.origins.records.Find(query.Key)
	plan := core.members.Plan()
	switch {
	case found:
		gateway.answerOrigin(from, query.ID, origin, originRecorded)
	case query.Relayed || plan.Mesh || plan.Role != topology.Candidate:
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

// relayOriginQuery asks the other hubs, and answers a query with what they know.
func (gateway *Gateway) relayOriginQuery(ctx context.Context, from string, query *peers.OriginQuery) {
	ctx, cancel := context.WithTimeout(ctx, relayedOriginWait.Duration())
	defer cancel()
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	origin, source := gateway.queryPeers(ctx, peers.OriginQuery{Key: query.Key, Service: query.Service, Relayed: true})
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
