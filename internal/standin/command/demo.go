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
		return errors.Wrap(err, "create log file")
	}
	defer func() { _ = logFile.Close() }()
	log := slog.New(slog.NewJSONHandler(logFile, nil))
	standInContext, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandIns()
	demoSite, err := site.New(standInContext, demoOptions())
	if err != nil {
		return err
	}
	daemonContext, stopDaemons := context.WithCancel(ctx)
	defer stopDaemons()
	var daemons sync.WaitGroup
	for _, daemonSettings := range demoSite.Settings {
		daemons.Add(1)
		go func() {
			defer daemons.Done()
			if err := program.Serve(daemonContext, daemonSettings, log); err != nil {
				_, _ = fmt.Fprintln(out, "daemon failed:", err)
				stopDaemons()
			}
		}()
	}
	err = sendDemoRequests(daemonContext, demoSite, out)
	if err == nil && !once {
		printCurl(demoSite, out)
		<-daemonContext.Done()
	}
	stopDaemons()
	daemons.Wait()
	stopStandIns()
	demoSite.Wait()
	return err
}

// demoOptions returns the options of a small site with a deployment of each
// organisation.
func demoOptions() site.Options {
	options := site.DefaultOptions()
	options.Deployments = site.OrganisationDeployments()
	options.Daemons, options.Engines, options.Adapters = 4, 9, 60
	return options
}

// demoRequest is a request that the demo sends.
type demoRequest struct {
	title   string
	daemon  settings.Settings // of the daemon that receives the request
	apiKey  string
	path    string
	body    string
	withKey bool // whether an idempotency key is sent
}

// sendDemoRequests waits until all daemons are ready, sends the requests of the
// demo and prints the answers.
func sendDemoRequests(ctx context.Context, demoSite *site.Site, out io.Writer) error {
	for _, daemonSettings := range demoSite.Settings {
		if err := waitReady(ctx, daemonSettings); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%s in %s: callers at http://%s, operators at http://%s\n",
			daemonSettings.Name, daemonSettings.DataCentre, daemonSettings.CallerAddress, daemonSettings.OperatorAddress)
	}
	for _, request := range demoRequests(demoSite) {
		if err := sendUntilKeyAccepted(ctx, request, out); err != nil {
			return errors.Wrap(err, request.title)
		}
	}
	return nil
}

// demoRequests returns the requests of the demo, in the order in which they are sent.
func demoRequests(demoSite *site.Site) []demoRequest {
	deployments := site.OrganisationDeployments()
	cantabrica, ramcharan := deployments[0], deployments[1]
	first, last := demoSite.Settings[0], demoSite.Settings[len(demoSite.Settings)-1]
	model := func(task string) string {
		return fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":4}`, demoSite.AdapterAddress(task))
	}
	const completions = "/v1/completions"
	return []demoRequest{
		{"an urgent contract review", first, cantabrica.CallerKey, completions, model("cantabrica-contract-review"), false},
		{"a routine enrolment notice", demoSite.Settings[1], cantabrica.CallerKey, completions, model("cantabrica-enrolment-notice"), false},
		{"an opt-out at the records service", first, cantabrica.CallerKey, callers.ServicesPath + cantabrica.Service + "/opt-outs", `{"member":1}`, true},
		{"an urgent defect report", last, ramcharan.CallerKey, completions, model("ramcharan-defect-report"), false},
		{"a quote with its idempotency key", last, ramcharan.CallerKey, completions, model("ramcharan-quote"), true},
		{"a quote without one", last, ramcharan.CallerKey, completions, model("ramcharan-quote"), false},
		{"an adapter of the other organisation", last, ramcharan.CallerKey, completions, model("cantabrica-contract-review"), false},
		{"an unknown adapter", first, cantabrica.CallerKey, completions, `{"model":"nothing@1"}`, false},
	}
}

func printCurl(demoSite *site.Site, out io.Writer) {
	cantabrica := site.OrganisationDeployments()[0]
	_, _ = fmt.Fprintf(out, "The site stays up; interrupt to end it. For example:\n"+
		"curl http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true}'\n",
		demoSite.Settings[0].CallerAddress, cantabrica.CallerKey, demoSite.AdapterAddress("cantabrica-contract-review"))
}

// sendUntilKeyAccepted sends a request and prints the answer. A request whose
// idempotency key was issued so soon after the start of the daemons that none can
// vouch for it has not run and is sent again with a new key.
func sendUntilKeyAccepted(ctx context.Context, request demoRequest, out io.Writer) error {
	for {
		answer, err := send(ctx, request)
		if err != nil {
			return err
		}
		if answer.reason != string(outcome.KeyNotVouched) {
			_, _ = fmt.Fprintf(out, "%s via %s: %d %s %s\n  %s\n",
				request.title, request.daemon.Name, answer.status, answer.outcome, answer.reason, answer.summary())
			return nil
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return err
		}
	}
}

// answer is the response to a request of the demo.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// summary returns the message of an error body, or the whole body.
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

// send sends a request once, with a new idempotency key if it has one.
func send(ctx context.Context, demoRequest demoRequest) (answer, error) {
	target := "http://" + demoRequest.daemon.CallerAddress + demoRequest.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(demoRequest.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+demoRequest.apiKey)
	request.Header.Set("Content-Type", "application/json")
	if demoRequest.withKey {
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

const pollInterval = 20 * time.Millisecond

// waitReady waits until a daemon reports that it is ready.
func waitReady(ctx context.Context, daemonSettings settings.Settings) error {
	for {
		response, err := http.Get("http://" + daemonSettings.OperatorAddress + operators.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return err
		}
	}
}

// waitBeforeRetry waits for the poll interval or until the context ends.
func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}
