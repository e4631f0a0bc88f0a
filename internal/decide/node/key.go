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

// Timing of the exchange with the home of a key.
const (
	// homeRetryInterval is how long the entry waits for a reply before it asks the
	// home again.
	homeRetryInterval = 300 * clock.Millisecond
	// homeTimeout is how long the entry waits for the home in all.
	homeTimeout = 2 * clock.Second
	// finishResendInterval is the time after which an unconfirmed outcome is sent to
	// the home again.
	finishResendInterval = 500 * clock.Millisecond
	// finishTimeout is how long an unconfirmed outcome is resent. After it, the
	// home's record ends as unknown.
	finishTimeout = 30 * clock.Second
)

// pendingFinish is an outcome that the home of its key has not confirmed yet.
type pendingFinish struct {
	message   message.HomeFinish
	key       home.Key
	to        ident.DaemonID
	resendAt  clock.Millis
	expiresAt clock.Millis
}

func (request *request) key() home.Key {
	return home.Key{Key: request.arrival.Key, Caller: request.caller.Name, Region: request.caller.Region}
}

// homeOf returns the daemon that keeps the record of a key.
func (node *Node) homeOf(key home.Key) (ident.DaemonID, bool) {
	if node.vms == nil {
		return "", false
	}
	return home.Of(node.vms, key)
}

// homeEffects sends the messages of this daemon's home role.
func (node *Node) homeEffects(effects []effect.Effect) {
	for _, next := range effects {
		if send, isSend := next.(effect.Send); isSend {
			node.send(send.To, send.Message)
		}
	}
}

// askHome asks the home of the request's key for permission to run the request.
func (node *Node) askHome(request *request) {
	requestTable.MustApply(&request.state, askHome)
	request.homeDeadline = min(node.now+homeTimeout, request.deadline)
	node.sendHomeBegin(request)
}

// sendHomeBegin asks the daemon that is the key's home now. Repeating the message
// is harmless, because the stream id identifies the attempt.
func (node *Node) sendHomeBegin(request *request) {
	request.homeRetryAt = node.now + homeRetryInterval
	homeDaemon, found := node.homeOf(request.key())
	if !found {
		return
	}
	request.home = homeDaemon
	node.send(homeDaemon, message.HomeBegin{
		Key: request.arrival.Key, Caller: request.caller.Name, Region: request.caller.Region,
		BodyHash: request.arrival.BodyHash, Stream: request.arrival.Stream, IssuedAt: request.arrival.KeyIssuedAt,
		RequestID: request.arrival.RequestID, EntryClass: request.rule.Class,
	})
}

// tickHome asks a silent home again, and refuses the request after the timeout: no
// engine or service has received it.
func (node *Node) tickHome(request *request) {
	switch {
	case request.homeDeadline <= node.now:
		node.answer(request, outcome.Refused(outcome.HomeUnreachable, transientRetryDelay))
	case request.homeRetryAt <= node.now:
		node.sendHomeBegin(request)
	}
}

func (node *Node) homeDecided(from ident.DaemonID, decision message.HomeDecision) {
	request, known := node.requests[decision.Stream]
	if !known || request.state != requestAwaitingHome {
		if decision.Granted {
			node.releaseUnusedGrant(from, decision)
		}
		return
	}
	if decision.Granted {
		request.home = from
		request.record.Home, request.record.HomeCopied = from, decision.Copied
		node.place(request)
		return
	}
	if decision.Outcome.Reason == outcome.HomeUnreachable {
		return // that daemon is not the key's home; the next try may reach another
	}
	request.storedAnswer = decision.Stored
	request.home = ""
	node.answer(request, decision.Outcome)
}

// releaseUnusedGrant releases a key that was granted after its request had ended.
// It does nothing for a duplicate decision, whose request is still open or whose
// outcome is being sent to the home, nor for a decision for an earlier incarnation of
// this daemon, because only that incarnation knew whether the request ran.
func (node *Node) releaseUnusedGrant(from ident.DaemonID, decision message.HomeDecision) {
	if decision.Stream.Incarnation != node.options.Incarnation || node.pendingFinishes[decision.Stream] != nil || node.hasOpenRequest(decision.Stream) {
		return
	}
	node.send(from, message.HomeFinish{
		Key: decision.Key, Stream: decision.Stream, Outcome: outcome.Refused(outcome.CallerGone, 0),
	})
}

// hasOpenRequest reports whether a request whose first attempt had the stream id is
// still open.
func (node *Node) hasOpenRequest(firstStream ident.StreamID) bool {
	for _, request := range node.requests {
		if request.arrival.Stream == firstStream {
			return true
		}
	}
	return false
}

// reportToHome sends an outcome to the home that granted the key, until the home
// confirms it.
func (node *Node) reportToHome(request *request, final outcome.Outcome) {
	if request.home == "" {
		return
	}
	finish := &pendingFinish{
		message: message.HomeFinish{
			Key: request.arrival.Key, Stream: request.arrival.Stream, Outcome: final, Stored: request.contentForHome,
		},
		key: request.key(), to: request.home, expiresAt: node.now + finishTimeout,
	}
	node.pendingFinishes[request.arrival.Stream] = finish
	node.sendFinish(finish)
}

func (node *Node) sendFinish(finish *pendingFinish) {
	finish.resendAt = node.now + finishResendInterval
	if _, listed := node.vms.Daemon(finish.to); !listed {
		if next, found := node.homeOf(finish.key); found {
			finish.to = next
		}
	}
	node.send(finish.to, finish.message)
}

func (node *Node) homeFinished(confirmed message.HomeFinished) {
	delete(node.pendingFinishes, confirmed.Stream)
}

func (node *Node) tickFinishes() {
	for _, stream := range slices.SortedFunc(maps.Keys(node.pendingFinishes), ident.StreamID.Compare) {
		finish := node.pendingFinishes[stream]
		switch {
		case finish.expiresAt <= node.now:
			delete(node.pendingFinishes, stream)
		case finish.resendAt <= node.now:
			node.sendFinish(finish)
		}
	}
}
