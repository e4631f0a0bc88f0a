package node

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/home"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Spans of the talk with the home of a key.
const (
	// homeAskInterval is the span after which a home that is silent is asked again.
	homeAskInterval = 300 * clock.Millisecond
	// homeSpan is the span after which a silent home is given up.
	homeSpan = 2 * clock.Second
	// finishInterval is the span between two sendings of an outcome to a home.
	finishInterval = 500 * clock.Millisecond
	// finishSpan is the span after which a home is no longer told. Its record
	// then ends as unknown.
	finishSpan = 30 * clock.Second
)

// finish is an outcome that the home of a key has not confirmed.
type finish struct {
	message message.HomeFinish
	key     home.Key
	to      ident.DaemonID
	again   clock.Millis
	until   clock.Millis
}

func (request *request) key() home.Key {
	return home.Key{Key: request.arrived.Key, Caller: request.caller.Name, Region: request.caller.Region}
}

// homeOf returns the daemon that keeps the record of a key.
func (node *Node) homeOf(key home.Key) (ident.DaemonID, bool) {
	if node.vms == nil {
		return "", false
	}
	return home.Of(node.vms, key)
}

// homeEffects passes on the messages of this daemon's home.
func (node *Node) homeEffects(effects []effect.Effect) {
	for _, next := range effects {
		if sent, isSend := next.(effect.Send); isSend {
			node.send(sent.To, sent.Message)
		}
	}
}

// askHome asks the home of the request's key for leave to run it.
func (node *Node) askHome(asking *request) {
	requestTable.Must(&asking.state, askHome)
	asking.askUntil = min(node.now+homeSpan, asking.deadline)
	node.askAgain(asking)
}

// askAgain asks the daemon that is home at present. Asking twice is harmless:
// one attempt has one stream id.
func (node *Node) askAgain(asking *request) {
	asking.askAgain = node.now + homeAskInterval
	keeper, found := node.homeOf(asking.key())
	if !found {
		return
	}
	asking.home = keeper
	node.send(keeper, message.HomeBegin{
		Key: asking.arrived.Key, Caller: asking.caller.Name, Region: asking.caller.Region,
		BodyHash: asking.arrived.BodyHash, Stream: asking.arrived.Stream, IssuedAt: asking.arrived.KeyIssuedAt,
		RequestID: asking.arrived.RequestID, EntryClass: asking.rule.Class,
	})
}

// tickHome asks silent homes again, and gives them up in the end: nothing has
// received the request, so that can be said at once.
func (node *Node) tickHome(waiting *request) {
	switch {
	case waiting.askUntil <= node.now:
		node.answer(waiting, outcome.Refused(outcome.HomeUnreachable, transientRetry))
	case waiting.askAgain <= node.now:
		node.askAgain(waiting)
	}
}

func (node *Node) homeVerdict(from ident.DaemonID, verdict message.HomeDecision) {
	asked, known := node.requests[verdict.Stream]
	if !known || asked.state != requestAtHome {
		if verdict.Granted {
			node.returnGrant(from, verdict)
		}
		return
	}
	if verdict.Granted {
		asked.home = from
		asked.record.Home, asked.record.HomeCopied = from, verdict.Copied
		node.place(asked)
		return
	}
	if verdict.Outcome.Reason == outcome.HomeUnreachable {
		return // that daemon does not act as home; another may at the next try
	}
	asked.replay = verdict.Stored
	asked.home = ""
	node.answer(asked, verdict.Outcome)
}

// returnGrant frees a key that was granted after its request had been given up.
// A verdict that merely came twice frees nothing: the request still runs, or its
// outcome is on its way to the home. Nor does one for an earlier life of this
// daemon, which alone knew what became of the request.
func (node *Node) returnGrant(from ident.DaemonID, verdict message.HomeDecision) {
	if verdict.Stream.Incarnation != node.options.Incarnation || node.finishes[verdict.Stream] != nil || node.runs(verdict.Stream) {
		return
	}
	node.send(from, message.HomeFinish{
		Key: verdict.Key, Stream: verdict.Stream, Outcome: outcome.Refused(outcome.CallerGone, 0),
	})
}

// runs reports whether a request is open that began under the stream.
func (node *Node) runs(first ident.StreamID) bool {
	for _, open := range node.requests {
		if open.arrived.Stream == first {
			return true
		}
	}
	return false
}

// tellHome reports an outcome to the home that was asked, until it confirms.
func (node *Node) tellHome(ended *request, final outcome.Outcome) {
	if ended.home == "" {
		return
	}
	told := &finish{
		message: message.HomeFinish{
			Key: ended.arrived.Key, Stream: ended.arrived.Stream, Outcome: final, Stored: ended.content,
		},
		key: ended.key(), to: ended.home, until: node.now + finishSpan,
	}
	node.finishes[ended.arrived.Stream] = told
	node.sendFinish(told)
}

func (node *Node) sendFinish(told *finish) {
	told.again = node.now + finishInterval
	if _, listed := node.vms.Daemon(told.to); !listed {
		if next, found := node.homeOf(told.key); found {
			told.to = next
		}
	}
	node.send(told.to, told.message)
}

func (node *Node) homeFinished(confirmed message.HomeFinished) {
	delete(node.finishes, confirmed.Stream)
}

func (node *Node) tickFinishes() {
	for _, stream := range slices.SortedFunc(maps.Keys(node.finishes), ident.StreamID.Compare) {
		told := node.finishes[stream]
		switch {
		case told.until <= node.now:
			delete(node.finishes, stream)
		case told.again <= node.now:
			node.sendFinish(told)
		}
	}
}
