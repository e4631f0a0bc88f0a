package program_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/program"
)

// TestDefaultsAgree holds the defaults of the settings against those of the
// parts that use them. A default that changes in one place changes in the other.
func TestDefaultsAgree(t *testing.T) {
	options := program.OptionsOf(settings.Default())
	require.Equal(t, node.DefaultOptions(), options.Node)
	require.Equal(t, engine.DefaultOptions(), options.Engines)
	require.Equal(t, service.DefaultOptions(), options.Services)
	require.Equal(t, link.DefaultTiming(), options.Timing)
	require.Equal(t, callers.DefaultOptions(), options.Callers)
}
