package config

import "fmt"

// CheckSuccessor returns what forbids a document to follow the configuration in
// force. A caller's region decides which daemons keep its idempotency keys; if
// it changed, daemons with the old and with the new version could each grant an
// attempt under the same key. A caller that moves gets a new name and API key.
// The only region there is may be named, ahead of a second one.
func CheckSuccessor(previous *Snapshot, next Config) Problems {
	if previous == nil {
		return nil
	}
	var problems Problems
	for i, caller := range next.Callers {
		before, known := previous.Caller(caller.Name)
		if known && before.Region != caller.Region && !(before.Region == "" && caller.Region == previous.onlyRegion()) {
			problems = append(problems, Problem{
				Path: fmt.Sprintf("Callers[%d].Region", i),
				Text: fmt.Sprintf("caller %q is kept in region %q and can't move to %q", caller.Name, before.Region, caller.Region),
			})
		}
	}
	return problems
}

// onlyRegion returns the region of all engines, empty when there are several.
func (snapshot *Snapshot) onlyRegion() string {
	region := ""
	for i := range snapshot.Config.Engines {
		if region != "" && snapshot.Config.Engines[i].Region != region {
			return ""
		}
		region = snapshot.Config.Engines[i].Region
	}
	return region
}
