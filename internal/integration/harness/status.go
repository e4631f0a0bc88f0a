package harness

import (
	"encoding/json"
	"net/http"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/operators"
)

// Status is what a daemon says of itself; empty when it does not answer.
func (daemon *Daemon) Status() node.Status {
	response, err := http.Get("http://" + daemon.Settings.OperatorAddress + operators.StatusPath)
	if err != nil {
		return node.Status{}
	}
	defer func() { _ = response.Body.Close() }()
	var status node.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return node.Status{}
	}
	return status
}

// OwnerOf returns the index of the daemon that owns an engine, as the daemons
// themselves say; -1 for none.
func (running *Site) OwnerOf(engine ident.EngineID) int {
	for i, daemon := range running.Daemons {
		for _, owned := range daemon.Status().Owned {
			if owned.Engine == engine {
				return i
			}
		}
	}
	return -1
}

// OtherThan returns the index of a daemon that is not the given one.
func (running *Site) OtherThan(at int) int {
	return (at + 1) % len(running.Daemons)
}
