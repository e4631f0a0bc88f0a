package operators

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/effect"
)

// Query parameters of AuditPath.
const (
	AfterParameter  = "After"       // sequence number of an event; only later ones are returned
	SinceParameter  = "SinceMillis" // time in milliseconds since the Unix epoch
	KindParameter   = "Kind"
	ObjectParameter = "Object"
	LimitParameter  = "Limit"
	WaitParameter   = "WaitMillis" // maximum time to wait for the first event
)

const (
	maxWait  = clock.Minute
	maxLimit = 1000 // events in one answer
)

// AuditQuery returns the query parameters of AuditPath for a filter and a maximum wait.
func AuditQuery(filter audit.Filter, wait clock.Millis) url.Values {
	return url.Values{
		AfterParameter:  {strconv.FormatUint(filter.After, 10)},
		SinceParameter:  {strconv.FormatInt(int64(filter.Since), 10)},
		KindParameter:   {string(filter.Kind)},
		ObjectParameter: {filter.Object},
		LimitParameter:  {strconv.Itoa(filter.Limit)},
		WaitParameter:   {strconv.FormatInt(int64(wait), 10)},
	}
}

// handleAudit returns the events of the audit trail that match the filter. With a wait, it
// is a long poll.
func (api *API) handleAudit(writer http.ResponseWriter, request *http.Request) {
	filter, wait, err := parseAuditQuery(request.URL.Query())
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if wait == 0 {
		writeJSON(writer, http.StatusOK, api.trail.Read(filter))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), min(wait, maxWait).Duration())
	defer cancel()
	writeJSON(writer, http.StatusOK, api.trail.Wait(ctx, filter))
}

// parseAuditQuery reads the filter and the maximum wait from the query parameters.
func parseAuditQuery(query url.Values) (audit.Filter, clock.Millis, error) {
	numbers := map[string]int64{}
	for _, name := range []string{AfterParameter, SinceParameter, LimitParameter, WaitParameter} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil || number < 0 {
			return audit.Filter{}, 0, errors.Errorf("%s: %q: want a whole number from 0", name, text)
		}
		numbers[name] = number
	}
	filter := audit.Filter{
		After: uint64(numbers[AfterParameter]), Since: clock.Millis(numbers[SinceParameter]),
		Kind: effect.AuditKind(query.Get(KindParameter)), Object: query.Get(ObjectParameter),
		Limit: int(min(numbers[LimitParameter], maxLimit)),
	}
	if filter.Limit == 0 {
		filter.Limit = maxLimit
	}
	return filter, clock.Millis(numbers[WaitParameter]), nil
}

// handleRecord returns the decision record of a refused request.
func (api *API) handleRecord(writer http.ResponseWriter, request *http.Request) {
	requestID := request.PathValue("request")
	record, found := api.trail.FindRecord(requestID)
	if !found {
		writeJSON(writer, http.StatusNotFound, errorBody{Error: "no record of a refusal of request " + requestID + " is held here"})
		return
	}
	writeJSON(writer, http.StatusOK, record)
}
