package harness

import (
	"encoding/json"
	"net/http"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/operators"
)

// Status returns the daemon's status report; it is empty if the daemon does not
// answer.
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

// OwnerOf returns the index of the daemon that reports that it owns an engine, or
// -1 if none does.
func (testSite *Site) OwnerOf(engine ident.EngineID) int {
	for i, daemon := range testSite.Daemons {
		for _, owned := range daemon.Status().Owned {
			if owned.Engine == engine {
				return i
			}
		}
	}
	return -1
}

// OtherThan returns the index of a daemon other than the given one.
func (testSite *Site) OtherThan(index int) int {
	return (index + 1) % len(testSite.Daemons)
}
