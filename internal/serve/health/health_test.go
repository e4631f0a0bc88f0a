package health_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/serve/health"
)

func get(t testing.TB, handler http.HandlerFunc) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	return recorder
}

func TestReadyFollowsTheDaemon(t *testing.T) {
	isReady := false
	handler := health.Ready(func() bool { return isReady })
	require.Equal(t, http.StatusServiceUnavailable, get(t, handler).Code)
	isReady = true
	require.Equal(t, http.StatusOK, get(t, handler).Code)
}

func TestLiveAlwaysSucceeds(t *testing.T) {
	require.Equal(t, http.StatusOK, get(t, health.Live).Code)
}
