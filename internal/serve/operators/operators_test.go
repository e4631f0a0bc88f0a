package operators_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/metrics"
	"teaselmoor/internal/serve/operators"
)

// fakeDaemon returns a fixed status.
type fakeDaemon struct{ status daemon.Status }

func (fake *fakeDaemon) Ready() bool           { return fake.status.Ready }
func (fake *fakeDaemon) Status() daemon.Status { return fake.status }

func newTrail() *audit.Trail {
	return audit.New(audit.Options{Changes: 8, Refusals: 8}, slog.New(slog.DiscardHandler))
}

func newAPI(fake *fakeDaemon, trail *audit.Trail) http.Handler {
	counted := metrics.New()
	return operators.New(fake, trail, counted, metrics.NewObserver(counted), operators.Options{})
}

func get(handler http.Handler, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestReadinessFollowsTheDaemon(t *testing.T) {
	fake := &fakeDaemon{}
	api := newAPI(fake, newTrail())
	require.Equal(t, http.StatusOK, get(api, operators.HealthPath).Code)
	require.Equal(t, http.StatusServiceUnavailable, get(api, operators.ReadyPath).Code)
	fake.status.Ready = true
	require.Equal(t, http.StatusOK, get(api, operators.ReadyPath).Code)
	require.Contains(t, get(api, operators.MetricsPath).Body.String(), "teaselmoor_ready 1\n")
}

// TestStatusSurvivesJSON checks that no field of the status is lost in JSON because its name
// clashes with one of an embedded struct.
func TestStatusSurvivesJSON(t *testing.T) {
	fake := &fakeDaemon{status: daemon.Status{Status: node.Status{Daemon: "entry-1", ConfigVersion: 4}, ConfigAge: 7}}
	var status daemon.Status
	require.NoError(t, json.Unmarshal(get(newAPI(fake, newTrail()), operators.StatusPath).Body.Bytes(), &status))
	require.Equal(t, fake.status, status)
}

func TestAuditParameters(t *testing.T) {
	trail := newTrail()
	api := newAPI(&fakeDaemon{}, trail)
	for _, bad := range []string{"After=x", "After=-1", "Limit=many", "WaitMillis=1s", "SinceMillis=today"} {
		require.Equal(t, http.StatusBadRequest, get(api, operators.AuditPath+"?"+bad).Code, bad)
	}
	trail.AddChange(effect.Audit{Kind: effect.AdapterLoaded, Object: "runner-1"})
	trail.AddChange(effect.Audit{Kind: effect.LoadFailed, Object: "runner-2"})
	for query, want := range map[string]int{"": 2, "?Kind=LoadFailed": 1, "?Object=runner": 2, "?After=1": 1, "?Limit=1": 1, "?WaitMillis=1&After=2": 0} {
		var page audit.Page
		require.NoError(t, json.Unmarshal(get(api, operators.AuditPath+query).Body.Bytes(), &page))
		require.Len(t, page.Events, want, query)
	}
}

// TestAPIIsReadOnly sends requests with every method that could make a change.
func TestAPIIsReadOnly(t *testing.T) {
	api := newAPI(&fakeDaemon{}, newTrail())
	for _, path := range []string{operators.HealthPath, operators.StatusPath, operators.AuditPath, operators.RecordsPath + "x"} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
			recorder := httptest.NewRecorder()
			api.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
			require.Equal(t, http.StatusMethodNotAllowed, recorder.Code, method+" "+path)
		}
	}
}
