package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/upstream"
)

// keptBudget bounds the part of the account of what callers make this daemon hold that answers may take: the bytes of answers that it keeps in
// memory at a time, over all requests.
type keptBudget struct {
	limit int64
	taken atomic.Int64
}

const (
	// keptShare is the share of the daemon's memory that answers may take.
	keptShare = 1.0 / 16
	// minKeptBytes is the budget of a daemon whose memory is small or not known.
	minKeptBytes = 4 << 20
	// freeKeptBytes is the part of each answer that does not count towards the budget.
	freeKeptBytes = 16 << 10
)

// newKeptBudget returns the budget of a daemon with the given memory.
func newKeptBudget(memoryMB int64) *keptBudget {
	return &keptBudget{limit: max(minKeptBytes, int64(keptShare*float64(memoryMB<<20)))}
}

// keptBytes is a buffer with a part of an answer. Its capacity beyond freeKeptBytes counts towards a budget until release is called.
type keptBytes struct {
	bytes   []byte
	budget  *keptBudget
	hold    *footprint.Hold
	counted int64
}

// grow makes room for further bytes, and reports whether the budget and the limit of the buffer's capacity allow it.
func (keptBytes *keptBytes) grow(limit int) bool {
	if len(keptBytes.bytes) < cap(keptBytes.bytes) {
		return true
	}
	capacity := min(limit, max(eventBuffer, 2*cap(keptBytes.bytes)))
	if capacity <= cap(keptBytes.bytes) {
		return false
	}
	added := int64(max(0, capacity-freeKeptBytes)) - keptBytes.counted
	if added > 0 && !keptBytes.count(added) {
		return false
	}
	keptBytes.counted += added
	grown := make([]byte, len(keptBytes.bytes), capacity)
	copy(grown, keptBytes.bytes)
	keptBytes.bytes = grown
	return true
}

// count counts bytes towards the budget and the account, and reports whether both allow it.
func (keptBytes *keptBytes) count(added int64) bool {
	if keptBytes.budget.taken.Add(added) <= keptBytes.budget.limit && keptBytes.hold.GrowAnswer(added) {
		return true
	}
	keptBytes.budget.taken.Add(-added)
	return false
}

// read reads once into the room that there is.
func (keptBytes *keptBytes) read(from io.Reader) error {
	size, err := from.Read(keptBytes.bytes[len(keptBytes.bytes):cap(keptBytes.bytes)])
	keptBytes.bytes = keptBytes.bytes[:len(keptBytes.bytes)+size]
	return err
}

// release takes the buffer out of the budget. It must no longer be used.
func (keptBytes *keptBytes) release() {
	keptBytes.budget.taken.Add(-keptBytes.counted)
	keptBytes.hold.Release(keptBytes.counted)
	keptBytes.bytes, keptBytes.counted = nil, 0
}

// readStart reads an answer as far as the limit and the budget allow, and reports whether it has ended. The caller must release
// what was read.
func (gateway *Gateway) readStart(job *job, answer *upstream.Answer, limit int) (start *keptBytes, ended bool, err error) {
	start = &keptBytes{budget: gateway.kept, hold: job.hold}
	for start.grow(limit) {
		err = start.read(answer.Body)
		if errors.Is(err, io.EOF) {
			return start, true, nil
		}
		if err != nil {
			return start, false, err
		}
	}
	return start, false, nil
}
