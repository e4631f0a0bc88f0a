package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// drawPlacement draws servers, the work at them and a request.
func drawPlacement(random *rand.Rand) (*fleet.Fleet, *inflight.Tracker, choose.Query) {
	servers, work := fleet.New(fleet.DefaultOptions()), inflight.New()
	count := 2 + random.IntN(20)
	for i := range count {
		server := fmt.Sprint("s", i)
		servers.Put(platformapi.Server{
			ID: server, Service: service, Slots: 12, DataCentre: []string{"", "d"}[random.IntN(2)], Models: []platformapi.Holding{{Model: "m"}},
		}, int64(i+1))
		switch random.IntN(4) {
		case 0:
			setTable(servers, server, 1, fleet.Slot{Adapter: adapter, Version: 1, Coming: random.IntN(4) == 0})
		case 1:
			setTable(servers, server, 1, fleet.Slot{Adapter: adapter, Version: 1})
			setTable(servers, server, 2)
		}
		for j := range random.IntN(16) {
			use := inflight.Use{Server: server, Adapter: platformapi.Adapter{Model: "m", Name: fmt.Sprint("a", j)}}
			work.Begin(use, []int{0, 0, 0, 200 + random.IntN(4500)}[random.IntN(4)])
		}
		if random.IntN(6) == 0 {
			servers.RecordAnswer(100_000, server, true)
		}
		if random.IntN(12) == 0 {
			servers.Remove(100_000, server, 1000)
		}
	}
	asked := query(fmt.Sprint("r", random.Uint64()))
	asked.Prompt, asked.AdapterSlots, asked.Version = random.IntN(5000), 8, random.IntN(3)
	asked.ManyDaemons, asked.Frequent = random.IntN(3) > 0, random.IntN(2) == 0
	if random.IntN(3) == 0 {
		asked.WaitingAt = fmt.Sprint("s", random.IntN(count))
	}
	if random.IntN(3) == 0 {
		asked.HasOwner = func(server string) bool { return len(server) > 2 }
	}
	return servers, work, asked
}

// describe returns what a choice consists of.
func describe(choice choose.Choice, found bool) string {
	if !found {
		return "none"
	}
	copyTo := ""
	if choice.CopyTo != nil {
		copyTo = choice.CopyTo.ID
	}
	return fmt.Sprintf("%s %.6f %v %s", choice.Member.ID, choice.Cost, choice.Ready, copyTo)
}

// choicesBefore is the digest of the choices below as they were before pause-aware placement
// was added. A change of costs that applies to all sites has to update it.
const choicesBefore uint64 = 0xff2c202a9b18e693

// TestChoicesWithoutSpeedsAreAsBefore guards against a change of any choice where pause-aware
// placement is not active.
func TestChoicesWithoutSpeedsAreAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	digest := xxhash.New()
	for range 5000 {
		servers, work, asked := drawPlacement(random)
		weights := choose.DefaultWeights().WithObserved(19.2, 250, 30)
		weights.Slot = float64(1500 * random.IntN(2))
		choice, found := weights.Choose(asked, hash, servers, work)
		_, _ = fmt.Fprintln(digest, describe(choice, found))
		for _, target := range weights.CopyTargets(asked, hash, servers, work, 3) {
			_, _ = fmt.Fprintln(digest, target.ID)
		}
	}
	require.Equal(t, choicesBefore, digest.Sum64())
}
