package config

import "fmt"

// CheckSuccessor returns the problems that prevent a document from replacing the
// configuration in force. The result is nil if there are none.
//
// A caller must keep its region, which decides which daemons keep its idempotency
// keys. If it changed, daemons with the old version and daemons with the new one
// could each grant an attempt under the same key. A caller that moves to another
// region needs a new name and API key. A caller without a region may be given the
// one region of all engines, so that a second region can be added afterwards.
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

// onlyRegion returns the region of all engines, or an empty string if they are in
// several regions.
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
