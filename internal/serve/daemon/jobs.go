package daemon

import (
	"sync"

	"teaselmoor/internal/decide/node"
)

// jobPriority separates jobs that must not wait behind routine requests from the others.
type jobPriority int

const (
	highPriority jobPriority = iota
	lowPriority
	priorityCount
)

// maxConsecutiveHigh is the number of high-priority jobs after which a waiting
// low-priority job is taken next, so that low-priority jobs are delayed but never starved.
const maxConsecutiveHigh = 16

// jobQueue holds the jobs for the worker pool. It is safe for concurrent use.
type jobQueue struct {
	mutex           sync.Mutex // guards jobs, consecutiveHigh, closed
	changed         *sync.Cond
	jobs            [priorityCount][][]node.Event
	consecutiveHigh int // high-priority jobs taken since the last low-priority one
	closed          bool
}

func newJobQueue() *jobQueue {
	queue := &jobQueue{}
	queue.changed = sync.NewCond(&queue.mutex)
	return queue
}

// push adds a job. A job is a list of events with which one worker steps the node in order.
func (queue *jobQueue) push(priority jobPriority, events []node.Event) {
	queue.mutex.Lock()
	queue.jobs[priority] = append(queue.jobs[priority], events)
	queue.mutex.Unlock()
	queue.changed.Signal()
}

// wait blocks until there is a job or the queue is closed, and reports whether the queue
// is open.
func (queue *jobQueue) wait() bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for !queue.closed && len(queue.jobs[highPriority]) == 0 && len(queue.jobs[lowPriority]) == 0 {
		queue.changed.Wait()
	}
	return !queue.closed
}

// take removes the next job and returns it, or nil if there is none. The caller holds the
// node's lock, so that jobs of the same priority are processed in order.
func (queue *jobQueue) take() []node.Event {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	priority, found := queue.nextPriority()
	if !found {
		return nil
	}
	job := queue.jobs[priority][0]
	queue.jobs[priority][0] = nil
	queue.jobs[priority] = queue.jobs[priority][1:]
	return job
}

// nextPriority returns the priority of the next job, or false if there is no job. It counts
// the job in consecutiveHigh, so it is called once for each job that is taken.
func (queue *jobQueue) nextPriority() (jobPriority, bool) {
	hasHigh, hasLow := len(queue.jobs[highPriority]) > 0, len(queue.jobs[lowPriority]) > 0
	if hasHigh && (!hasLow || queue.consecutiveHigh < maxConsecutiveHigh) {
		queue.consecutiveHigh++
		return highPriority, true
	}
	queue.consecutiveHigh = 0
	return lowPriority, hasLow
}

func (queue *jobQueue) close() {
	queue.mutex.Lock()
	queue.closed = true
	queue.mutex.Unlock()
	queue.changed.Broadcast()
}
