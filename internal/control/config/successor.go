package config

import "fmt"

// CheckSuccessor returns what forbids a document to follow the configuration in
// force. A caller's region decides which daemons keep its idempotency keys; if
// it changed, daemons with the old and with the new version could each grant an
// attempt under the same key. A caller that moves gets a new name and API key.
func CheckSuccessor(previous *Snapshot, next Config) Problems {
	if previous == nil {
		return nil
	}
	var problems Problems
	for i, caller := range next.Callers {
		before, known := previous.Caller(caller.Name)
		if known && before.Region != caller.Region {
			problems = append(problems, Problem{
				Path: fmt.Sprintf("Callers[%d].Region", i),
				Text: fmt.Sprintf("caller %q is kept in region %q and can't move to %q", caller.Name, before.Region, caller.Region),
			})
		}
	}
	return problems
}
