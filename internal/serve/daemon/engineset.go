package daemon

import (
	"sync"

	"teaselmoor/internal/base/ident"
)

// engineSet is a set of engines. It is safe for concurrent use.
type engineSet struct {
	members sync.Map // of ident.EngineID
}

// add adds an engine, and reports whether it was not a member before.
func (set *engineSet) add(engine ident.EngineID) bool {
	_, known := set.members.LoadOrStore(engine, struct{}{})
	return !known
}

func (set *engineSet) remove(engine ident.EngineID) {
	set.members.Delete(engine)
}
