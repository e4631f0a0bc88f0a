package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
)

// step is a part of the course of a request through this daemon.
type step string

// Steps of a request, in their order.
const (
	stepUnread  step = "unread"  // its last bytes lay in the socket
	stepBody    step = "body"    // its body was read
	stepIntake  step = "intake"  // it waited until this daemon had a processor for it
	stepPlacing step = "placing" // a server was chosen for it, perhaps after a wait
	stepServer  step = "server"  // a server or a peer worked on it
	stepAnswer  step = "answer"  // its answer was passed on
)

// progress holds when a request has passed its steps. A time of 0 means that it has not.
type progress struct {
	unread   clock.Millis // how long its last bytes had been in the socket when its head was read
	head     clock.Millis // when its head was read
	body     clock.Millis // when its body was read
	takenIn  clock.Millis // when this daemon had a processor for it
	sent     clock.Millis // when it was first sent to a server or a peer
	lastSent clock.Millis // when it was last sent
	answered clock.Millis // when the head of the last answer arrived
}

// recordSent records that the request is sent.
func (progress *progress) recordSent(now clock.Millis) {
	progress.lastSent = now
	if progress.sent == 0 {
		progress.sent = now
	}
}

// durations returns how long each step has taken, given the time at which the request ended.
func (progress *progress) durations(ended clock.Millis) map[step]clock.Millis {
	durations := make(map[step]clock.Millis, 6)
	durations[stepUnread] = progress.unread
	began := progress.head
	for _, each := range []struct {
		step step
		end  clock.Millis
	}{{stepBody, progress.body}, {stepIntake, progress.takenIn}, {stepPlacing, progress.sent}, {stepServer, progress.answered}, {stepAnswer, ended}} {
		if each.end == 0 {
			durations[each.step] = ended - began
			return durations
		}
		durations[each.step] = each.end - began
		began = each.end
	}
	return durations
}

// longest returns the step that has taken longest.
func longest(durations map[step]clock.Millis) step {
	return slices.MaxFunc(slices.Sorted(maps.Keys(durations)), func(a, b step) int { return int(durations[a] - durations[b]) })
}

// lateMargin is the time after its deadline from which on the end of a request counts as late.
const lateMargin = 250 * clock.Millisecond

// lateBy returns how long after its deadline a request has ended, or 0 if that is within the margin.
func (job *job) lateBy(ended clock.Millis) clock.Millis {
	if job.deadline == 0 || ended <= job.deadline+lateMargin {
		return 0
	}
	return ended - job.deadline
}

// notableUnread is the time in the socket from which on it is logged: the daemon stood still, or had many requests to read.
const notableUnread = 50 * clock.Millisecond

// lateFields returns the fields of the log line that tell why a request that has ended is late.
func (job *job) lateFields(ended clock.Millis) []any {
	var fields []any
	if job.progress.unread >= notableUnread {
		fields = append(fields, "UnreadMillis", job.progress.unread)
	}
	if late := job.lateBy(ended); late > 0 {
		fields = append(fields, "LateMillis", late, "LateStep", string(longest(job.progress.durations(ended))))
	}
	return fields
}

// recordSteps records how long the steps of a request took, and if it has ended late, which one took longest. The mutex must be held.
func (counters *counters) recordSteps(job *job, ended clock.Millis) {
	durations := job.progress.durations(ended)
	for step, duration := range durations {
		counters.steps.observe(string(step), duration)
	}
	if job.lateBy(ended) > 0 {
		counters.lateEnds[longest(durations)]++
	}
}

// writeSteps writes the metrics of the steps of requests. The mutex must be held.
func (counters *counters) writeSteps(out io.Writer) {
	counters.steps.write(out, "teaselmoor_request_step_millis", "step")
	for _, step := range slices.Sorted(maps.Keys(counters.lateEnds)) {
		_, _ = fmt.Fprintf(out, "teaselmoor_requests_late_total{step=%q} %d\n", step, counters.lateEnds[step])
	}
}
