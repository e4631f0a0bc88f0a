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

// errorBody is the body of an answer by which the daemon reports an error, instead of
// forwarding the answer of a model or service.
type errorBody struct {
	Error errorDetail `json:"error"`
	// Record describes how the request was decided; nil if there was no decision.
	Record *outcome.Record `json:"record,omitempty"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// runRequest starts a request and writes its answer as it arrives, until the answer ends
// or the caller disconnects.
func (api *API) runRequest(writer http.ResponseWriter, request *http.Request, arrived node.RequestArrived, pending *daemon.PendingRequest) {
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

// response writes an answer to the caller. A streamed answer is written as it arrives; any
// other answer is buffered until it is known to be complete.
type response struct {
	writer      http.ResponseWriter
	requestID   string
	status      int
	contentType string
	streaming   bool
	body        []byte // not yet written
}

func (response *response) add(item relay.Item) {
	if item.Status == 0 {
		response.addPayload(item.Payload)
		return
	}
	response.status, response.contentType = item.Status, item.ContentType
	response.streaming = relay.IsStream(item.ContentType)
	if response.streaming {
		response.writeHead(outcome.Outcome{})
	}
}

func (response *response) addPayload(payload []byte) {
	if response.streaming {
		response.body = relay.AppendEvent(response.body, payload)
		return
	}
	response.body = append(response.body, payload...)
}

// flush writes the buffered events of a streamed answer.
func (response *response) flush() {
	if !response.streaming {
		return
	}
	_, _ = response.writer.Write(response.body)
	response.body = response.body[:0]
	_ = http.NewResponseController(response.writer).Flush()
}

// writeHead writes the status and the headers. The outcome is empty if the answer is
// written while it arrives, because the outcome is not known then.
func (response *response) writeHead(final outcome.Outcome) {
	header := response.writer.Header()
	header.Set("Content-Type", response.contentType)
	header.Set(RequestIDHeader, response.requestID)
	if final.Kind != "" {
		header.Set(OutcomeHeader, string(final.Kind))
		header.Set(ReasonHeader, string(final.Reason))
	}
	response.writer.WriteHeader(response.status)
}

// finish writes the end of the answer, depending on the outcome.
func (response *response) finish(final effect.Answer) {
	switch {
	case final.Stored != nil:
		response.writeStored(final.Outcome, *final.Stored)
	case response.streaming && final.Outcome.Kind == outcome.Answered:
		response.body = append(response.body, relay.DoneEvent...)
		response.flush()
	case response.streaming:
		response.abort(final)
	case final.Outcome.Kind == outcome.Answered:
		response.writeHead(final.Outcome)
		_, _ = response.writer.Write(response.body)
	default:
		writeError(response.writer, response.requestID, final.Outcome, final.Outcome.Reason.Sentence(), &final.Record)
	}
}

// abort ends a streamed answer that is not complete: it writes an error event, omits the
// final event and aborts the connection.
func (response *response) abort(final effect.Answer) {
	text, err := json.Marshal(newErrorBody(final.Outcome, final.Outcome.Reason.Sentence(), &final.Record))
	if err == nil {
		response.body = relay.AppendEvent(response.body, text)
	}
	response.flush()
	panic(http.ErrAbortHandler)
}

// writeStored writes a complete answer: that of the first attempt under an idempotency
// key, or that of a plain service.
func (response *response) writeStored(final outcome.Outcome, stored message.StoredAnswer) {
	response.status, response.contentType = stored.Status, stored.ContentType
	response.writeHead(final)
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

// refuse answers a request that is refused before it reaches the node.
func (api *API) refuse(writer http.ResponseWriter, arrived node.RequestArrived, cause error) {
	reason := outcome.BadRequest
	var invalid requestError
	if errors.As(cause, &invalid) {
		reason = invalid.reason
	}
	record := api.refusalRecord(arrived, outcome.Refused(reason, 0))
	record.Detail = invalid.detail
	record = api.daemon.RecordRefusal(record)
	if reason == outcome.BodyTooLarge || reason == outcome.BodyTimeout {
		writer.Header().Set("Connection", "close") // the rest of the body is not read
	}
	writeError(writer, arrived.RequestID, record.Outcome, cause.Error(), &record)
}

// refusalRecord returns the decision record of a request that is refused here.
func (api *API) refusalRecord(arrived node.RequestArrived, refusal outcome.Outcome) outcome.Record {
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
	header.Set(RequestIDHeader, requestID)
	header.Set(OutcomeHeader, string(final.Kind))
	header.Set(ReasonHeader, string(final.Reason))
	if final.RetryAfter > 0 {
		seconds := (int64(final.RetryAfter) + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if !final.Retryable() {
		header.Set("X-Should-Retry", "false") // OpenAI's client libraries read it
	}
	writer.WriteHeader(final.Reason.Status())
	_ = json.NewEncoder(writer).Encode(newErrorBody(final, text, record))
}
