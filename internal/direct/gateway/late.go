package gateway

import (
	"fmt"
	"io"
	"math"
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/late"
)

// conditions returns what this daemon knows of the engine that a stream comes from. It is called for
// each event, as only the next one shows whether the pause between them is the longest.
func (core *core) conditions(now clock.Millis, job *job, to assignment) late.Conditions {
	if !job.engine || to.peer != "" {
		return late.Conditions{}
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return late.Conditions{Known: true, PromptTokens: core.work.Load(to.server.ID).Reading, Speed: core.speedFactor(now, to.server.ID)}
}

// lateCause returns why a job's stream is late.
func (job *job) lateCause() late.Cause {
	return job.stream.Cause(job.arrived, job.goals())
}

func (job *job) goals() late.Goals {
	return late.Goals{First: job.route.Goal, Gap: job.route.GapGoal}
}

// endStream ends the last pause of a stream that ends before its last event, and returns the log
// fields of the stream. The result is empty if the answer is not a stream or has no event.
func (job *job) endStream(now clock.Millis, reason ending.Reason) []any {
	if job.stream.FirstAt == 0 {
		return nil
	}
	if reason != ending.Complete {
		job.stream.Break(now)
	}
	fields := []any{"FirstMillis", job.stream.FirstAt - job.arrived, "GapMillis", job.stream.LongestPause}
	if conditions := job.stream.Conditions; conditions.Known {
		fields = append(fields, "PauseTokens", conditions.PromptTokens, "PauseSpeedHundredths", int(math.Round(conditions.Speed*100)))
	}
	if cause := job.lateCause(); cause != late.OnTime {
		goals := job.goals()
		fields = append(fields, "Late", string(cause), "GoalMillis", goals.First, "GapGoalMillis", goals.Gap)
	}
	return fields
}

// recordStream counts a stream that has ended, and records the prompts during its longest pause. The
// mutex must be held.
func (counters *counters) recordStream(job *job) {
	cause := job.lateCause()
	counters.late.Add(job.service, job.rank, cause)
	if conditions := job.stream.Conditions; conditions.Known {
		paused := cause == late.Pause || cause == late.Both
		counters.pauseTokens.record(strconv.FormatBool(paused), int64(conditions.PromptTokens))
	}
}

// writeStreams writes the metrics of streams. The mutex must be held.
func (counters *counters) writeStreams(out io.Writer) {
	for _, count := range counters.late.All() {
		_, _ = fmt.Fprintf(out, "teaselmoor_streams_total{service=%q,rank=\"%d\"} %d\n", count.Service, count.Rank, count.Streams)
		for _, cause := range late.Causes() {
			_, _ = fmt.Fprintf(out, "teaselmoor_late_streams_total{service=%q,rank=\"%d\",cause=%q} %d\n", count.Service, count.Rank, cause, count.Late[cause])
		}
	}
	counters.pauseTokens.write(out, "teaselmoor_pause_prompt_tokens", "late")
}
