package callers

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/relay"
)

// errorBody is the body of every answer that is not an answer of the model.
type errorBody struct {
	Error errorDetail `json:"error"`
	// Record reconstructs the decision, when there was one.
	Record *outcome.Record `json:"record,omitempty"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// answer runs a request and writes its answer as it arrives.
func (api *API) answer(writer http.ResponseWriter, request *http.Request, arrived node.RequestArrived, pending *daemon.PendingRequest) {
	api.daemon.StartRequest(arrived, pending)
	response := &response{writer: writer, requestID: arrived.RequestID}
	for {
		items, err := pending.Inbox.Next(request.Context())
		if err != nil {
			api.daemon.CallerDisconnected(pending)
			return
		}
		written := 0
		for _, item := range items {
			if item.Final != nil {
				response.finish(*item.Final)
				return
			}
			response.add(item)
			written += len(item.Payload)
		}
		response.flush()
		pending.Inbox.Consumed(written)
	}
}

// response is one answer on its way to the caller. A streamed answer is written
// as it arrives; another is held until it is known to be complete.
type response struct {
	writer      http.ResponseWriter
	requestID   string
	status      int
	contentType string
	streaming   bool
	body        []byte
}

func (response *response) add(item relay.Item) {
	if item.Status == 0 {
		response.addPayload(item.Payload)
		return
	}
	response.status, response.contentType = item.Status, item.ContentType
	response.streaming = relay.IsStream(item.ContentType)
	if response.streaming {
		response.head(outcome.Outcome{})
	}
}

func (response *response) addPayload(payload []byte) {
	if response.streaming {
		response.body = relay.AppendEvent(response.body, payload)
		return
	}
	response.body = append(response.body, payload...)
}

// flush writes what a streamed answer has gathered.
func (response *response) flush() {
	if !response.streaming {
		return
	}
	_, _ = response.writer.Write(response.body)
	response.body = response.body[:0]
	_ = http.NewResponseController(response.writer).Flush()
}

// head writes status and headers. The outcome is not known yet while streaming.
func (response *response) head(final outcome.Outcome) {
	header := response.writer.Header()
	header.Set("Content-Type", response.contentType)
	header.Set(RequestHeader, response.requestID)
	if final.Kind != "" {
		header.Set(OutcomeHeader, string(final.Kind))
		header.Set(ReasonHeader, string(final.Reason))
	}
	response.writer.WriteHeader(response.status)
}

// finish writes the end that the outcome calls for.
func (response *response) finish(final effect.Answer) {
	switch {
	case final.Stored != nil:
		response.stored(final.Outcome, *final.Stored)
	case response.streaming && final.Outcome.Kind == outcome.Answered:
		response.body = append(response.body, relay.DoneEvent...)
		response.flush()
	case response.streaming:
		response.breakOff(final)
	case final.Outcome.Kind == outcome.Answered:
		response.head(final.Outcome)
		_, _ = response.writer.Write(response.body)
	default:
		writeError(response.writer, response.requestID, final.Outcome, final.Outcome.Reason.Sentence(), &final.Record)
	}
}

// breakOff ends a streamed answer that is not complete: an error event, no
// closing mark, and a connection that does not end properly.
func (response *response) breakOff(final effect.Answer) {
	text, err := json.Marshal(newErrorBody(final.Outcome, final.Outcome.Reason.Sentence(), &final.Record))
	if err == nil {
		response.body = relay.AppendEvent(response.body, text)
	}
	response.flush()
	panic(http.ErrAbortHandler)
}

// stored writes the answer of the first attempt under an idempotency key, or of
// a plain service.
func (response *response) stored(final outcome.Outcome, stored message.StoredAnswer) {
	response.status, response.contentType = stored.Status, stored.ContentType
	response.head(final)
	_, _ = response.writer.Write(stored.Body)
	if relay.IsStream(stored.ContentType) {
		_, _ = response.writer.Write([]byte(relay.DoneEvent))
	}
}

func newErrorBody(final outcome.Outcome, text string, record *outcome.Record) errorBody {
	return errorBody{
		Error:  errorDetail{Message: text, Type: string(final.Kind), Code: string(final.Reason)},
		Record: record,
	}
}

// refuse answers a request that never reached the decision machines.
func (api *API) refuse(writer http.ResponseWriter, arrived node.RequestArrived, cause error) {
	reason := outcome.BadRequest
	var found mistake
	if errors.As(cause, &found) {
		reason = found.reason
	}
	record := api.record(arrived, outcome.Refused(reason, 0))
	record.Detail = found.detail
	record = api.daemon.RecordRefusal(record)
	if reason == outcome.BodyTooLarge || reason == outcome.BodyTimeout {
		writer.Header().Set("Connection", "close") // the rest of the body stays unread
	}
	writeError(writer, arrived.RequestID, record.Outcome, cause.Error(), &record)
}

func (api *API) record(arrived node.RequestArrived, refusal outcome.Outcome) outcome.Record {
	record := outcome.Record{Request: arrived.RequestID, Target: arrived.Model + arrived.Service, Outcome: refusal}
	if snapshot := api.daemon.Config(); snapshot != nil {
		record.ConfigVersion = snapshot.Version()
		if caller, known := snapshot.CallerByKey(arrived.APIKey); known {
			record.Caller = caller.Name
		}
	}
	return record
}

func writeError(writer http.ResponseWriter, requestID string, final outcome.Outcome, text string, record *outcome.Record) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(RequestHeader, requestID)
	header.Set(OutcomeHeader, string(final.Kind))
	header.Set(ReasonHeader, string(final.Reason))
	if final.RetryAfter > 0 {
		seconds := (int64(final.RetryAfter) + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if !final.Retryable() {
		header.Set("X-Should-Retry", "false") // public OpenAI clients heed it
	}
	writer.WriteHeader(final.Reason.Status())
	_ = json.NewEncoder(writer).Encode(newErrorBody(final, text, record))
}
