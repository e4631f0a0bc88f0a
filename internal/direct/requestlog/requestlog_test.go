package requestlog_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/direct/requestlog"
	"teaselmoor/internal/serve/explain"
)

// log holds lines of a simulated day; two have a prefix added by a log collector.
const log = `
  35.543 front-gijon-1 {"time":"2026-06-10T17:35:35.543Z","level":"INFO","msg":"adapter asked for","Request":"765d","Server":"i-62","Adapter":"a2602","Owner":""}
  36.789 front-gijon-1 {"time":"2026-06-10T17:35:36.789Z","level":"INFO","msg":"adapter asked for","Request":"765d","Server":"i-62","Adapter":"a2602","Owner":"front-oviedo-a-1"}
{"time":"2026-06-10T17:35:37.464Z","level":"INFO","msg":"adapter not ready","Request":"765d","Server":"i-62","Adapter":"a2602","Owner":"front-oviedo-a-1","AtOnce":false,"PatienceMillis":1920,"LoadMillis":1875,"Loading":10,"Queued":50}
{"time":"2026-06-10T17:35:37.464Z","level":"INFO","msg":"request ended","Request":"765d","Status":503,"Reason":"AdapterNotReady","Millis":1921,"Offers":0,"WaitedMillis":1921,"Config":21,"Daemon":"front-gijon-1","RetryAfterMillis":500,"Route":"r1","Service":"s","Adapter":"a2602","LeftMillis":6079,"Kind":"streaming","Repeatable":true}
{"time":"2026-06-10T17:35:05.664Z","level":"INFO","msg":"request sent","Request":"6bfc","Server":"i-f3","Adapter":"a446","Offer":1}
not of a gateway: 6bfc {
{"time":"2026-06-10T17:35:06.528Z","level":"INFO","msg":"stream broken","Request":"6bfc","After":"24","Error":"unexpected EOF"}
{"time":"2026-06-10T17:35:06.528Z","level":"INFO","msg":"request ended","Request":"6bfc","Status":0,"Reason":"StreamBroken","Millis":1200,"Offers":1,"Config":21,"Daemon":"d","Route":"r1","Service":"s","Adapter":"a446","LeftMillis":100,"Kind":"streaming","Repeatable":false}
{"time":"2026-06-10T17:35:06.600Z","level":"INFO","msg":"request sent","Request":"aaaa","Server":"i-f3","Adapter":"a446","Offer":1}
`

func TestRefusedWhileWaiting(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(log), "765d")
	require.NoError(t, err)
	require.Equal(t, outcome.Refused(outcome.AdapterLate, 500), record.Outcome)
	require.Equal(t, "a2602", record.Target)
	require.EqualValues(t, "front-gijon-1", record.Daemon)
	require.EqualValues(t, 21, record.ConfigVersion)
	require.Equal(t, []outcome.Candidate{
		{Engine: "i-62", Verdict: outcome.OwnerUnknown}, {Engine: "i-62", Verdict: outcome.LoadsAdapter},
	}, record.Candidates)
	require.Empty(t, record.Attempts)
	require.Contains(t, record.Detail, "10 adapters were on their way and 50 waited")
}

func TestLostWithItsServer(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(log), "6bfc")
	require.NoError(t, err)
	require.Equal(t, outcome.MayHaveRun(outcome.Truncated), record.Outcome)
	require.Len(t, record.Attempts, 1)
	require.EqualValues(t, "i-f3", record.Attempts[0].Engine)
	require.Equal(t, outcome.MayHaveRun(outcome.Truncated), record.Attempts[0].Outcome)
}

// TestOverItsLimit checks that the detail says what the account had left and how many daemons
// were counted.
func TestOverItsLimit(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(`{"time":"2026-06-10T17:35:06.500Z","msg":"account over its limit","Request":"4290","Account":"payroll","Units":1630,"LeftUnits":-20,"RatePerSecond":200,"LimitPerSecond":240,"DaemonsCounted":39,"Daemons":59}
{"time":"2026-06-10T17:35:06.500Z","msg":"request ended","Request":"4290","Status":429,"Reason":"AccountLimit","Offers":0,"Config":21,"Daemon":"d","RetryAfterMillis":900,"Account":"payroll"}
`), "4290")
	require.NoError(t, err)
	require.Equal(t, outcome.Refused(outcome.CallerLimit, 900), record.Outcome)
	require.Equal(t, "account payroll had -20 units left and the request counts 1630; its limit is 240 a second; 39 of 59 daemons were counted together", record.Detail)
}

// TestKeptForUrgentRanks guards against a refusal for the reserve that is explained by what the
// account had left alone, which may be more than the request counts.
func TestKeptForUrgentRanks(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(`{"time":"2026-06-10T17:35:06.500Z","msg":"account over its limit","Request":"4291","Account":"payroll","Units":1630,"LeftUnits":9000,"RatePerSecond":200,"LimitPerSecond":240,"DaemonsCounted":59,"Daemons":59,"Rank":2,"ReserveUnits":20000,"PromisedUnits":4100}
{"time":"2026-06-10T17:35:06.500Z","msg":"request ended","Request":"4291","Status":429,"Reason":"AccountLimit","Offers":0,"Config":21,"Daemon":"d","RetryAfterMillis":2100,"Account":"payroll"}
`), "4291")
	require.NoError(t, err)
	require.Equal(t, outcome.Refused(outcome.CallerLimit, 2100), record.Outcome)
	text := explain.Render(record, explain.Regulator)
	require.Contains(t, text, "had 9000 units left and the request counts 1630")
	require.Contains(t, text, "at its limit 20000 units are kept for ranks more urgent than 2; callers refused before were promised 4100 units")
	require.Contains(t, text, "may be sent again after 3 seconds")
}

// TestShed checks that the detail of a request that was shed states the load and its target.
func TestShed(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(`{"time":"2026-06-10T17:35:06.500Z","msg":"request shed","Request":"4292","Service":"quotes","LoadTenths":41,"TargetTenths":25,"Rank":1,"RetryAfterMillis":180}
{"time":"2026-06-10T17:35:06.500Z","msg":"request ended","Request":"4292","Status":503,"Reason":"Overloaded","Offers":0,"Config":21,"Daemon":"d","RetryAfterMillis":180,"Service":"quotes"}
`), "4292")
	require.NoError(t, err)
	require.Equal(t, outcome.Refused(outcome.ServiceOverloaded, 180), record.Outcome)
	require.Contains(t, explain.Render(record, explain.Regulator), "quotes had 4.1 requests in progress for each slot; above 2.5")
}

func TestMissingOrUnfinishedRequest(t *testing.T) {
	_, err := requestlog.Read(strings.NewReader(log), "none")
	require.ErrorIs(t, err, requestlog.ErrNotFound)
	_, err = requestlog.Read(strings.NewReader(log), "aaaa")
	require.ErrorContains(t, err, "not how it ended")
}

// FuzzRead checks that no content of a log makes Read panic.
func FuzzRead(f *testing.F) {
	f.Add(log, "765d")
	f.Fuzz(func(t *testing.T, text, request string) {
		record, err := requestlog.Read(strings.NewReader(text), request)
		if err == nil {
			require.Equal(t, request, record.Request)
			require.NotEmpty(t, record.Outcome.Kind)
		}
	})
}

// TestServerFailure checks that an error response of a server is explained as an answer,
// not as a refusal.
func TestServerFailure(t *testing.T) {
	const lines = `{"time":"2026-06-10T17:35:11.139Z","msg":"request sent","Request":"8bc7","Server":"i-62"}
{"time":"2026-06-10T17:35:11.141Z","msg":"server failed","Request":"8bc7","Server":"i-62","Status":500}
{"time":"2026-06-10T17:35:11.141Z","msg":"request ended","Request":"8bc7","Status":500,"Reason":"ServerFailure","Offers":1,"Config":9,"Daemon":"d","Route":"r1","Service":"s","Kind":"streaming"}`
	record, err := requestlog.Read(strings.NewReader(lines), "8bc7")
	require.NoError(t, err)
	require.Equal(t, outcome.Answered, record.Outcome.Kind)
	text := explain.Render(record, explain.Regulator)
	require.Contains(t, text, "to s was answered with a failure. The server ran the request")
	require.Contains(t, text, `The caller is not named by the record; rule "r1" was applied. The request was treated as streaming.`)
	require.Contains(t, text, "at server i-62: the request was sent; it ended as Answered")
}

// TestProxied guards against a record of a request that went by way of a peer which shows the peer's ending
// in place of what the caller received, in whichever order the lines of the two daemons stand.
func TestProxied(t *testing.T) {
	entry := `{"time":"2026-06-10T17:35:06.500Z","msg":"request sent to peer","Request":"4293","Peer":"b","LeftMillis":900}
{"time":"2026-06-10T17:35:06.900Z","msg":"request ended","Request":"4293","Status":504,"Reason":"Timeout","Offers":1,"Config":21,"Daemon":"a","Service":"quotes"}
`
	proxy := `{"time":"2026-06-10T17:35:06.510Z","msg":"request sent","Request":"4293","Server":"i-7"}
{"time":"2026-06-10T17:35:06.910Z","msg":"request ended","Request":"4293","Status":0,"Reason":"CallerLeft","Offers":1,"Config":21,"Daemon":"b","Entry":"a","Service":"quotes"}
`
	for _, log := range []string{entry + proxy, proxy + entry} {
		record, err := requestlog.Read(strings.NewReader(log), "4293")
		require.NoError(t, err)
		require.EqualValues(t, "a", record.Daemon)
		require.Equal(t, outcome.MayHaveRun(outcome.AnswerLate), record.Outcome)
		require.Len(t, record.Attempts, 1)
		require.EqualValues(t, "i-7", record.Attempts[0].Engine)
		require.Equal(t, "daemon a reached no server, and sent the request to daemon b", record.Detail)
	}
}

// TestResumedStream guards against refusals to go on with a stream that do not say what was known of it.
func TestResumedStream(t *testing.T) {
	record, err := requestlog.Read(strings.NewReader(`{"time":"2026-12-03T22:00:00Z","msg":"stream resumed","Request":"r1","FirstAttempt":"r0","After":"7","Source":"recorded","Software":"v1"}
{"time":"2026-12-03T22:00:00Z","msg":"request ended","Request":"r1","Status":503,"Reason":"NoSoftwareVersion","Daemon":"d"}
`), "r1")
	require.NoError(t, err)
	require.Equal(t, outcome.NoSoftwareVersion, record.Outcome.Reason)
	require.Equal(t, outcome.NotRun, record.Outcome.Kind)
	require.Equal(t, `the request was to go on after event "7" of the stream of attempt "r0", which began at software version v1 (recorded)`, record.Detail)
}
