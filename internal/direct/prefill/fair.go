package prefill

import "maps"

// FairOrder orders the waiting prompts of a rank by start-time fair queueing over the accounts of
// callers, in tokens. The first prompt of an account starts at the later of the virtual time of its
// rank and the end of the account's previous prompt there, and ends its tokens later; the prompt
// with the lowest start goes first. All accounts have the same weight. An account's own prompts, and
// prompts that start together, keep the order in which they are given, so prompts of a single
// account are not reordered.
//
// Starts are not stored: the virtual time never passes the start of a waiting prompt, so a start is
// the same when it is computed on arrival and when the prompt is admitted. A prompt that is withdrawn
// therefore costs its account nothing.
type FairOrder struct {
	most    int            // maximum number of ends; 0: the order is not changed
	virtual map[int]int64  // by rank, in tokens
	ends    map[flow]int64 // of the last prompt that was sent
}

// flow identifies the prompts of an account in a rank.
type flow struct {
	rank    int
	account uint64
}

// NewFairOrder returns an order without state, which keeps the ends of at most the given number of
// accounts and ranks. With 0 it changes nothing.
func NewFairOrder(most int) *FairOrder {
	return &FairOrder{most: most, virtual: make(map[int]int64), ends: make(map[flow]int64)}
}

// start returns the start of the first waiting prompt of a request's account.
func (fairOrder *FairOrder) start(request Request) int64 {
	return max(fairOrder.virtual[request.Rank], fairOrder.ends[flow{request.Rank, request.Account}])
}

// lowest returns the first of the prompts of a rank that have the lowest start, and its start. The
// prompts of the rank must begin at an index.
func (fairOrder *FairOrder) lowest(waiting []Request, from int) (int, int64) {
	rank, at, lowest := waiting[from].Rank, from, fairOrder.start(waiting[from])
	virtual := fairOrder.virtual[rank]
	for i := from + 1; i < len(waiting) && waiting[i].Rank == rank && lowest > virtual; i++ {
		if start := fairOrder.start(waiting[i]); start < lowest {
			at, lowest = i, start
		}
	}
	return at, lowest
}

// First returns the index of the prompt that goes first. The prompts, at least one, are ordered by
// rank, then by the order to keep.
func (fairOrder *FairOrder) First(waiting []Request) int {
	at, _ := fairOrder.lowest(waiting, 0)
	return at
}

// Advance moves the virtual time of a rank to the lowest start of its waiting prompts. It is called
// before one of them leaves the queue to be sent.
func (fairOrder *FairOrder) Advance(waiting []Request, rank int) {
	for i, request := range waiting {
		if request.Rank == rank {
			_, start := fairOrder.lowest(waiting, i)
			fairOrder.virtual[rank] = start
			return
		}
	}
}

// Charge charges the tokens of a prompt that is sent to its account.
func (fairOrder *FairOrder) Charge(request Request) {
	if fairOrder.most <= 0 {
		return
	}
	// A prompt of unknown size counts as one token, so that its account does not stay first.
	fairOrder.ends[flow{request.Rank, request.Account}] = fairOrder.start(request) + int64(max(1, request.Tokens))
	if len(fairOrder.ends) > fairOrder.most {
		fairOrder.prune()
	}
}

// prune drops the ends that the virtual time has passed, which have no effect, and if all are left,
// the one that has the least.
func (fairOrder *FairOrder) prune() {
	var first flow
	lowest := int64(-1)
	maps.DeleteFunc(fairOrder.ends, func(flow flow, end int64) bool {
		lead := end - fairOrder.virtual[flow.rank]
		if lead > 0 && (lowest < 0 || lead < lowest) {
			first, lowest = flow, lead
		}
		return lead <= 0
	})
	if len(fairOrder.ends) > fairOrder.most {
		delete(fairOrder.ends, first)
	}
}

// Accounts returns the number of accounts and ranks of which the end is kept.
func (fairOrder *FairOrder) Accounts() int {
	return len(fairOrder.ends)
}

// Reset drops all state.
func (fairOrder *FairOrder) Reset() {
	clear(fairOrder.virtual)
	clear(fairOrder.ends)
}
