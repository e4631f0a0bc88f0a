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

const patience = 30 * time.Second

// startSite runs a site and its daemons in this process until the test ends.
func startSite(t testing.TB, options site.Options) *site.Site {
	t.Helper()
	return startLoggedSite(t, options, slog.New(slog.DiscardHandler))
}

// startLoggedSite is startSite with a log.
func startLoggedSite(t testing.TB, options site.Options, log *slog.Logger) *site.Site {
	t.Helper()
	standIns, endStandIns := context.WithCancel(context.Background())
	running, err := site.New(standIns, options)
	require.NoError(t, err)
	daemons, endDaemons := context.WithCancel(context.Background())
	ends := make(chan error, len(running.Settings))
	for _, each := range running.Settings {
		go func() { ends <- program.Serve(daemons, each, log) }()
	}
	t.Cleanup(func() {
		endDaemons()
		for range running.Settings {
			require.NoError(t, <-ends)
		}
		endStandIns()
		running.Wait()
	})
	for _, each := range running.Settings {
		waitFor(t, func() bool { return isReady(each) })
	}
	return running
}

func isReady(each settings.Settings) bool {
	response, err := http.Get("http://" + each.OperatorAddress + operators.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor waits for a condition, never for a time.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, 10*time.Millisecond)
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

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

// TestEveryEntryServes sends requests for many adapters through each daemon:
// entry and owner are the same daemon for some and different ones for others.
func TestEveryEntryServes(t *testing.T) {
	running := startSite(t, site.DefaultOptions())
	for _, entry := range running.Settings {
		for _, adapter := range running.Config.Adapters[:6] {
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

// TestOpenAIClient drives the public client against a daemon, unchanged.
func TestOpenAIClient(t *testing.T) {
	running := startSite(t, site.DefaultOptions())
	model := running.Adapter("review")
	client := openai.NewClient(
		option.WithBaseURL("http://"+running.Settings[0].CallerAddress+"/v1/"), option.WithAPIKey(site.CallerKey))

	whole, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(2),
	})
	require.NoError(t, err)
	require.Equal(t, model+"#0 "+model+"#1 ", whole.Choices[0].Message.Content)

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
	require.Len(t, models.Data, len(running.Config.Adapters))

	_, err = client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "nothing@1", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	var refusal *openai.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, "UnknownModel", refusal.Code)
}

// TestServiceCallRunsOnce repeats a call under its key through every daemon.
func TestServiceCallRunsOnce(t *testing.T) {
	running := startSite(t, site.DefaultOptions())
	path := callers.ServicesPath + site.Service + "/opt-outs"
	var key string
	var first answer
	waitFor(t, func() bool { // a home vouches only for keys issued after its start
		key = uuid.Must(uuid.NewV7()).String()
		first = post(t, running.Settings[0], path, key, `{"member":1}`)
		return first.status == http.StatusOK
	})
	for _, entry := range running.Settings {
		again := post(t, entry, path, key, `{"member":1}`)
		require.Equal(t, first.body, again.body)
		other := post(t, entry, path, key, `{"member":2}`)
		require.Equal(t, "KeyConflict", other.reason)
	}
	require.Len(t, running.Records.Ledger(), 1)
}

// TestCallerGoneCancelsRun closes the caller's connection and waits for the
// engine's ledger to show the cancel.
func TestCallerGoneCancelsRun(t *testing.T) {
	options := site.DefaultOptions()
	options.Engines = 1
	running := startSite(t, options)
	ctx, leave := context.WithCancel(t.Context())
	body := `{"model":"` + running.Adapter("review") + `","stream":true,"max_tokens":100000}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+running.Settings[0].CallerAddress+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	leave()
	_ = response.Body.Close()
	waitFor(t, func() bool { return ended(running.Engines["engine-0"]) == modelengine.Cancelled })
}

func ended(engine *modelengine.Engine) modelengine.Ending {
	ledger := engine.Ledger()
	if len(ledger) == 0 {
		return ""
	}
	return ledger[0].Ended
}
