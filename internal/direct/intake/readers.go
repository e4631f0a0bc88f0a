package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// Readers lets requests be read in batches while the daemon is congested. The rest of a crowd stays in the kernel, where a request costs
// no processor. Between two batches the processors turn to the requests that have been taken in, for half as long as the batch took: only when
// no goroutine can run does the scheduler look at once for connections that have become readable or writable.
type Readers struct {
	batch    int
	pause    time.Duration
	maxPause time.Duration
	intake   *Intake
	reading  atomic.Int64 // requests that are read

	turn  sync.Mutex // held by the request that waits to be read next; guards the fields below
	begun int        // requests of the present batch
	since time.Time  // start of the batch
}

// NewReaders returns Readers for a number of processors, of requests that enter an Intake once they have been read.
func NewReaders(options Options, processors int, intake *Intake) *Readers {
	return &Readers{
		batch: options.Readers * max(1, processors), pause: options.ReadPause.Duration(), maxPause: options.MaxReadPause.Duration(), intake: intake,
	}
}

// Acquire waits until a request may be read.
func (readers *Readers) Acquire() {
	readers.turn.Lock()
	defer readers.turn.Unlock()
	if !readers.intake.Congested() && readers.reading.Load() < int64(readers.batch) {
		readers.begun = 0
	}
	if readers.begun >= readers.batch {
		readers.rest()
	}
	if readers.begun == 0 {
		readers.since = time.Now()
	}
	readers.begun++
	readers.reading.Add(1)
}

// rest waits until the batch has been read, and then half as long as that took. The mutex turn must be held.
func (readers *Readers) rest() {
	for readers.reading.Load() > 0 && time.Since(readers.since) < readers.maxPause {
		time.Sleep(readers.pause)
	}
	time.Sleep(min(max(readers.pause, time.Since(readers.since)/2), readers.maxPause))
	readers.begun = 0
}

// Release records that a request has been read. It must be called once for each call of Acquire.
func (readers *Readers) Release() {
	readers.reading.Add(-1)
}
