package program_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/serve/program"
	"teaselmoor/internal/standin/modelengine"
	"teaselmoor/internal/standin/site"
)

const waitTimeout = 30 * time.Second

// startSite runs a site of stand-ins and its daemons in this process until the
// test ends. It returns when all daemons are ready.
func startSite(t testing.TB, options site.Options) *site.Site {
	t.Helper()
	return startLoggedSite(t, options, slog.New(slog.DiscardHandler))
}

// startLoggedSite is like startSite; the daemons write to log.
func startLoggedSite(t testing.TB, options site.Options, log *slog.Logger) *site.Site {
	t.Helper()
	standIns, stopStandIns := context.WithCancel(context.Background())
	testSite, err := site.New(standIns, options)
	require.NoError(t, err)
	daemons, stopDaemons := context.WithCancel(context.Background())
	ends := make(chan error, len(testSite.Settings))
	for _, each := range testSite.Settings {
		go func() { ends <- program.Serve(daemons, each, log) }()
	}
	t.Cleanup(func() {
		stopDaemons()
		for range testSite.Settings {
			require.NoError(t, <-ends)
		}
		stopStandIns()
		testSite.Wait()
	})
	for _, each := range testSite.Settings {
		waitFor(t, func() bool { return isReady(each) })
	}
	return testSite
}

func isReady(each settings.Settings) bool {
	response, err := http.Get("http://" + each.OperatorAddress + operators.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor waits until condition holds and fails the test after waitTimeout.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, 10*time.Millisecond)
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// post sends a request to a daemon's caller address with the site's API key, and
// with an idempotency key unless key is empty.
func post(t testing.TB, entry settings.Settings, path, key, body string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.CallerAddress+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	if key != "" {
		request.Header.Set(callers.IdempotencyKeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return answer{
		status: response.StatusCode, body: text,
		outcome: response.Header.Get(callers.OutcomeHeader), reason: response.Header.Get(callers.ReasonHeader),
	}
}

// TestEveryEntryServes sends requests for several adapters through each daemon, so
// that some requests arrive at the owner of their engine and others at another
// daemon.
func TestEveryEntryServes(t *testing.T) {
	testSite := startSite(t, site.DefaultOptions())
	for _, entry := range testSite.Settings {
		for _, adapter := range testSite.Config.Adapters[:6] {
			if adapter.Labels["task"] == "quote" {
				continue
			}
			model := adapter.Address().String()
			got := post(t, entry, "/v1/completions", "", `{"model":"`+model+`","max_tokens":3}`)
			require.Equal(t, http.StatusOK, got.status, "%s", got.body)
			var body struct {
				Model   string
				Choices []struct{ Text string }
			}
			require.NoError(t, json.Unmarshal(got.body, &body))
			require.Equal(t, model, body.Model)
			require.Equal(t, model+"#0 "+model+"#1 "+model+"#2 ", body.Choices[0].Text)
		}
	}
}

// TestOpenAIClient uses the public OpenAI client, unmodified, with a daemon.
func TestOpenAIClient(t *testing.T) {
	testSite := startSite(t, site.DefaultOptions())
	model := testSite.AdapterAddress("review")
	client := openai.NewClient(
		option.WithBaseURL("http://"+testSite.Settings[0].CallerAddress+"/v1/"), option.WithAPIKey(site.CallerKey))

	completion, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(2),
	})
	require.NoError(t, err)
	require.Equal(t, model+"#0 "+model+"#1 ", completion.Choices[0].Message.Content)

	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(3),
	})
	var text bytes.Buffer
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	require.NoError(t, stream.Err())
	require.Equal(t, model+"#0 "+model+"#1 "+model+"#2 ", text.String())

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, len(testSite.Config.Adapters))

	_, err = client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "nothing@1", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	var refusal *openai.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, "UnknownModel", refusal.Code)
}

// TestServiceCallRunsOnce repeats a service call with the same idempotency key
// through every daemon. The call must run once.
func TestServiceCallRunsOnce(t *testing.T) {
	testSite := startSite(t, site.DefaultOptions())
	path := callers.ServicesPath + site.Service + "/opt-outs"
	var key string
	var first answer
	waitFor(t, func() bool { // a home accepts only keys that were issued after its start
		key = uuid.Must(uuid.NewV7()).String()
		first = post(t, testSite.Settings[0], path, key, `{"member":1}`)
		return first.status == http.StatusOK
	})
	for _, entry := range testSite.Settings {
		again := post(t, entry, path, key, `{"member":1}`)
		require.Equal(t, first.body, again.body)
		other := post(t, entry, path, key, `{"member":2}`)
		require.Equal(t, "KeyConflict", other.reason)
	}
	require.Len(t, testSite.Records.Ledger(), 1)
}

// TestCallerDisconnectCancelsRun closes the caller's connection and waits until the
// engine's ledger shows that the run was cancelled.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	options := site.DefaultOptions()
	options.Engines = 1
	testSite := startSite(t, options)
	ctx, disconnect := context.WithCancel(t.Context())
	body := `{"model":"` + testSite.AdapterAddress("review") + `","stream":true,"max_tokens":100000}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+testSite.Settings[0].CallerAddress+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	disconnect()
	_ = response.Body.Close()
	waitFor(t, func() bool { return firstEnding(testSite.Engines["engine-0"]) == modelengine.Cancelled })
}

// firstEnding returns how the first run in an engine's ledger ended, or "" if it has not
// ended or the ledger is empty.
func firstEnding(engine *modelengine.Engine) modelengine.Ending {
	ledger := engine.Ledger()
	if len(ledger) == 0 {
		return ""
	}
	return ledger[0].Ended
}
