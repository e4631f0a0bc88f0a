package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// regionsConfig returns a configuration with one caller, and an engine in each of
// the regions.
func regionsConfig(callerRegion string, regions ...string) config.Config {
	published := config.Config{
		Version:      1,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey("key"), Region: callerRegion}},
		Rules:        []config.Rule{{Name: "all", Class: "Urgent", DeadlineMillis: 1000, Repeatable: true}},
	}
	for _, region := range regions {
		published.Engines = append(published.Engines, config.Engine{
			Name: ident.EngineID(region), Address: "127.0.0.1:1", DataCentre: region, Region: region, BaseModel: "base",
			Store: "weights", Slots: 1, MaxRuns: 1,
		})
	}
	return published
}

// TestCallerRegionIsRequiredWithSeveralRegions checks that a caller may omit its
// region only if all engines are in one region, and that engines exist in the
// region it names.
func TestCallerRegionIsRequiredWithSeveralRegions(t *testing.T) {
	require.Empty(t, config.Validate(regionsConfig("", "north")))
	require.Empty(t, config.Validate(regionsConfig("north", "north", "south")))
	for _, region := range []string{"", "west"} {
		problems := config.Validate(regionsConfig(region, "north", "south"))
		require.Len(t, problems, 1)
		require.Equal(t, "Callers[0].Region", problems[0].Path)
	}
}

// TestCallerRegionMustNotChange checks that a caller keeps its region, and that a
// caller without one may only be given the one region of all engines.
func TestCallerRegionMustNotChange(t *testing.T) {
	unnamed, err := config.Compile(regionsConfig("", "north"))
	require.NoError(t, err)
	require.Empty(t, config.CheckSuccessor(unnamed, regionsConfig("north", "north", "south")))
	require.NotEmpty(t, config.CheckSuccessor(unnamed, regionsConfig("south", "north", "south")))
	named, err := config.Compile(regionsConfig("north", "north", "south"))
	require.NoError(t, err)
	require.NotEmpty(t, config.CheckSuccessor(named, regionsConfig("south", "north", "south")))
}
