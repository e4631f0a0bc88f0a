package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/settings"
)

const identity = `Name: entry-1
DataCentre: oviedo-a
Region: norte
CallerAddress: 10.0.0.1:8080
InnerAddress: 10.0.0.1:8081
OperatorAddress: 10.0.0.1:8082
ConfigAddress: 10.0.0.9:80
VMListAddress: 10.0.0.9:81
`

func TestParseFillsDefaults(t *testing.T) {
	parsed, err := settings.Parse([]byte(identity + "Callers:\n  MaxBodyBytes: 2048\n"))
	require.NoError(t, err)
	want := settings.Default()
	require.Equal(t, int64(2048), parsed.Callers.MaxBodyBytes)
	require.Equal(t, want.Callers.MaxHeaderBytes, parsed.Callers.MaxHeaderBytes)
	require.Equal(t, want.Queue, parsed.Queue)
}

func TestParseListsEveryMistake(t *testing.T) {
	text := "Name: a\nDataCentre: \"\"\nCallerAddress: here:80\nCallers:\n  MaxBody: 4\n  MaxBodyBytes: 4\n" +
		"Operators:\n  LogLevel: Loud\n  Profiling: 2\nPeers:\n  PingMillis: 5000\n"
	want := `line 1: Region: must not be empty
line 1: InnerAddress: "": want an IP number and port
line 1: OperatorAddress: "": want an IP number and port
line 1: ConfigAddress: "": want an IP number and port
line 1: VMListAddress: "": want an IP number and port
line 2: DataCentre: must not be empty
line 3: CallerAddress: "here:80": want an IP number and port
line 5: Callers.MaxBody: unknown key
line 6: Callers.MaxBodyBytes: want 1024 to 67108864
line 8: Operators.LogLevel: "Loud": want one of Debug, Info, Warn, Error
line 9: Operators.Profiling: "2": want true or false
line 10: Peers.SilenceMillis: must be above PingMillis`
	for range 20 { // the order must be the same each time
		_, err := settings.Parse([]byte(text))
		require.EqualError(t, err, want)
	}
}

func TestDefaultsAreInRange(t *testing.T) {
	for _, mistake := range settings.Default().Check() {
		require.NotContains(t, mistake.Key, ".", "only settings of identity and addresses may lack a default: %s", mistake)
	}
}

func TestEverySettingIsDocumented(t *testing.T) {
	entries, err := settings.Describe()
	require.NoError(t, err)
	units := []string{"Millis", "Bytes"}
	for _, entry := range entries {
		require.NotEmpty(t, entry.Doc, entry.Key)
		for _, unit := range units {
			if strings.HasSuffix(entry.Key, unit) {
				require.Contains(t, entry.Doc, map[string]string{"Millis": "milliseconds", "Bytes": "bytes"}[unit], entry.Key)
			}
		}
	}
}

func TestTemplateIsValid(t *testing.T) {
	template, err := settings.Template()
	require.NoError(t, err)
	_, err = settings.Parse([]byte(strings.Replace(template, "Name: \"\"", "Name: a", 1)))
	require.Error(t, err)
	require.NotContains(t, err.Error(), "unknown key")
	require.Len(t, strings.Split(err.Error(), "\n"), 7, "only identity and addresses are missing: %v", err)
}

// TestPageMatchesCode checks that docs/SETTINGS.md matches the code. To update the page:
// go run ./cmd/teaselmoor settings -markdown > docs/SETTINGS.md
func TestPageMatchesCode(t *testing.T) {
	page, err := settings.Page()
	require.NoError(t, err)
	written, err := os.ReadFile("../../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, page, string(written))
}
