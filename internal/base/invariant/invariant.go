// Package invariant stops the process when a rule that must always hold is
// broken. Everything else that can go wrong is an outcome or an error value.
package invariant

import "fmt"

// Violation is the panic value of a broken invariant.
type Violation struct {
	Rule string
	Seen string
}

// Error describes the violation.
func (violation Violation) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", violation.Rule, violation.Seen)
}

// Check panics with a Violation when held is false. Seen says what was found.
func Check(held bool, rule, format string, arguments ...any) {
	if !held {
		panic(Violation{Rule: rule, Seen: fmt.Sprintf(format, arguments...)})
	}
}
