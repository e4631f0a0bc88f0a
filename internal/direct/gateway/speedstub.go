package gateway

import "teaselmoor/internal/base/clock"

// speedFactor returns the speed of a server relative to the median of its service. All servers
// count as equal until speeds are estimated.
func (core *core) speedFactor(clock.Millis, string) float64 { return 1 }

// eventInterval returns the milliseconds between two events of a server's streams; 0: unknown.
func (core *core) eventInterval(clock.Millis, string) float64 { return 0 }
