package effect

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
)

// WatchConfig reads the manifest from the configuration service. It waits up to
// Wait for a version above After.
type WatchConfig struct {
	// After is a version of the service's value, not of the configuration.
	After uint64
	Wait  clock.Millis
}

// ReadConfigPart reads one part from the configuration service.
type ReadConfigPart struct{ Name string }

// AssembleConfig joins, validates and compiles a configuration. This is slow for a
// full-size configuration, so the runtime does it without holding the node's lock.
type AssembleConfig struct {
	Mark     config.Mark
	Manifest config.Manifest
	Parts    map[string][]byte
	// Previous is the configuration in force, nil before the first.
	Previous *config.Snapshot
}

func (WatchConfig) effect()    {}
func (ReadConfigPart) effect() {}
func (AssembleConfig) effect() {}
