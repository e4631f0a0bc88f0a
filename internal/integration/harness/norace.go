//go:build !race

package harness

// RaceEnabled reports whether the tests and the programs that they start have the race detector.
const RaceEnabled = false
