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

// Bounds of what is remembered for the measure of load stalls. A map that
// reaches its bound is emptied: some stalls then go uncounted.
const (
	maxLoadEnds = 16384
	maxWaiting  = 65536
)

// Observer derives the counters from a node's events and effects. Safe for
// concurrent use.
type Observer struct {
	metrics *Metrics
	relayed [message.LaneCount]gometrics.Counter
	late    gometrics.Counter

	mutex    sync.Mutex // guards all below
	inFlight map[ident.StreamID]flight
	waiting  map[ident.StreamID]clock.Millis // submission of a request at its owner
	loadEnds map[loadKey]clock.Millis
	config   ConfigTimes
	steps    map[ident.EngineID]owner.Steps // of owned engines, as last reported
}

// ConfigTimes tells how fresh a daemon's configuration is.
type ConfigTimes struct {
	// AcceptedAt is when the configuration in force was accepted.
	AcceptedAt clock.Millis
	// ContactAt is when this daemon, or a peer that it heard from, last had an
	// answer of the configuration service.
	ContactAt clock.Millis
}

// Config returns the times of the configuration; 0 means never.
func (observer *Observer) Config() ConfigTimes {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return observer.config
}

// flight is a request at its entry.
type flight struct {
	arrivedAt clock.Millis
	openedAt  clock.Millis
}

type loadKey struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

// NewObserver returns an observer that counts into the given metrics.
func NewObserver(metrics *Metrics) *Observer {
	observer := &Observer{
		metrics:  metrics,
		late:     metrics.counter(lateFrames),
		inFlight: map[ident.StreamID]flight{},
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

// Relayed counts bytes of an answer sent on a lane.
func (observer *Observer) Relayed(lane message.Lane, bytes int) {
	observer.relayed[lane].Inc(int64(bytes))
}

// LateFrame counts a frame whose stream has ended or moved.
func (observer *Observer) LateFrame() {
	observer.late.Inc(1)
}

// Step takes in one step of the node.
func (observer *Observer) Step(now clock.Millis, event node.Event, effects []effect.Effect) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.event(now, event)
	for _, next := range effects {
		observer.effect(now, next)
	}
}

func (observer *Observer) event(now clock.Millis, event node.Event) {
	switch event := event.(type) {
	case node.RequestArrived:
		observer.inFlight[event.Stream] = flight{arrivedAt: now}
	case node.MessageReceived:
		observer.metrics.counter(messages, label{"direction", "received"}, laneLabel(event.Message.Lane())).Inc(1)
		observer.received(now, event.Message)
	case node.ConfigWatched:
		if event.Result.Cause == "" {
			observer.config.ContactAt = now
		}
	case node.EngineReported:
		observer.steps[event.Engine] = event.Report.Steps
	case node.LoadEnded:
		observer.loadEnded(now, event)
	}
}

func (observer *Observer) received(now clock.Millis, received message.Message) {
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

func (observer *Observer) loadEnded(now clock.Millis, event node.LoadEnded) {
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

func (observer *Observer) effect(now clock.Millis, next effect.Effect) {
	switch next := next.(type) {
	case effect.Answer:
		observer.answer(now, next)
	case effect.ForwardAnswer:
		if opened, found := observer.inFlight[next.Stream]; found && opened.openedAt == 0 {
			opened.openedAt = now
			observer.inFlight[next.Stream] = opened
		}
	case effect.Rebind:
		if moved, found := observer.inFlight[next.From]; found {
			delete(observer.inFlight, next.From)
			observer.inFlight[next.To] = moved
		}
	case effect.StartRun:
		observer.startRun(next)
	case effect.Unload:
		delete(observer.loadEnds, loadKey{next.Engine, next.Adapter})
	case effect.Send:
		observer.metrics.counter(messages, label{"direction", "sent"}, laneLabel(next.Message.Lane())).Inc(1)
		observer.sent(next.Message)
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

// sent forgets requests that wait at this owner no longer: ended ones, and those
// passed on to another owner.
func (observer *Observer) sent(next message.Message) {
	switch sent := next.(type) {
	case message.Ended:
		delete(observer.waiting, sent.Stream)
	case message.Submit:
		delete(observer.waiting, sent.Stream)
	}
}

func (observer *Observer) answer(now clock.Millis, ended effect.Answer) {
	passed := observer.inFlight[ended.Stream]
	delete(observer.inFlight, ended.Stream)
	class := label{"class", ended.Record.Class}
	kind := label{"outcome", string(ended.Outcome.Kind)}
	observer.metrics.counter(requests, class, kind, label{"reason", string(ended.Outcome.Reason)}).Inc(1)
	if passed.arrivedAt != 0 {
		observer.metrics.span(requestSpan, class, kind).add(int64(now - passed.arrivedAt))
	}
	if passed.openedAt != 0 {
		observer.metrics.span(firstChunk, class).add(int64(passed.openedAt - passed.arrivedAt))
	}
}

// startRun measures the load stall: the part of the wait that ended with the
// load of the request's own adapter.
func (observer *Observer) startRun(start effect.StartRun) {
	since, remote := observer.waiting[start.Stream]
	delete(observer.waiting, start.Stream)
	if !remote {
		since = observer.inFlight[start.Stream].arrivedAt
	}
	loadedAt := observer.loadEnds[loadKey{start.Engine, start.Request.Adapter}]
	if since == 0 || start.Resume {
		return
	}
	observer.metrics.span(loadStall, label{"class", start.Request.Class.String()}).add(int64(max(0, loadedAt-since)))
}

// Refused counts a request that was refused before the decision machines saw it.
func (observer *Observer) Refused(refusal outcome.Outcome) {
	observer.metrics.counter(requests, label{"class", ""}, label{"outcome", string(refusal.Kind)},
		label{"reason", string(refusal.Reason)}).Inc(1)
}
