package prefill

import (
	"cmp"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
)

// Request is a prompt that waits to be sent to a server.
type Request struct {
	Daemon  string // that asks
	ID      uint64 // unique among the requests of the daemon
	Tokens  int
	Rank    int          // 0 is the most urgent
	Account uint64       // hash of the name of the caller's account; 0: none
	GapGoal clock.Millis // longest pause allowed for streams on this server
	Until   clock.Millis // when the daemon sends it in any case
}

// is reports whether a request has the given identity.
func (request Request) is(daemon string, id uint64) bool {
	return request.ID == id && request.Daemon == daemon
}

// Queue orders the prompts for one server, and grants them at a rate at which the server's
// streams meet their gap goal. Its owner keeps it while it owns the server.
type Queue struct {
	options   Options
	bucket    Bucket
	waiting   []Request // by rank, then Until, then arrival
	surplus   []Request // beyond MostWaiting; granted by the next call of Next
	sent      []Request // sent by their daemons before they were added; not yet in the bucket
	counted   []counted // in the bucket, the oldest first
	fair      *FairOrder
	wasEmpty  bool  // when Next returned last
	overtaken int64 // prompts granted before others of their rank that come first in waiting
}

// counted identifies a request whose tokens are in the bucket.
type counted struct {
	daemon string
	id     uint64
	at     clock.Millis
}

// countedLifetime is how long a request is remembered after its tokens were counted. A prompt whose
// grant came too late is reported when its daemon sends it, after a third of its first-event goal
// at the latest.
const countedLifetime = 2 * clock.Second

// New returns an empty queue.
func New(options Options) *Queue {
	most := 0
	if options.FairAccounts {
		most = options.MostWaiting
	}
	return &Queue{options: options, fair: NewFairOrder(most)}
}

// Add adds a request. One whose Until has passed only counts towards the bucket; if the request is
// waiting, it leaves the queue. A request that is waiting already, or is counted, is ignored.
func (queue *Queue) Add(now clock.Millis, request Request) {
	isSame := func(other Request) bool { return other.is(request.Daemon, request.ID) }
	switch {
	case queue.wasCounted(now, request):
	case request.Until <= now:
		queue.waiting = slices.DeleteFunc(queue.waiting, isSame)
		request.Until = now
		queue.sent = append(queue.sent, request)
	case slices.ContainsFunc(queue.waiting, isSame):
	case len(queue.waiting) >= queue.options.MostWaiting:
		queue.surplus = append(queue.surplus, request)
	default:
		at, _ := slices.BinarySearchFunc(queue.waiting, request, func(other, added Request) int {
			return cmp.Or(cmp.Compare(other.Rank, added.Rank), cmp.Compare(other.Until, added.Until), -1) // behind its equals
		})
		queue.waiting = slices.Insert(queue.waiting, at, request)
	}
}

// wasCounted reports whether the tokens of a request are in the bucket already, or will be with
// the next call of Next.
func (queue *Queue) wasCounted(now clock.Millis, request Request) bool {
	queue.counted = slices.DeleteFunc(queue.counted, func(counted counted) bool { return now-counted.at >= countedLifetime })
	isSame := func(other Request) bool { return other.is(request.Daemon, request.ID) }
	return slices.ContainsFunc(queue.sent, isSame) || slices.ContainsFunc(queue.surplus, isSame) ||
		slices.ContainsFunc(queue.counted, func(counted counted) bool {
			return counted.id == request.ID && counted.daemon == request.Daemon
		})
}

// count adds the tokens of a request to the bucket as of a time, and charges them to its account.
func (queue *Queue) count(now, at clock.Millis, request Request, drain float64) {
	queue.fair.Charge(request)
	queue.bucket = queue.bucket.Add(at, request.Tokens, drain)
	queue.counted = append(queue.counted, counted{daemon: request.Daemon, id: request.ID, at: now})
	queue.counted = queue.counted[max(0, len(queue.counted)-queue.options.MostWaiting):]
}

// Withdraw removes a request that its daemon does not send any more. A request that was granted
// stays counted.
func (queue *Queue) Withdraw(_ clock.Millis, daemon string, id uint64) {
	queue.waiting = slices.DeleteFunc(queue.waiting, func(request Request) bool { return request.is(daemon, id) })
}

// Waiting returns the number of requests in the queue.
func (queue *Queue) Waiting() int {
	return len(queue.waiting)
}

// WaitingByAccount returns the number of requests in the queue by account.
func (queue *Queue) WaitingByAccount() map[uint64]int {
	counts := make(map[uint64]int)
	for _, request := range queue.waiting {
		counts[request.Account]++
	}
	return counts
}

// Overtaken returns how many requests were granted before one of another account and the same rank
// that would have gone first without FairAccounts.
func (queue *Queue) Overtaken() int64 {
	return queue.overtaken
}

// Next returns the requests that may be sent now, and when to call it again unless requests are
// added or withdrawn before; 0: no request is waiting. Requests whose Until has passed leave the
// queue without a grant, as their daemons have sent them.
func (queue *Queue) Next(now clock.Millis, tokensPerMS float64) (granted []Request, wakeAt clock.Millis) {
	drain := queue.options.LeakShare * tokensPerMS
	if queue.wasEmpty && queue.bucket.Level(now, drain) <= 0 {
		queue.fair.Reset()
	}
	queue.countSent(now, drain)
	granted, queue.surplus = queue.surplus, nil
	for _, request := range granted {
		queue.count(now, now, request, drain)
	}
	for len(queue.waiting) > 0 {
		first := queue.fair.First(queue.waiting)
		head := queue.waiting[first]
		if !Fits(queue.bucket.Level(now, drain), head.Tokens, TokenLimit(queue.options.GapShare, head.GapGoal, tokensPerMS)) {
			wakeAt = queue.wakeAt(now, head, tokensPerMS)
			break
		}
		if first > 0 {
			queue.overtaken++
		}
		queue.fair.Advance(queue.waiting[first:first+1], head.Rank)
		queue.count(now, now, head, drain)
		granted = append(granted, head)
		queue.waiting = slices.Delete(queue.waiting, first, first+1)
	}
	queue.wasEmpty = len(queue.waiting) == 0
	return granted, wakeAt
}

// countSent removes the requests whose Until has passed, and adds their tokens to the bucket as
// of the time at which they were sent. An owner that was frozen thus finds their tokens drained
// in part.
func (queue *Queue) countSent(now clock.Millis, drain float64) {
	for _, request := range queue.waiting {
		if request.Until <= now {
			queue.fair.Advance(queue.waiting, request.Rank)
			queue.sent = append(queue.sent, request)
		}
	}
	if len(queue.sent) == 0 {
		return
	}
	queue.waiting = slices.DeleteFunc(queue.waiting, func(request Request) bool { return request.Until <= now })
	slices.SortStableFunc(queue.sent, func(a, b Request) int { return cmp.Compare(a.Until, b.Until) })
	for _, request := range queue.sent {
		queue.count(now, max(request.Until, queue.bucket.at), request, drain)
	}
	queue.sent = nil
}

// wakeAt returns the earlier of the time at which the head, which goes first, fits and the first
// Until.
func (queue *Queue) wakeAt(now clock.Millis, head Request, tokensPerMS float64) clock.Millis {
	at := head.Until
	for _, request := range queue.waiting {
		at = min(at, request.Until)
	}
	drain := queue.options.LeakShare * tokensPerMS
	target := max(0, TokenLimit(queue.options.GapShare, head.GapGoal, tokensPerMS)-float64(head.Tokens))
	left := math.Ceil((queue.bucket.Level(now, drain) - target) / drain)
	if left < float64(at-now) { // false as well if nothing drains
		at = now + max(1, clock.Millis(left))
	}
	return at
}
