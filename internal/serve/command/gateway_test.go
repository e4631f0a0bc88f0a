package command_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/serve/command"
)

const gatewayMetrics = `teaselmoor_requests_total{service="records",status="200",reason="Complete"} 12
teaselmoor_latency_millis{service="records",quantile="0.99"} 80
teaselmoor_stream_gap_millis{service="engines",quantile="0.99"} 310
teaselmoor_streams_total{service="engines",rank="0"} 60
teaselmoor_streams_total{service="engines",rank="1"} 40
teaselmoor_late_streams_total{service="engines",rank="0",cause="pause"} 3
teaselmoor_late_streams_total{service="engines",rank="1",cause="pause"} 4
teaselmoor_late_streams_total{service="engines",rank="1",cause="first"} 1
teaselmoor_config_version 21
teaselmoor_store_away_millis 1500
teaselmoor_peers 6
teaselmoor_servers 13
teaselmoor_servers_ordered 2
teaselmoor_retry_budget_left{service="records"} 6.5
teaselmoor_account_rate{account="payroll"} 900
teaselmoor_account_limit{account="payroll"} 1200
teaselmoor_servers_slow 1
teaselmoor_server_speed{quantile="0"} 0.5
teaselmoor_server_speed{quantile="0.5"} 1
teaselmoor_server_speed{quantile="1"} 1.6
teaselmoor_slowest_server_speed{server="e2"} 0.5
teaselmoor_slowest_server_interval_millis{server="e2"} 76.4
teaselmoor_slowest_server_age_millis{server="e2"} 2500
`

func TestGatewayStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		require.Equal(t, "/metrics", request.URL.Path)
		_, _ = writer.Write([]byte(gatewayMetrics))
	}))
	defer server.Close()
	got := run(t, "", "status", "-gateway", server.Listener.Addr().String())
	require.Equal(t, command.ExitDone, got.code, got.err)
	for _, want := range []string{
		"configuration version 21", "has not answered for 1.5s", "6 peers; 13 servers, of which this gateway gives orders to 2",
		"records  200  Complete  12", "records  0.99  80", "engines  0.99  310", "records  6.5", "payroll  900", "payroll  1200",
		"engines  first  1  0.010", "engines  pause  7  0.070",
		"0.50 to 1.60, median 1.00; 1 slow ones", "e2  0.5  76.4  2.5s",
	} {
		require.Contains(t, got.out, want)
	}
}

func TestExplainFromLog(t *testing.T) {
	log := `17.1 d1 {"time":"2026-06-10T17:35:37.464Z","msg":"request ended","Request":"r1","Status":503,"Reason":"NoServer","Daemon":"d1","Config":3,"RetryAfterMillis":500}` + "\n"
	got := run(t, log, "explain", "-log", "-request", "r1", "-audience", "regulator")
	require.Equal(t, command.ExitDone, got.code, got.err)
	require.Contains(t, got.out, "was not run anywhere")
	require.Contains(t, got.out, "may be sent again after 500 milliseconds")
	require.Contains(t, got.out, "by daemon d1 under version 3")
	require.Equal(t, command.ExitNotFound, run(t, log, "explain", "-log", "-request", "r2").code)
}
