package outcome

import "net/http"

var statuses = map[Reason]int{
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	BodyTimeout:         http.StatusRequestTimeout,
	UnsupportedType:     http.StatusUnsupportedMediaType,
	UnknownPath:         http.StatusNotFound,
	WrongMethod:         http.StatusMethodNotAllowed,
	Unauthorized:        http.StatusUnauthorized,
	UnknownModel:        http.StatusNotFound,
	UnknownService:      http.StatusNotFound,
	NoRule:              http.StatusForbidden,
	CallerLimit:         http.StatusTooManyRequests,
	QueueFull:           http.StatusTooManyRequests,
	DeadlineUnreachable: http.StatusTooManyRequests,
	KeyMissing:          http.StatusBadRequest,
	KeyConflict:         http.StatusUnprocessableEntity,
	KeyInProgress:       http.StatusConflict,
	KeyNotVouched:       http.StatusConflict,
	AnswerNotKept:       http.StatusConflict,
	EntryLost:           http.StatusConflict,
	EngineLost:          http.StatusBadGateway,
	EngineRestarted:     http.StatusBadGateway,
	WrongAdapter:        http.StatusBadGateway,
	Truncated:           http.StatusBadGateway,
	OwnerLost:           http.StatusBadGateway,
	ServiceLost:         http.StatusBadGateway,
}

// Status returns the HTTP status of an error answer with this reason.
func (reason Reason) Status() int {
	if status, known := statuses[reason]; known {
		return status
	}
	return http.StatusServiceUnavailable
}

// Retryable reports whether a client library may repeat the request automatically.
func (outcome Outcome) Retryable() bool {
	return outcome.Kind == NotRun && outcome.RetryAfter > 0
}
