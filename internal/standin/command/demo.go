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
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/serve/program"
	"teaselmoor/internal/standin/site"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small site with three daemons in this process, send a few requests, and stay up",
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
	running, err := site.New(standIns, site.DefaultOptions())
	if err != nil {
		return err
	}
	daemons, endDaemons := context.WithCancel(ctx)
	var ended sync.WaitGroup
	for _, each := range running.Settings {
		ended.Add(1)
		go func() {
			defer ended.Done()
			if err := program.Serve(daemons, each, log); err != nil {
				_, _ = fmt.Fprintln(out, "daemon failed:", err)
			}
		}()
	}
	err = show(ctx, running, out)
	if err == nil && !once {
		_, _ = fmt.Fprintln(out, "The site stays up; interrupt to end it.")
		<-ctx.Done()
	}
	endDaemons()
	ended.Wait()
	endStandIns()
	running.Wait()
	return err
}

// show sends a few requests and prints what came back.
func show(ctx context.Context, running *site.Site, out io.Writer) error {
	for _, each := range running.Settings {
		if err := waitReady(ctx, each); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%s: callers at http://%s, operators at http://%s\n", each.Name, each.CallerAddress, each.OperatorAddress)
	}
	model := func(address string) string {
		return fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":4}`, address)
	}
	steps := []struct{ title, path, body, key string }{
		{"an urgent review", "/v1/completions", model(running.Adapter("review")), ""},
		{"a routine draft", "/v1/completions", model(running.Adapter("draft")), ""},
		{"a quote without an idempotency key", "/v1/completions", model(running.Adapter("quote")), ""},
		{"a quote with its key", "/v1/completions", model(running.Adapter("quote")), uuid.Must(uuid.NewV7()).String()},
		{"a record", callers.ServicesPath + site.Service + "/opt-outs", `{"member":1}`, uuid.Must(uuid.NewV7()).String()},
		{"an unknown adapter", "/v1/completions", model("nothing@1"), ""},
	}
	for i, step := range steps {
		entry := running.Settings[i%len(running.Settings)]
		if err := showOne(ctx, entry, step.title, step.path, step.body, step.key, out); err != nil {
			return err
		}
	}
	return nil
}

func showOne(ctx context.Context, entry settings.Settings, title, path, body, key string, out io.Writer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallerAddress+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(callers.KeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, title)
	}
	defer func() { _ = response.Body.Close() }()
	var answer json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return errors.Wrap(err, title)
	}
	_, _ = fmt.Fprintf(out, "%s via %s: %d %s/%s\n  %s\n", title, entry.Name, response.StatusCode,
		response.Header.Get(callers.OutcomeHeader), response.Header.Get(callers.ReasonHeader), answer)
	return nil
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
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
	}
}
