package metrics

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

// Limits on the entries kept to measure load stalls. A map that reaches its limit
// is cleared, so that some stalls are recorded as 0 or not at all.
const (
	maxLoadEnds = 16384 // adapter loads
	maxWaiting  = 65536 // requests
)

// Observer updates the counters of a daemon from its node's events and effects. It
// is safe for concurrent use.
type Observer struct {
	metrics *Metrics
	relayed [message.LaneCount]gometrics.Counter
	late    gometrics.Counter

	mutex    sync.Mutex // guards all below
	inFlight map[ident.StreamID]inFlightRequest
	waiting  map[ident.StreamID]clock.Millis // when requests of other daemons were submitted to this owner
	loadEnds map[loadKey]clock.Millis        // when adapters were last loaded
	config   ConfigTimes
	steps    map[ident.EngineID]owner.Steps // of owned engines, as last reported
}

// ConfigTimes holds the times from which the age of a daemon's configuration is
// computed.
type ConfigTimes struct {
	// AcceptedAt is when the configuration in force was accepted.
	AcceptedAt clock.Millis
	// ContactAt is when this daemon last received an answer of the configuration
	// service, or a peer's report that the service had answered the peer.
	ContactAt clock.Millis
}

// ConfigTimes returns the times of the configuration. A time of 0 means never.
func (observer *Observer) ConfigTimes() ConfigTimes {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return observer.config
}

// inFlightRequest is a request in progress at its entry.
type inFlightRequest struct {
	arrivedAt  clock.Millis
	answeredAt clock.Millis // start of the answer, 0 before
}

// loadKey identifies an adapter at an engine.
type loadKey struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

// NewObserver returns an observer that counts into the given metrics.
func NewObserver(metrics *Metrics) *Observer {
	observer := &Observer{
		metrics:  metrics,
		late:     metrics.counter(lateFrames),
		inFlight: map[ident.StreamID]inFlightRequest{},
		waiting:  map[ident.StreamID]clock.Millis{},
		loadEnds: map[loadKey]clock.Millis{},
		steps:    map[ident.EngineID]owner.Steps{},
	}
	for lane := range message.LaneCount {
		observer.relayed[lane] = metrics.counter(relayed, laneLabel(lane))
	}
	return observer
}

func laneLabel(lane message.Lane) label {
	names := map[message.Lane]string{
		message.ControlLane: "control", message.UrgentLane: "urgent", message.RoutineLane: "routine",
	}
	return label{"lane", names[lane]}
}

// CountRelayed counts bytes of an answer sent on a lane.
func (observer *Observer) CountRelayed(lane message.Lane, bytes int) {
	observer.relayed[lane].Inc(int64(bytes))
}

// CountLateFrame counts a frame that was dropped because its stream had ended or moved.
func (observer *Observer) CountLateFrame() {
	observer.late.Inc(1)
}

// Step updates the counters from one step of the node: an event and the effects
// that it led to.
func (observer *Observer) Step(now clock.Millis, event node.Event, effects []effect.Effect) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.countEvent(now, event)
	for _, next := range effects {
		observer.countEffect(now, next)
	}
}

func (observer *Observer) countEvent(now clock.Millis, event node.Event) {
	switch event := event.(type) {
	case node.RequestArrived:
		observer.inFlight[event.Stream] = inFlightRequest{arrivedAt: now}
	case node.MessageReceived:
		observer.metrics.counter(messages, label{"direction", "received"}, laneLabel(event.Message.Lane())).Inc(1)
		observer.recordReceived(now, event.Message)
	case node.ConfigWatched:
		if event.Result.Cause == "" {
			observer.config.ContactAt = now
		}
	case node.EngineReported:
		observer.steps[event.Engine] = event.Report.Steps
	case node.LoadEnded:
		observer.recordLoadEnd(now, event)
	}
}

// recordReceived records when a request was submitted to this owner, and when a peer
// reported that the configuration service had answered it.
func (observer *Observer) recordReceived(now clock.Millis, received message.Message) {
	switch received := received.(type) {
	case message.Submit:
		if len(observer.waiting) >= maxWaiting {
			clear(observer.waiting)
		}
		observer.waiting[received.Stream] = now
	case message.ConfigOffer:
		if received.Contact {
			observer.config.ContactAt = now
		}
	}
}

func (observer *Observer) recordLoadEnd(now clock.Millis, event node.LoadEnded) {
	if event.Failed {
		observer.metrics.counter(loads, label{"result", "failed"}).Inc(1)
		return
	}
	observer.metrics.counter(loads, label{"result", "done"}).Inc(1)
	if len(observer.loadEnds) >= maxLoadEnds {
		clear(observer.loadEnds)
	}
	observer.loadEnds[loadKey{event.Engine, event.Adapter}] = now
}

func (observer *Observer) countEffect(now clock.Millis, next effect.Effect) {
	switch next := next.(type) {
	case effect.Answer:
		observer.recordAnswer(now, next)
	case effect.ForwardAnswer:
		if request, found := observer.inFlight[next.Stream]; found && request.answeredAt == 0 {
			request.answeredAt = now
			observer.inFlight[next.Stream] = request
		}
	case effect.Rebind:
		if request, found := observer.inFlight[next.From]; found {
			delete(observer.inFlight, next.From)
			observer.inFlight[next.To] = request
		}
	case effect.StartRun:
		observer.recordLoadStall(next)
	case effect.Unload:
		delete(observer.loadEnds, loadKey{next.Engine, next.Adapter})
	case effect.Send:
		observer.metrics.counter(messages, label{"direction", "sent"}, laneLabel(next.Message.Lane())).Inc(1)
		observer.forgetSent(next.Message)
	case effect.Audit:
		observer.metrics.counter(changes, label{"kind", string(next.Kind)}).Inc(1)
		switch next.Kind {
		case effect.ConfigAccepted:
			observer.config.AcceptedAt = now
		case effect.OwnershipReleased:
			delete(observer.steps, ident.EngineID(next.Object))
		}
	}
}

// forgetSent removes the requests that no longer wait at this owner, because they ended
// or were forwarded to another owner.
func (observer *Observer) forgetSent(next message.Message) {
	switch sent := next.(type) {
	case message.Ended:
		delete(observer.waiting, sent.Stream)
	case message.Submit:
		delete(observer.waiting, sent.Stream)
	}
}

// recordAnswer counts a request that ended at its entry.
func (observer *Observer) recordAnswer(now clock.Millis, ended effect.Answer) {
	request := observer.inFlight[ended.Stream]
	delete(observer.inFlight, ended.Stream)
	class := label{"class", ended.Record.Class}
	kind := label{"outcome", string(ended.Outcome.Kind)}
	observer.metrics.counter(requests, class, kind, label{"reason", string(ended.Outcome.Reason)}).Inc(1)
	if request.arrivedAt != 0 {
		observer.metrics.histogram(requestDuration, class, kind).record(int64(now - request.arrivedAt))
	}
	if request.answeredAt != 0 {
		observer.metrics.histogram(firstChunk, class).record(int64(request.answeredAt - request.arrivedAt))
	}
}

// recordLoadStall records the load stall of a request: the time from its arrival to the end
// of the load of its adapter, or 0 if the adapter was loaded before. The arrival is
// that at this owner, or at the entry if both are this daemon. Resumed runs are not
// recorded.
func (observer *Observer) recordLoadStall(start effect.StartRun) {
	since, remote := observer.waiting[start.Stream]
	delete(observer.waiting, start.Stream)
	if !remote {
		since = observer.inFlight[start.Stream].arrivedAt
	}
	loadedAt := observer.loadEnds[loadKey{start.Engine, start.Request.Adapter}]
	if since == 0 || start.Resume {
		return
	}
	observer.metrics.histogram(loadStall, label{"class", start.Request.Class.String()}).record(int64(max(0, loadedAt-since)))
}

// CountRefused counts a request that was refused before it reached the node.
func (observer *Observer) CountRefused(refusal outcome.Outcome) {
	observer.metrics.counter(requests, label{"class", ""}, label{"outcome", string(refusal.Kind)},
		label{"reason", string(refusal.Reason)}).Inc(1)
}
