package command_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/control/config"
	"teaselmoor/internal/serve/command"
)

// readExample returns the example configuration of a deployment.
func readExample(t testing.TB, deployment string) string {
	t.Helper()
	text, err := os.ReadFile(examples + deployment + "/configuration.yaml")
	require.NoError(t, err)
	return string(text)
}

func TestCheckNamesFileLineAndKey(t *testing.T) {
	good := readExample(t, "cantabrica")
	lines := strings.Split(good, "\n")
	path := writeFile(t, strings.Replace(good, "Class: Urgent", "Class: Soon", 1))
	result := run(t, "", "check", "-configuration", path)
	require.Equal(t, command.ExitMistakes, result.code)
	at := 0
	for i, line := range lines {
		if strings.Contains(line, "Class: Urgent") {
			at = i + 1
			break
		}
	}
	require.Contains(t, result.out, path+":"+strconv.Itoa(at)+": Rules[0].Class: class \"Soon\": want Urgent or Routine")
	require.Contains(t, result.err, "1 mistakes")
}

func TestCheckShowsEffectsOfChange(t *testing.T) {
	present := examples + "cantabrica/configuration.yaml"
	next := strings.Replace(readExample(t, "cantabrica"), "Version: 1\n", "Version: 2\n", 1)
	next = strings.Replace(next, "Callers: Role in (HROfficer, EnrolmentDesk)\n", "Callers: Role=HROfficer\n", 1)
	result := run(t, "", "check", "-configuration", writeFile(t, next), "-present", present)
	require.Equal(t, command.ExitDone, result.code, result.out)
	require.Contains(t, result.out, "version 1 to 2, over 55 pairs")
	require.Contains(t, result.out, "1 were permitted and would be refused")
	require.Contains(t, result.out, "enrolment-desk register: rule registrations -> no rule matches")

	result = run(t, "", "check", "-json", "-configuration", present, "-present", present)
	require.Equal(t, command.ExitMistakes, result.code)
	var report struct {
		Mistakes []struct{ File, Key string }
		Change   struct{ Requests int }
	}
	require.NoError(t, json.Unmarshal([]byte(result.out), &report))
	require.Equal(t, "Version", report.Mistakes[0].Key)
	require.Equal(t, 55, report.Change.Requests)
}

// TestPublishPack assembles the files that publish-pack wrote, and checks that the
// command writes nothing for a configuration with mistakes.
func TestPublishPack(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "pack")
	result := run(t, "", "publish-pack", "-json", "-configuration", examples+"ramcharan/configuration.yaml", "-out", directory)
	require.Equal(t, command.ExitDone, result.code, result.err)
	var report struct {
		Parts    []string
		Manifest string
	}
	require.NoError(t, json.Unmarshal([]byte(result.out), &report))
	text, err := os.ReadFile(report.Manifest)
	require.NoError(t, err)
	manifest, err := config.ParseManifest(text)
	require.NoError(t, err)
	parts := map[string][]byte{}
	for _, path := range report.Parts {
		parts[filepath.Base(path)], err = os.ReadFile(path)
		require.NoError(t, err)
	}
	assembled, err := config.Assemble(manifest, parts)
	require.NoError(t, err)
	require.Len(t, assembled.Adapters, 7)
	require.Empty(t, config.Validate(assembled))

	bad := writeFile(t, "Version: 0\n")
	result = run(t, "", "publish-pack", "-configuration", bad, "-out", filepath.Join(directory, "none"))
	require.Equal(t, command.ExitMistakes, result.code)
	require.Contains(t, result.out, bad+":1: Version: must be above 0")
	require.NoDirExists(t, filepath.Join(directory, "none"))
}

// TestCheckRefusesForbiddenChange checks a configuration that moves a caller to
// another region, which config.CheckSuccessor does not allow.
func TestCheckRefusesForbiddenChange(t *testing.T) {
	present := readExample(t, "ramcharan")
	present = strings.Replace(present, "- Name: office\n", "- Name: office\n  Region: trinidad\n", 1)
	next := strings.Replace(present, "  Region: trinidad\n  KeyHash", "  KeyHash", 1)
	next = strings.Replace(next, "Version: 1\n", "Version: 2\n", 1)
	path := writeFile(t, next)
	result := run(t, "", "check", "-configuration", path, "-present", writeFile(t, present))
	require.Equal(t, command.ExitMistakes, result.code, result.out)
	require.Contains(t, result.out, `Callers[2].Region: caller "office" is kept in region "trinidad"`)
	require.Contains(t, result.out, "version 1 to 2")
}
