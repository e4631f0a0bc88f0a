// Package requestlog reads the log of gateways and puts together what became of one
// request. It needs nothing but the log: daemons keep nothing, and the one that
// decided may be gone.
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
)

// line is a line of the log that speaks of a request. Each message has some of the
// fields.
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

	// Of the line that says that an account is over its limit.
	Account        string
	Units          float64
	LeftUnits      float64
	LimitPerSecond float64
	DaemonsCounted int
	Daemons        int

	// Of the line that says how the request ended.
	Daemon           string
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
}

// mostLength bounds a line, in bytes; a gateway's are below 1 KiB.
const mostLength = 1 << 20

// Read looks for a request in a log. Whatever a collector has put before the JSON
// of a line is passed over, and so are lines that are none of a gateway's.
func Read(log io.Reader, request string) (outcome.Record, error) {
	found := reader{record: outcome.Record{Request: request}}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, mostLength)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 || !bytes.Contains(scanner.Bytes(), []byte(request)) {
			continue
		}
		var read line
		if err := json.Unmarshal(scanner.Bytes()[at:], &read); err != nil || read.Request != request {
			continue
		}
		found.take(read)
	}
	if err := scanner.Err(); err != nil {
		return outcome.Record{}, errors.Wrap(err, "read log")
	}
	return found.finish()
}

// reader puts a record together.
type reader struct {
	record outcome.Record
	lines  int
	ended  bool
	known  bool // the reason of the ending
	waited line // the last line that says that an adapter is not ready
	over   line // the line that says that the account is over its limit
}

func (reader *reader) take(read line) {
	reader.lines++
	switch read.Message {
	case ending.MessageAdapterRequested:
		reader.asked(read)
	case ending.MessageAdapterNotReady:
		reader.waited = read
	case ending.MessageAccountOverLimit:
		reader.over = read
	case ending.MessageRequestSent:
		reader.record.Attempts = append(reader.record.Attempts, outcome.Attempt{
			Engine: ident.EngineID(read.Server), At: clock.Millis(read.Time.UnixMilli()), Dispatched: true,
		})
	case ending.MessageNoAnswer:
		reader.attemptEnded(read, read.Sent, outcome.Lost(outcome.ServiceLost))
	case ending.MessageServerDeclined:
		reader.attemptEnded(read, true, outcome.Refused(outcome.EngineRefused, 0))
	case ending.MessageServerFailed:
		reader.attemptEnded(read, true, outcome.Outcome{Kind: outcome.Answered, Reason: outcome.ServerFailed})
	case ending.MessageAnswerBroken, ending.MessageStreamBroken:
		reader.attemptEnded(read, true, outcome.Lost(outcome.Truncated))
	case ending.MessageRequestEnded:
		reader.end(read)
	}
}

// asked notes a server at which the request waited for its adapter.
func (reader *reader) asked(read line) {
	verdict := outcome.LoadsAdapter
	if read.Owner == "" {
		verdict = outcome.OwnerUnknown
	}
	candidate := outcome.Candidate{Engine: ident.EngineID(read.Server), Verdict: verdict}
	known := reader.record.Candidates
	if len(known) > 0 && known[len(known)-1] == candidate {
		return
	}
	reader.record.Candidates = append(known, candidate)
}

// attemptEnded says how the last attempt ended. Where it was not sent at all, no
// server has seen it.
func (reader *reader) attemptEnded(read line, sent bool, result outcome.Outcome) {
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

func (reader *reader) end(read line) {
	reader.ended = true
	record := &reader.record
	record.Daemon = ident.DaemonID(read.Daemon)
	record.At = clock.Millis(read.Time.UnixMilli())
	record.ConfigVersion = read.Config
	record.Rule, record.Class, record.Repeatable = read.Route, read.Kind, read.Repeatable
	record.Target = read.Service
	if read.Adapter != "" {
		record.Target = read.Adapter
	}
	if read.Route != "" {
		record.Deadline = record.At + read.LeftMillis
	}
	ended := ending.Ending{Reason: read.Reason, Status: read.Status, TimesSent: read.Offers}
	record.Outcome, reader.known = ended.Outcome()
	record.Outcome.RetryAfter = read.RetryAfterMillis
	if read.Reason == ending.AdapterNotReady {
		record.Detail = fmt.Sprintf("the request could wait %d ms, a load was expected to take %d ms, %d adapters were on their way and %d waited",
			reader.waited.PatienceMillis, reader.waited.LoadMillis, reader.waited.Loading, reader.waited.Queued)
	}
	if read.Reason == ending.AccountLimit {
		over := reader.over
		record.Detail = fmt.Sprintf("account %s had %.0f units left and the request counts %.0f; its limit is %.0f a second; %d of %d daemons were counted together",
			over.Account, over.LeftUnits, over.Units, over.LimitPerSecond, over.DaemonsCounted, over.Daemons)
	}
	attempts := record.Attempts
	if len(attempts) > 0 && attempts[len(attempts)-1].Outcome.Kind == "" {
		attempts[len(attempts)-1].Outcome = record.Outcome
	}
}

func (reader *reader) finish() (outcome.Record, error) {
	switch {
	case reader.lines == 0:
		return outcome.Record{}, ErrNotFound
	case !reader.ended:
		return outcome.Record{}, errors.Errorf("the log has %d lines of request %s, but not how it ended: the daemon was lost, or the line was dropped", reader.lines, reader.record.Request)
	case !reader.known:
		return outcome.Record{}, errors.Errorf("request %s ended for a reason that is not known here", reader.record.Request)
	}
	return reader.record, nil
}

// ErrNotFound is returned when the log says nothing of a request.
var ErrNotFound = errors.New("the log says nothing of the request")
