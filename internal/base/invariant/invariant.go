// Package invariant checks rules that must always hold. A violation is a panic that ends
// the process; all other failures are reported as outcomes or error values.
package invariant

import "fmt"

// Violation is the panic value if an invariant is violated.
type Violation struct {
	// Rule is the rule that must hold.
	Rule string
	// Seen describes the state that violates it.
	Seen string
}

// Error returns the rule and the state that violates it.
func (violation Violation) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", violation.Rule, violation.Seen)
}

// Check panics with a Violation if holds is false. The format and arguments describe the
// state that violates the rule.
func Check(holds bool, rule, format string, arguments ...any) {
	if !holds {
		panic(Violation{Rule: rule, Seen: fmt.Sprintf(format, arguments...)})
	}
}
