package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// Limits of a call to a daemon or gateway.
const (
	callTimeout = 10 * time.Second
	maxAnswer   = 64 << 20 // bytes of an answer that are read
)

func daemonFlag() cli.Flag {
	return &cli.StringFlag{Name: "daemon", Usage: "ask the daemon with the operator address `IP:PORT`", EnvVars: []string{"TEASELMOOR_DAEMON"}}
}

// operatorAddress returns the operator address in the -daemon flag.
func operatorAddress(invocation *cli.Context) (string, error) {
	address, err := requiredFlag(invocation, "daemon")
	if err != nil {
		return "", err
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", withCode(ExitUsage, errors.Errorf("-daemon %q: want an IP number and port", address))
	}
	return address, nil
}

// fetch reads a path of a daemon's operator API and decodes the JSON answer into
// answer. The daemon may take up to wait longer than other calls, for long polling.
func fetch(ctx context.Context, address, path string, wait time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return withCode(ExitUsage, errors.Wrap(err, "call the daemon"))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return withCode(ExitUnreachable, errors.Wrap(err, "call the daemon"))
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return withCode(ExitUnreachable, errors.Wrap(err, "call the daemon"))
	}
	if response.StatusCode != http.StatusOK {
		return answerError(response.StatusCode, text)
	}
	return errors.Wrap(json.Unmarshal(text, answer), "read the daemon's answer")
}

// answerError returns the error for an answer whose status is not 200 OK.
func answerError(status int, text []byte) error {
	var body struct{ Error string }
	_ = json.Unmarshal(text, &body)
	err := errors.Errorf("the daemon answered %d %s", status, body.Error)
	if status == http.StatusNotFound {
		return withCode(ExitNotFound, err)
	}
	return err
}
