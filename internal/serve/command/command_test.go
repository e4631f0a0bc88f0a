package command_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/serve/command"
)

// result is the exit code and the output of a run of the program.
type result struct {
	code int
	out  string
	err  string
}

// run runs the program with the given standard input and arguments.
func run(t testing.TB, in string, arguments ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	code := command.Run(t.Context(), append([]string{"teaselmoor"}, arguments...), strings.NewReader(in), &out, &errOut)
	return result{code: code, out: out.String(), err: errOut.String()}
}

func writeFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const examples = "../../../examples/"

var deployments = []string{"cantabrica", "ramcharan"}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		code      int
		err       string
	}{
		{"help", nil, command.ExitDone, ""},
		{"unknown command", []string{"unload"}, command.ExitUsage, "unknown command"},
		{"unknown flag", []string{"status", "-engine", "x"}, command.ExitUsage, "flag provided but not defined"},
		{"flag missing", []string{"serve"}, command.ExitUsage, "-settings must be given"},
		{"no file", []string{"serve", "-settings", "/nonexistent"}, command.ExitFailed, "no such file"},
		{"bad address", []string{"status", "-daemon", "here"}, command.ExitUsage, "IP number and port"},
		{"daemon away", []string{"status", "-daemon", "127.0.0.1:1"}, command.ExitUnreachable, "refused"},
		{"bad gateway", []string{"status", "-gateway", "here"}, command.ExitUsage, "IP number and port"},
		{"gateway away", []string{"status", "-gateway", "127.0.0.1:1"}, command.ExitUnreachable, "refused"},
		{"log without request", []string{"explain", "-log"}, command.ExitUsage, "-request must be given"},
		{"bad time", []string{"audit", "-daemon", "127.0.0.1:1", "-since", "noon"}, command.ExitUsage, "RFC 3339"},
		{"bad audience", []string{"explain", "-audience", "press"}, command.ExitUsage, "want member"},
		{"bad shell", []string{"completion", "csh"}, command.ExitUsage, "want bash or zsh"},
		{"nothing to check", []string{"check"}, command.ExitUsage, "give -settings"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			result := run(t, "", each.arguments...)
			require.Equal(t, each.code, result.code, result.err)
			require.Contains(t, result.err, each.err)
		})
	}
}

func TestServeReportsEveryMistake(t *testing.T) {
	result := run(t, "", "serve", "-settings", writeFile(t, "Name: a\nRegoin: b\n"))
	require.Equal(t, command.ExitMistakes, result.code)
	require.Contains(t, result.err, "line 2: Regoin: unknown key")
	require.Contains(t, result.err, "line 1: DataCentre: must not be empty")
}

func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range deployments {
		t.Run(deployment, func(t *testing.T) {
			result := run(t, "", "check", "-settings", examples+deployment+"/settings.yaml",
				"-configuration", examples+deployment+"/configuration.yaml")
			require.Equal(t, command.ExitDone, result.code, result.out)
		})
	}
}

// TestExampleDecisions checks which rule, class and repeatability the example
// configurations give to requests.
func TestExampleDecisions(t *testing.T) {
	cases := []struct {
		deployment, caller, target string // a service if it has no @
		rule                       string // empty: refused
		class                      config.Class
		repeatable                 bool
	}{
		{"cantabrica", "payroll-minera-nalon", "contract-review-general@11", "contract-reviews", config.Urgent, true},
		{"cantabrica", "trustees", "escalation-summary@2", "trustee-escalations", config.Urgent, true},
		{"cantabrica", "payroll-minera-nalon", "payroll-run-general@3", "payroll-runs", config.Urgent, true},
		{"cantabrica", "payroll-minera-nalon", "eligibility-check-general@5", "eligibility-checks", config.Routine, true},
		{"cantabrica", "hr-minera-nalon", "enrolment-notice-general@8", "notices", config.Routine, true},
		{"cantabrica", "enrolment-desk", "register", "registrations", config.Urgent, false},
		{"cantabrica", "payroll-minera-nalon", "register", "", 0, false},
		{"ramcharan", "survey-vans", "defect-report-cast-iron@2", "defect-reports", config.Urgent, true},
		{"ramcharan", "office", "quote-estate@4", "quotes", config.Routine, false},
		{"ramcharan", "field-crews", "crew-app", "crew-app", config.Urgent, true},
		{"ramcharan", "estate-managers", "quote-estate@4", "", 0, false},
	}
	for _, each := range cases {
		t.Run(each.deployment+"/"+each.caller+"/"+each.target, func(t *testing.T) {
			decision, permitted := decide(t, each.deployment, each.caller, each.target)
			require.Equal(t, each.rule != "", permitted)
			require.Equal(t, each.rule, decision.Rule)
			require.Equal(t, each.class, decision.Class)
			require.Equal(t, each.repeatable, decision.Repeatable)
		})
	}
}

// decide returns the decision of a deployment's example configuration for a request
// of a caller to an adapter or service, and whether the request is permitted.
func decide(t testing.TB, deployment, callerName, target string) (config.Decision, bool) {
	t.Helper()
	text, err := os.ReadFile(examples + deployment + "/configuration.yaml")
	require.NoError(t, err)
	parsed, err := config.Parse(text)
	require.NoError(t, err)
	snapshot, err := config.Compile(parsed)
	require.NoError(t, err)
	caller, found := snapshot.Caller(callerName)
	require.True(t, found)
	for i := range parsed.Adapters {
		if parsed.Adapters[i].Address().String() == target {
			return snapshot.DecideModel(caller, &parsed.Adapters[i])
		}
	}
	service, found := snapshot.Service(target)
	require.True(t, found)
	return snapshot.DecideService(caller, service)
}

func TestSettingsCommand(t *testing.T) {
	result := run(t, "", "settings")
	require.Equal(t, command.ExitDone, result.code)
	require.Contains(t, result.out, "MaxBodyBytes: 4194304")
	var entries []settings.Entry
	require.NoError(t, json.Unmarshal([]byte(run(t, "", "settings", "-json").out), &entries))
	require.Equal(t, "Name", entries[0].Key)
}

func TestCompletion(t *testing.T) {
	original := os.Args // the cli library reads the previous word from os.Args
	defer func() { os.Args = original }()
	os.Args = []string{"teaselmoor", "--generate-bash-completion"}
	result := run(t, "", "--generate-bash-completion")
	for _, name := range []string{"serve", "check", "publish-pack", "status", "audit", "explain", "settings", "version"} {
		require.Contains(t, result.out, name)
	}
	require.Contains(t, run(t, "", "completion", "bash").out, "complete ")
}

func TestVersion(t *testing.T) {
	require.Contains(t, run(t, "", "version").out, "teaselmoor ")
	require.Contains(t, run(t, "", "version", "-json").out, `"Go":`)
}
