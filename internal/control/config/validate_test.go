package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/control/config"
)

const documentWithMistakes = `Version: 1
WeightStores:
- Name: weights
  LoadsPerSecond: 2
Callers:
- Name: clerk
- Name: clerk
  KeyHash: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
Rules:
- Name: first
  Callers: team in
  Class: Urgent
  DeadlineMillis: 1000
- Name: first
  Class: Soon
- Name: second
  Callers: team in
  Engines: site=north
  Class: Urgent
  DeadlineMillis: 1000
`

func TestProblemsNameLineAndPath(t *testing.T) {
	parsed, err := config.Parse([]byte(documentWithMistakes))
	require.NoError(t, err)
	problems := config.Locate([]byte(documentWithMistakes), config.Validate(parsed))
	locations := make([]string, 0, len(problems))
	for _, problem := range problems {
		locations = append(locations, config.Problem{Line: problem.Line, Path: problem.Path, Text: "x"}.String())
	}
	require.Equal(t, []string{
		"line 6: Callers[0].KeyHash: x", "line 7: Callers[1].Name: x",
		"line 11: Rules[0].Callers: x", "line 14: Rules[1].Name: x",
		"line 15: Rules[1].Class: x", "line 14: Rules[1].DeadlineMillis: x",
		"line 17: Rules[2].Callers: x", "line 16: Rules[2]: x",
	}, locations)
}

func TestParseNamesEveryUnknownKey(t *testing.T) {
	_, err := config.Parse([]byte("Version: 1\nEngine: []\nRules:\n- Nam: x\n"))
	require.EqualError(t, err, "line 2: Engine: unknown key\nline 4: Rules[0].Nam: unknown key")
}
