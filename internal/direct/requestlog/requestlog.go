// Package requestlog reconstructs the outcome of one request from the log of gateways. It
// needs nothing but the log: daemons keep nothing about past requests, and the one that
// handled the request may no longer exist.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/late"
)

// line is a log line about a request. Each message has some of the fields.
type line struct {
	Time           time.Time `json:"time"`
	Message        string    `json:"msg"`
	Request        string
	Server         string
	Adapter        string
	Owner          string
	Error          string
	Sent           bool
	Status         int
	PatienceMillis clock.Millis
	LoadMillis     clock.Millis
	Loading        int
	Queued         int

	// Fields of the message that the request was sent.
	WaitedMillis clock.Millis
	HeldMillis   clock.Millis
	TurnMillis   clock.Millis

	// Fields of the message that an account is over its limit.
	Account        string
	Units          float64
	LeftUnits      float64
	LimitPerSecond float64
	DaemonsCounted int
	Daemons        int
	Rank           int
	ReserveUnits   float64
	PromisedUnits  float64

	// Field of the message that the request was sent to a peer.
	Peer string

	// Fields of the message that the request resumes a stream.
	FirstAttempt string
	After        string
	Source       string
	Software     string

	// Fields of the message that the request was shed.
	LoadTenths   int
	TargetTenths int

	// Fields of the message that the request ended.
	Daemon           string
	Entry            string // the daemon that sent the request to this one; empty: a caller did
	Reason           ending.Reason
	Offers           int
	Config           uint64
	Route            string
	Service          string
	Kind             string
	Repeatable       bool
	Millis           clock.Millis
	LeftMillis       clock.Millis
	RetryAfterMillis clock.Millis

	// Fields of the same message for streams; the goals are those of late ones.
	FirstMillis          clock.Millis
	GoalMillis           clock.Millis
	GapMillis            clock.Millis
	GapGoalMillis        clock.Millis
	PauseTokens          int
	PauseSpeedHundredths int // 0: unknown
	Late                 late.Cause
}

// maxLineLength bounds a line, in bytes. A gateway's lines are below 1 KiB.
const maxLineLength = 1 << 20

// Read returns the record of a request from a log. It ignores what a log collector has put
// before the JSON of a line, and lines that are not a gateway's.
func Read(log io.Reader, request string) (outcome.Record, error) {
	found := reader{record: outcome.Record{Request: request}}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 || !bytes.Contains(scanner.Bytes(), []byte(request)) {
			continue
		}
		var parsed line
		if err := json.Unmarshal(scanner.Bytes()[at:], &parsed); err != nil || parsed.Request != request {
			continue
		}
		found.apply(parsed)
	}
	if err := scanner.Err(); err != nil {
		return outcome.Record{}, errors.Wrap(err, "read log")
	}
	return found.result()
}

// reader assembles a record from log lines.
type reader struct {
	record      outcome.Record
	lines       int
	ended       bool
	reasonKnown bool // the reason of the ending is known
	notReady    line // the last line whose message is MessageAdapterNotReady
	overLimit   line // the last line whose message is MessageAccountOverLimit
	resumed     line // the last line whose message is MessageStreamResumed
	shed        line // the last line whose message is MessageRequestShed
	proxied     line // the last line whose message is MessageRequestProxied
	waits       firstWaits
}

// apply adds the facts of a line to the record.
func (reader *reader) apply(line line) {
	reader.lines++
	switch line.Message {
	case ending.MessageAdapterRequested:
		reader.addCandidate(line)
	case ending.MessageAdapterNotReady:
		reader.notReady = line
	case ending.MessageAccountOverLimit:
		reader.overLimit = line
	case ending.MessageStreamResumed:
		reader.resumed = line
	case ending.MessageRequestShed:
		reader.shed = line
	case ending.MessageRequestProxied:
		reader.proxied = line
	case ending.MessageRequestSent:
		reader.waits.addSent(line)
		reader.record.Attempts = append(reader.record.Attempts, outcome.Attempt{
			Engine: ident.EngineID(line.Server), At: clock.Millis(line.Time.UnixMilli()), Dispatched: true,
		})
	case ending.MessageNoAnswer:
		reader.endAttempt(line, line.Sent, outcome.MayHaveRun(outcome.ServiceLost))
	case ending.MessageServerDeclined:
		reader.endAttempt(line, true, outcome.Refused(outcome.EngineRefused, 0))
	case ending.MessageServerFailed:
		reader.endAttempt(line, true, outcome.Outcome{Kind: outcome.Answered, Reason: outcome.ServerFailed})
	case ending.MessageAnswerBroken, ending.MessageStreamBroken:
		reader.waits.begun = reader.waits.begun || line.Message == ending.MessageStreamBroken
		reader.endAttempt(line, true, outcome.MayHaveRun(outcome.Truncated))
	case ending.MessageRequestEnded:
		if line.Entry == "" || !reader.ended { // what the caller received counts, wherever in the log it stands
			reader.end(line)
		}
	}
}

// addCandidate records a server at which the request waited for its adapter.
func (reader *reader) addCandidate(line line) {
	verdict := outcome.LoadsAdapter
	if line.Owner == "" {
		verdict = outcome.OwnerUnknown
	}
	candidate := outcome.Candidate{Engine: ident.EngineID(line.Server), Verdict: verdict}
	known := reader.record.Candidates
	if len(known) > 0 && known[len(known)-1] == candidate {
		return
	}
	reader.record.Candidates = append(known, candidate)
}

// endAttempt records the outcome of the last attempt. If nothing was sent, no server
// has received the request.
func (reader *reader) endAttempt(line line, sent bool, result outcome.Outcome) {
	attempts := reader.record.Attempts
	if len(attempts) == 0 {
		return
	}
	last := &attempts[len(attempts)-1]
	last.Dispatched = sent
	last.Outcome = result
	if !sent {
		last.Outcome = outcome.Refused(outcome.NoEngine, 0)
	}
}

// end records how the request ended.
func (reader *reader) end(line line) {
	reader.ended = true
	record := &reader.record
	record.Daemon = ident.DaemonID(line.Daemon)
	record.At = clock.Millis(line.Time.UnixMilli())
	record.ConfigVersion = line.Config
	record.Rule, record.Class, record.Repeatable = line.Route, line.Kind, line.Repeatable
	record.Target = line.Service
	if line.Adapter != "" {
		record.Target = line.Adapter
	}
	if line.Route != "" {
		record.Deadline = record.At + line.LeftMillis
	}
	ended := ending.Ending{Reason: line.Reason, Status: line.Status, TimesSent: line.Offers}
	record.Outcome, reader.reasonKnown = ended.Outcome()
	record.Outcome.RetryAfter = line.RetryAfterMillis
	if line.Reason == ending.AdapterNotReady {
		record.Detail = fmt.Sprintf("the request could wait %d ms, a load was expected to take %d ms, %d adapters were on their way and %d waited",
			reader.notReady.PatienceMillis, reader.notReady.LoadMillis, reader.notReady.Loading, reader.notReady.Queued)
	}
	if line.Reason == ending.AccountLimit {
		record.Detail = reader.overLimit.limitDetail()
	}
	if line.Reason == ending.Overloaded {
		record.Detail = reader.shed.shedDetail()
	}
	if line.Reason == ending.StreamUnknown || line.Reason == ending.NoSoftwareVersion {
		record.Detail = reader.resumed.resumedDetail()
	}
	if record.Detail == "" && reader.proxied.Peer != "" && line.Entry == "" {
		record.Detail = fmt.Sprintf("daemon %s reached no server, and sent the request to daemon %s", line.Daemon, reader.proxied.Peer)
	}
	record.Lateness = line.lateness(reader.waits)
	attempts := record.Attempts
	if len(attempts) > 0 && attempts[len(attempts)-1].Outcome.Kind == "" {
		attempts[len(attempts)-1].Outcome = record.Outcome
	}
}

// limitDetail says what a request that was over its account's limit lacked.
func (line line) limitDetail() string {
	text := fmt.Sprintf("account %s had %.0f units left and the request counts %.0f; its limit is %.0f a second; %d of %d daemons were counted together",
		line.Account, line.LeftUnits, line.Units, line.LimitPerSecond, line.DaemonsCounted, line.Daemons)
	if line.ReserveUnits > 0 {
		text += fmt.Sprintf("; at its limit %.0f units are kept for ranks more urgent than %d", line.ReserveUnits, line.Rank)
	}
	if line.PromisedUnits > 0 {
		text += fmt.Sprintf("; callers refused before were promised %.0f units", line.PromisedUnits)
	}
	return text
}

// resumedDetail says what a request was to go on with, and what was known of it.
func (line line) resumedDetail() string {
	known := "which no daemon that answered had recorded, at a service with several software versions, or with a daemon that had started shortly before"
	switch {
	case line.Software != "":
		known = "which began at software version " + line.Software
	case line.Server != "":
		known = "which began at server " + line.Server + ", of an unknown software version"
	}
	return fmt.Sprintf("the request was to go on after event %q of the stream of attempt %q, %s (%s)", line.After, line.FirstAttempt, known, line.Source)
}

// shedDetail says how loaded the service of a request was that was shed.
func (line line) shedDetail() string {
	return fmt.Sprintf("the servers of %s had %.1f requests in progress for each slot; above %.1f, requests are refused so that others are answered in time",
		line.Service, float64(line.LoadTenths)/10, float64(line.TargetTenths)/10)
}

// result returns the record, or an error if the log does not show how the request ended.
func (reader *reader) result() (outcome.Record, error) {
	switch {
	case reader.lines == 0:
		return outcome.Record{}, ErrNotFound
	case !reader.ended:
		return outcome.Record{}, errors.Errorf("the log has %d lines of request %s, but not how it ended: the daemon was lost, or the line was dropped", reader.lines, reader.record.Request)
	case !reader.reasonKnown:
		return outcome.Record{}, errors.Errorf("request %s ended for a reason that is not known here", reader.record.Request)
	}
	return reader.record, nil
}

// ErrNotFound is returned when the log has no line about a request.
var ErrNotFound = errors.New("the log says nothing of the request")
