package daemon

import (
	"sync"

	"teaselmoor/internal/decide/node"
)

// jobLane separates work that must not wait behind routine requests.
type jobLane int

const (
	promptLane jobLane = iota
	routineLane
	laneCount
)

// routineFloor is the number of prompt jobs after which a waiting routine job
// goes next, so that routine work is late but never starved.
const routineFloor = 16

// jobQueue feeds the worker pool. Safe for concurrent use.
type jobQueue struct {
	mutex  sync.Mutex // guards lanes, passed, closed
	filled *sync.Cond
	lanes  [laneCount][][]node.Event
	passed int // prompt jobs taken since the last routine one
	closed bool
}

func newJobQueue() *jobQueue {
	queue := &jobQueue{}
	queue.filled = sync.NewCond(&queue.mutex)
	return queue
}

// push adds a job: events that one worker steps in order.
func (queue *jobQueue) push(lane jobLane, events []node.Event) {
	queue.mutex.Lock()
	queue.lanes[lane] = append(queue.lanes[lane], events)
	queue.mutex.Unlock()
	queue.filled.Signal()
}

// wait waits for a job; it reports false once the queue is closed.
func (queue *jobQueue) wait() bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for !queue.closed && len(queue.lanes[promptLane]) == 0 && len(queue.lanes[routineLane]) == 0 {
		queue.filled.Wait()
	}
	return !queue.closed
}

// take removes the next job; there may be none left. The caller holds the
// node's lock, so that the jobs of a lane are stepped in their order.
func (queue *jobQueue) take() []node.Event {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	lane, found := queue.nextLane()
	if !found {
		return nil
	}
	job := queue.lanes[lane][0]
	queue.lanes[lane][0] = nil
	queue.lanes[lane] = queue.lanes[lane][1:]
	return job
}

func (queue *jobQueue) nextLane() (jobLane, bool) {
	hasPrompt, hasRoutine := len(queue.lanes[promptLane]) > 0, len(queue.lanes[routineLane]) > 0
	if hasPrompt && (!hasRoutine || queue.passed < routineFloor) {
		queue.passed++
		return promptLane, true
	}
	queue.passed = 0
	return routineLane, hasRoutine
}

func (queue *jobQueue) close() {
	queue.mutex.Lock()
	queue.closed = true
	queue.mutex.Unlock()
	queue.filled.Broadcast()
}
