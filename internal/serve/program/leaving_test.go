package program_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/standin/site"
)

func readList(t testing.TB, running *site.Site) members.List {
	t.Helper()
	response, err := http.Get("http://" + running.Settings[0].VMListAddress + platform.VMsPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list members.List
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	return list
}

// TestLeavingDaemonFinishes marks every daemon in turn as leaving while answers
// stream through it; each of them is complete.
func TestLeavingDaemonFinishes(t *testing.T) {
	options := site.DefaultOptions()
	options.Engine.StepInterval = 10 * time.Millisecond
	running := startSite(t, options)
	list := readList(t, running)
	daemons := slices.DeleteFunc(slices.Clone(list.VMs), func(vm members.VM) bool { return vm.Role != members.EntryRole })
	for _, leaving := range daemons {
		answers := make(chan answer)
		streams := 0
		for _, entry := range running.Settings {
			for _, adapter := range running.Config.Adapters[:3] {
				if adapter.Labels["task"] == "quote" {
					continue
				}
				streams++
				go func() {
					answers <- post(t, entry, "/v1/completions", "", `{"model":"`+adapter.Address().String()+`","max_tokens":300}`)
				}()
			}
		}
		waitFor(t, func() bool { return runningRuns(running) > 0 })
		changed := slices.Clone(list.VMs)
		changed[slices.IndexFunc(changed, func(vm members.VM) bool { return vm.Name == leaving.Name })].State = members.Leaving
		running.Platform.SetVMs(changed)
		for range streams {
			got := <-answers
			require.Equal(t, http.StatusOK, got.status, "%s leaves: %s", leaving.Name, got.body)
		}
		running.Platform.SetVMs(list.VMs)
	}
}

func runningRuns(running *site.Site) int {
	count := 0
	for _, engine := range running.Engines {
		for _, entry := range engine.Ledger() {
			if entry.Ended == "" {
				count++
			}
		}
	}
	return count
}
