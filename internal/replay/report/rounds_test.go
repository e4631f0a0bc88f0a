package report_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/replay/report"
)

func TestRounds(t *testing.T) {
	rounds, err := report.ReadRounds(strings.NewReader("Round,quiet,busy\nfirst,0.7,\nsecond,0.8,0.5\n"))
	require.NoError(t, err)
	require.Equal(t, []string{"quiet", "busy"}, rounds.Names)
	require.Equal(t, []report.Figure{{Round: 1, Value: 0.7}, {Round: 2, Value: 0.8}}, rounds.Figures[0])
	require.Equal(t, []report.Figure{{Round: 2, Value: 0.5}}, rounds.Figures[1])
	path := filepath.Join(t.TempDir(), "rounds.svg")
	require.NoError(t, rounds.Plot(path, "title"))
	drawn, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(drawn), "<svg")
}

func TestRoundsThatCannotBeRead(t *testing.T) {
	for text, want := range map[string]string{
		"":                       "a row of names",
		"Round,quiet\n":          "a row of names",
		"Round,quiet\nfirst,x\n": "round 1, quiet",
		"Round,quiet\na,1,2\n":   "wrong number of fields",
	} {
		_, err := report.ReadRounds(strings.NewReader(text))
		require.ErrorContains(t, err, want)
	}
}
