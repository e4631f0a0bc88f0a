package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
)

func testConfig(version uint64, rate float64) config.Config {
	return config.Config{
		Version:      version,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey("key"), RequestsPerSecond: rate}},
		Rules:        []config.Rule{{Name: "all", Class: "Urgent", DeadlineMillis: 20_000, Repeatable: true}},
	}
}

func newNetwork(t require.TestingT, seed uint64) *nodetest.Network {
	var vms []members.VM
	for i := range 7 {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Role: members.EntryRole, DataCentre: fmt.Sprintf("dc-%d", i%3),
			Region: "north", State: members.Live,
		})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 4, TickInterval: 50, Config: testConfig(1, 0), VMs: vms, UseConfigService: true, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	return network
}

// history publishes valid and invalid versions and checks which ones are in force.
type history struct {
	network *nodetest.Network
	faults  *nodetest.Faults
	version uint64                         // highest published version
	inForce map[*nodetest.Host]config.Mark // at the last check
	invalid map[config.Mark]bool           // publications that must not come into force
}

// publish publishes a version, validly or with one of the mistakes that operators make,
// or changes whether the service corrupts its values.
func (history *history) publish(t *rapid.T) {
	service := history.network.Service
	switch rapid.SampledFrom([]string{"good", "good", "same number", "lower", "invalid", "part missing", "garbled", "corrupt", "intact"}).Draw(t, "publication") {
	case "good":
		history.version++
		history.put(t, testConfig(history.version, 0))
	case "same number":
		history.put(t, testConfig(history.version, rapid.Float64Range(1, 100).Draw(t, "rate")))
	case "lower":
		history.put(t, testConfig(max(1, history.version-1), 7))
	case "invalid":
		history.version++
		invalid := testConfig(history.version, 0)
		invalid.Rules[0].Class = "Later"
		history.invalid[markOf(t, invalid)] = true
		history.put(t, invalid)
	case "part missing":
		history.version++
		incomplete := testConfig(history.version, 1000+float64(history.version))
		history.invalid[markOf(t, incomplete)] = true
		_, text := manifestOf(t, incomplete)
		service.PutManifest(text)
	case "garbled":
		service.PutManifest([]byte("Version: ["))
	case "corrupt":
		service.Corrupt = func(_ string, body []byte) []byte { return append([]byte(" "), body...) }
	case "intact":
		service.Corrupt = nil
	}
}

func (history *history) put(t require.TestingT, published config.Config) {
	require.NoError(t, history.network.Service.Publish(published))
}

func manifestOf(t require.TestingT, published config.Config) (config.Manifest, []byte) {
	manifest, _, err := config.Pack(published)
	require.NoError(t, err)
	text, err := config.FormatManifest(manifest)
	require.NoError(t, err)
	return manifest, text
}

func markOf(t require.TestingT, published config.Config) config.Mark {
	manifest, text := manifestOf(t, published)
	return config.MarkOf(manifest, text)
}

// check checks that no daemon's configuration in force has reverted since the last
// check, and that none is an invalid publication.
func (history *history) check(t require.TestingT) {
	for _, name := range history.network.HostNames() {
		host := history.network.Nodes[name]
		mark := host.Node.ConfigMark()
		require.GreaterOrEqual(t, mark.Compare(history.inForce[host]), 0, "%s went from %v to %v", name, history.inForce[host], mark)
		history.inForce[host] = mark
		require.False(t, history.invalid[mark], "%s has an invalid publication of version %d in force", name, mark.Version)
	}
}

// TestNeverRevertsAndSpreads publishes versions while the service, daemons and the
// network have faults. It checks that no configuration in force reverts, and that a
// version published after the faults have ended is in force everywhere within 3 s.
func TestNeverRevertsAndSpreads(t *testing.T) {
	publications, faults := 0, 0
	nodetest.CheckHistories(t, 60, func(t *rapid.T) {
		network := newNetwork(t, rapid.Uint64().Draw(t, "seed"))
		history := &history{
			network: network, version: 1, inForce: map[*nodetest.Host]config.Mark{}, invalid: map[config.Mark]bool{},
			faults: &nodetest.Faults{Network: network, MaxListLag: clock.Second, Counts: map[string]int{}},
		}
		network.Run(rapid.SampledFrom([]clock.Millis{0, 500, 5000}).Draw(t, "start"))
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				history.publish(t)
				publications++
			case 3:
				modes := []nodetest.ServiceMode{nodetest.ServiceUp, nodetest.ServiceDown, nodetest.ServiceStale, nodetest.ServiceFlapping}
				network.Service.SetMode(rapid.SampledFrom(modes).Draw(t, "mode"))
				faults++
			case 4:
				name := rapid.SampledFrom(network.HostNames()).Draw(t, "cut off")
				network.Service.Unreachable[name] = !network.Service.Unreachable[name]
				faults++
			case 5, 6:
				history.faults.Draw(t)
				faults++
			default:
				network.Run(clock.Millis(rapid.SampledFrom([]int64{1, 20, 200, 1000, 3000, 12000}).Draw(t, "span")))
			}
			history.check(t)
		}
		history.faults.EndAll()
		network.Service.Corrupt = nil
		clear(network.Service.Unreachable)
		network.Service.SetMode(nodetest.ServiceUp)
		network.Run(15 * clock.Second)
		history.check(t)
		history.version++
		history.put(t, testConfig(history.version, 0))
		require.True(t, network.RunUntil(3*clock.Second, func() bool { return network.InForceEverywhere(history.version) }),
			"version %d within 3 s, in force: %v", history.version, network.VersionsInForce())
		history.check(t)
	})
	t.Logf("%d publications, %d faults", publications, faults)
}
