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

// fetchVMList reads the VM list from the stand-in of the platform.
func fetchVMList(t testing.TB, testSite *site.Site) members.List {
	t.Helper()
	response, err := http.Get("http://" + testSite.Settings[0].VMListAddress + platform.VMsPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list members.List
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	return list
}

// TestLeavingDaemonCompletesAnswers marks each daemon in turn as leaving in the VM
// list while answers stream through all daemons. Every answer must be complete.
func TestLeavingDaemonCompletesAnswers(t *testing.T) {
	options := site.DefaultOptions()
	options.Engine.StepInterval = 10 * time.Millisecond
	testSite := startSite(t, options)
	list := fetchVMList(t, testSite)
	daemons := slices.DeleteFunc(slices.Clone(list.VMs), func(vm members.VM) bool { return vm.Role != members.EntryRole })
	for _, leaving := range daemons {
		answers := make(chan answer)
		streams := 0
		for _, entry := range testSite.Settings {
			for _, adapter := range testSite.Config.Adapters[:3] {
				if adapter.Labels["task"] == "quote" {
					continue
				}
				streams++
				go func() {
					answers <- post(t, entry, "/v1/completions", "", `{"model":"`+adapter.Address().String()+`","max_tokens":300}`)
				}()
			}
		}
		waitFor(t, func() bool { return countActiveRuns(testSite) > 0 })
		vms := slices.Clone(list.VMs)
		vms[slices.IndexFunc(vms, func(vm members.VM) bool { return vm.Name == leaving.Name })].State = members.Leaving
		testSite.Platform.SetVMs(vms)
		for range streams {
			got := <-answers
			require.Equal(t, http.StatusOK, got.status, "%s leaves: %s", leaving.Name, got.body)
		}
		testSite.Platform.SetVMs(list.VMs)
	}
}

// countActiveRuns counts the runs in progress at all engines.
func countActiveRuns(testSite *site.Site) int {
	count := 0
	for _, engine := range testSite.Engines {
		for _, entry := range engine.Ledger() {
			if entry.Ended == "" {
				count++
			}
		}
	}
	return count
}
