package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/serve/program"
	"teaselmoor/internal/standin/site"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small site of two organisations in this process, send a few requests, and stay up",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "stop after the requests"},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' logs to `FILE`", Value: os.DevNull},
		},
		Action: func(invocation *cli.Context) error {
			ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return demo(ctx, invocation.Bool("once"), invocation.String("log"), invocation.App.Writer)
		},
	}
}

func demo(ctx context.Context, once bool, logPath string, out io.Writer) error {
	logFile, err := os.Create(logPath)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = logFile.Close() }()
	log := slog.New(slog.NewJSONHandler(logFile, nil))
	standIns, endStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer endStandIns()
	running, err := site.New(standIns, demoOptions())
	if err != nil {
		return err
	}
	daemons, endDaemons := context.WithCancel(ctx)
	defer endDaemons()
	var ended sync.WaitGroup
	for _, each := range running.Settings {
		ended.Add(1)
		go func() {
			defer ended.Done()
			if err := program.Serve(daemons, each, log); err != nil {
				_, _ = fmt.Fprintln(out, "daemon failed:", err)
				endDaemons()
			}
		}()
	}
	err = show(daemons, running, out)
	if err == nil && !once {
		printCurl(running, out)
		<-daemons.Done()
	}
	endDaemons()
	ended.Wait()
	endStandIns()
	running.Wait()
	return err
}

// demoOptions describe both organisations, with a few adapters each.
func demoOptions() site.Options {
	options := site.DefaultOptions()
	options.Deployments = site.PublishedDeployments()
	options.Daemons, options.Engines, options.Adapters = 4, 9, 60
	return options
}

// step is one request of the demo.
type step struct {
	title  string
	entry  settings.Settings
	apiKey string
	path   string
	body   string
	keyed  bool
}

// show sends a few requests and prints what came back.
func show(ctx context.Context, running *site.Site, out io.Writer) error {
	for _, each := range running.Settings {
		if err := waitReady(ctx, each); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%s in %s: callers at http://%s, operators at http://%s\n",
			each.Name, each.DataCentre, each.CallerAddress, each.OperatorAddress)
	}
	for _, step := range demoSteps(running) {
		if err := showOne(ctx, step, out); err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	return nil
}

func demoSteps(running *site.Site) []step {
	deployments := site.PublishedDeployments()
	pensions, drains := deployments[0], deployments[1]
	first, last := running.Settings[0], running.Settings[len(running.Settings)-1]
	model := func(task string) string {
		return fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":4}`, running.Adapter(task))
	}
	const completions = "/v1/completions"
	return []step{
		{"an urgent contract review", first, pensions.CallerKey, completions, model("cantabrica-contract-review"), false},
		{"a routine enrolment notice", running.Settings[1], pensions.CallerKey, completions, model("cantabrica-enrolment-notice"), false},
		{"an opt-out at the records service", first, pensions.CallerKey, callers.ServicesPath + pensions.Service + "/opt-outs", `{"member":1}`, true},
		{"an urgent defect report", last, drains.CallerKey, completions, model("ramcharan-defect-report"), false},
		{"a quote with its idempotency key", last, drains.CallerKey, completions, model("ramcharan-quote"), true},
		{"a quote without one", last, drains.CallerKey, completions, model("ramcharan-quote"), false},
		{"an adapter of the other organisation", last, drains.CallerKey, completions, model("cantabrica-contract-review"), false},
		{"an unknown adapter", first, pensions.CallerKey, completions, `{"model":"nothing@1"}`, false},
	}
}

func printCurl(running *site.Site, out io.Writer) {
	pensions := site.PublishedDeployments()[0]
	_, _ = fmt.Fprintf(out, "The site stays up; interrupt to end it. For example:\n"+
		"curl http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true}'\n",
		running.Settings[0].CallerAddress, pensions.CallerKey, running.Adapter("cantabrica-contract-review"))
}

// showOne sends one request. A key that no home can vouch for yet, because it
// was issued too soon after the daemons' start, did not run: a new one is tried.
func showOne(ctx context.Context, step step, out io.Writer) error {
	for {
		shown, err := send(ctx, step)
		if err != nil {
			return err
		}
		if shown.reason != string(outcome.KeyNotVouched) {
			_, _ = fmt.Fprintf(out, "%s via %s: %d %s %s\n  %s\n",
				step.title, step.entry.Name, shown.status, shown.outcome, shown.reason, shown.summary())
			return nil
		}
		if err := rest(ctx); err != nil {
			return err
		}
	}
}

// answer is what came back for a request of the demo.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// summary is the sentence of a refusal, or the answer itself.
func (answer answer) summary() string {
	var refusal struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(answer.body, &refusal) == nil && refusal.Error.Message != "" {
		return refusal.Error.Message
	}
	return string(bytes.TrimSpace(answer.body))
}

func send(ctx context.Context, step step) (answer, error) {
	target := "http://" + step.entry.CallerAddress + step.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(step.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+step.apiKey)
	request.Header.Set("Content-Type", "application/json")
	if step.keyed {
		request.Header.Set(callers.IdempotencyKeyHeader, uuid.Must(uuid.NewV7()).String())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, body: body,
		outcome: response.Header.Get(callers.OutcomeHeader), reason: response.Header.Get(callers.ReasonHeader),
	}, err
}

const readyPoll = 20 * time.Millisecond

func waitReady(ctx context.Context, each settings.Settings) error {
	for {
		response, err := http.Get("http://" + each.OperatorAddress + operators.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := rest(ctx); err != nil {
			return err
		}
	}
}

// rest pauses between two tries.
func rest(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyPoll):
		return nil
	}
}
