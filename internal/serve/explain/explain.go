// Package explain renders the decision record of a refused request as text for one of three
// audiences. It uses nothing but the record, because VMs have no persistent storage and the
// daemon that made the decision may no longer exist.
//
// For a member, the text states what happened and what to do. For an employer, who runs the
// calling systems, it also states which rule applied and whether the request may be run more
// than once. For a regulator, it states everything on which the decision was based.
package explain

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/outcome"
)

// Audience is the kind of reader for whom an explanation is written.
type Audience string

// The audiences, in order of increasing detail.
const (
	Member    Audience = "member"
	Employer  Audience = "employer"
	Regulator Audience = "regulator"
)

// ParseAudience parses the name of an audience.
func ParseAudience(text string) (Audience, error) {
	switch audience := Audience(text); audience {
	case Member, Employer, Regulator:
		return audience, nil
	}
	return "", errors.Errorf("audience %q: want member, employer or regulator", text)
}

// Render returns the explanation of a record in paragraphs of plain text.
func Render(record outcome.Record, audience Audience) string {
	paragraphs := []string{describeRequest(record), record.Lateness, describeExecution(record), describeNextStep(record)}
	if audience != Member {
		paragraphs = append(paragraphs, describeRule(record), describeRepeatability(record))
	}
	if audience == Regulator {
		paragraphs = append(paragraphs, describeDecision(record), describeHome(record), describeCandidates(record), describeAttempts(record), describeCode(record))
	}
	var written []string
	for _, paragraph := range paragraphs {
		if paragraph != "" {
			written = append(written, paragraph)
		}
	}
	return strings.Join(written, "\n\n") + "\n"
}

const timeLayout = "2 January 2006 at 15:04:05 UTC"

func formatTime(millis clock.Millis) string {
	return millis.Time().Format(timeLayout)
}

// describeRequest states the time of the request, what it addressed and how it ended.
func describeRequest(record outcome.Record) string {
	text := fmt.Sprintf("On %s, request %s", formatTime(record.At), record.Request)
	if record.Target != "" {
		text += " to " + record.Target
	}
	if record.Outcome.Kind == outcome.Answered && record.Outcome.Reason == outcome.Complete {
		return text + " was answered in full."
	}
	end := " was not answered. "
	if record.Outcome.Kind == outcome.Answered {
		end = " was answered with a failure. "
	}
	text += end + record.Outcome.Reason.Sentence()
	if record.Detail != "" {
		text += " (" + record.Detail + ")"
	}
	return text
}

// earlierAttemptPossible contains the reasons with which an earlier attempt under the same
// idempotency key may have run. For these, the text states only that this attempt was not
// run.
var earlierAttemptPossible = map[outcome.Reason]bool{
	outcome.KeyConflict: true, outcome.KeyInProgress: true, outcome.KeyNotVouched: true, outcome.HomeUnreachable: true,
	outcome.HomeFull: true,
}

// describeExecution states whether the request was run.
func describeExecution(record outcome.Record) string {
	if record.Outcome.Reason == outcome.AnswerNotKept {
		return "The first attempt ran and was answered. The request was not run again."
	}
	switch record.Outcome.Kind {
	case outcome.NotRun:
		if earlierAttemptPossible[record.Outcome.Reason] {
			return "This attempt was not run, and nothing was changed by it. An earlier attempt under the same " +
				"idempotency key may have run; this answer does not say."
		}
		return "The request was not run anywhere, and nothing was changed by it."
	case outcome.Unknown:
		return "It is not known whether the request ran. The system has not repeated it and will not do so."
	}
	return ""
}

// describeNextStep states whether and how to send the request again.
func describeNextStep(record outcome.Record) string {
	switch {
	case record.Outcome.Retryable():
		return fmt.Sprintf("The request may be sent again after %s.", formatDuration(record.Outcome.RetryAfter))
	case record.Outcome.Kind == outcome.Unknown && !record.Repeatable:
		return "Before the request is sent again, its effect should be looked up where it would be registered."
	case record.Outcome.Kind == outcome.Unknown:
		return "The request may be sent again; running it twice does no harm."
	case record.Outcome.Reason == outcome.AnswerNotKept:
		return "The answer should be looked for where the first attempt was received, or where its effect would be registered."
	case record.Outcome.Reason == outcome.KeyNotVouched:
		return "Before the request is sent under a new key, it should be looked up whether an earlier attempt took effect."
	case record.Outcome.Kind == outcome.NotRun:
		return "Sending the same request again is not expected to help until the reason is removed."
	}
	return ""
}

// describeRule states the caller, the rule that was applied, and the class and deadline of
// the request.
func describeRule(record outcome.Record) string {
	caller := "The caller could not be identified"
	if record.Caller != "" {
		caller = "The caller was " + record.Caller
	}
	if record.Rule == "" {
		return caller + "; no rule was applied."
	}
	if record.Caller == "" {
		caller = "The caller is not named by the record" // gateways do not identify callers
	}
	text := fmt.Sprintf("%s; rule %q was applied. The request was treated as %s.", caller, record.Rule, strings.ToLower(record.Class))
	if record.Deadline != 0 {
		text += fmt.Sprintf(" Its answer had to begin by %s.", formatTime(record.Deadline))
	}
	return text
}

// describeRepeatability states whether the request may be run more than once.
func describeRepeatability(record outcome.Record) string {
	if record.Rule == "" {
		return ""
	}
	if record.Repeatable {
		return "By the rule, the request may be run more than once."
	}
	return "By the rule or the caller's wish, the request must not be run more than once."
}

// describeDecision states which daemon decided, and under which configuration.
func describeDecision(record outcome.Record) string {
	if record.ConfigVersion == 0 {
		return fmt.Sprintf("The decision was made by daemon %s, which had no configuration.", record.Daemon)
	}
	return fmt.Sprintf("The decision was made by daemon %s under version %d of the published configuration.",
		record.Daemon, record.ConfigVersion)
}

// verdictTexts states for each verdict why an engine was or was not chosen.
var verdictTexts = map[outcome.Verdict]string{
	outcome.Chosen:        "was chosen",
	outcome.RankedLower:   "could have run the request, but another ranked higher",
	outcome.EngineLeaving: "was leaving service",
	outcome.EngineSilent:  "had not been heard of recently",
	outcome.OwnerUnknown:  "had no known owner",
	outcome.Quarantined:   "was quarantined",
	outcome.TriedBefore:   "had failed in an earlier attempt",
	outcome.LoadsFail:     "had failed to load the adapter",
	outcome.LoadsAdapter:  "was asked to load the adapter",
}

// describeHome states which daemon kept the record of the idempotency key.
func describeHome(record outcome.Record) string {
	switch {
	case record.Home == "":
		return ""
	case record.HomeCopied:
		return fmt.Sprintf("Leave to run it under its idempotency key was given by daemon %s, and a second daemon held the record.", record.Home)
	}
	return fmt.Sprintf("Leave to run it under its idempotency key was given by daemon %s; no second daemon held the record then.", record.Home)
}

// describeCandidates lists the engines that were considered, with their verdicts.
func describeCandidates(record outcome.Record) string {
	if len(record.Candidates) == 0 {
		return "No engine was considered."
	}
	lines := []string{"These engines were considered at the last placement:"}
	for _, candidate := range record.Candidates {
		verdict, known := verdictTexts[candidate.Verdict]
		if !known {
			verdict = "was judged " + string(candidate.Verdict)
		}
		line := fmt.Sprintf("- %s %s", candidate.Engine, verdict)
		if candidate.Age > 0 {
			line += fmt.Sprintf(" (knowledge %s old)", formatDuration(candidate.Age))
		}
		lines = append(lines, line+".")
	}
	return strings.Join(lines, "\n")
}

// describeAttempts lists the attempts to run the request.
func describeAttempts(record outcome.Record) string {
	if len(record.Attempts) == 0 {
		return "No attempt was made."
	}
	lines := []string{"These attempts were made:"}
	for _, attempt := range record.Attempts {
		lines = append(lines, "- "+describeAttempt(attempt))
	}
	return strings.Join(lines, "\n")
}

func describeAttempt(attempt outcome.Attempt) string {
	where := "at a service"
	if attempt.Engine != "" {
		where = fmt.Sprintf("at server %s", attempt.Engine)
	}
	if attempt.Owner != "" {
		where = fmt.Sprintf("at engine %s, in the charge of daemon %s", attempt.Engine, attempt.Owner)
	}
	sent := "the request is not known to have been sent"
	if attempt.Dispatched {
		sent = "the request was sent"
	}
	ended := "its end was not heard of"
	if attempt.Outcome.Kind != "" {
		ended = fmt.Sprintf("it ended as %s: %s", attempt.Outcome.Kind, attempt.Outcome.Reason.Sentence())
	}
	if attempt.Stream != "" {
		where += fmt.Sprintf(" (run %s)", attempt.Stream)
	}
	return fmt.Sprintf("%s, %s: %s; %s", formatTime(attempt.At), where, sent, ended)
}

// describeCode states the outcome and the reason code.
func describeCode(record outcome.Record) string {
	return fmt.Sprintf("Outcome %s, reason code %s.", record.Outcome.Kind, record.Outcome.Reason)
}

// formatDuration returns a duration in words, rounded up to its unit.
func formatDuration(millis clock.Millis) string {
	switch {
	case millis < clock.Second:
		return plural(int64(millis), "millisecond")
	case millis < 2*clock.Minute:
		return plural(int64((millis+clock.Second-1)/clock.Second), "second")
	}
	return plural(int64((millis+clock.Minute-1)/clock.Minute), "minute")
}

func plural(count int64, unit string) string {
	if count == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", count, unit)
}
