package node_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
)

// networkWithConfigService returns a network whose daemons are spread over data
// centres and read their configuration from the fake configuration service.
func networkWithConfigService(t testing.TB, seed uint64, daemons, centres int) *nodetest.Network {
	t.Helper()
	var vms []members.VM
	for i := range daemons {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%02d", i), Role: members.EntryRole, DataCentre: fmt.Sprintf("dc-%d", i%centres),
			Region: "north", State: members.Live,
		})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 2, TickInterval: 50, Config: smallConfig(2), VMs: vms, UseConfigService: true,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500}, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	return network
}

func configVersion(version uint64) config.Config {
	published := smallConfig(2)
	published.Version = version
	return published
}

const configTimeout = 3 * clock.Second // time by which a version must be in force everywhere

func requireEverywhere(t testing.TB, network *nodetest.Network, version uint64, within clock.Millis) clock.Millis {
	t.Helper()
	start := network.Now
	require.True(t, network.RunUntil(within, func() bool { return network.InForceEverywhere(version) }),
		"version %d within %d ms, in force: %v", version, within, network.VersionsInForce())
	return network.Now - start
}

func refusals(network *nodetest.Network) map[string]int {
	causes := map[string]int{}
	for _, audit := range network.Audits {
		if audit.Kind == effect.ConfigRefused {
			causes[audit.Cause]++
		}
	}
	return causes
}

func TestConfigIsAppliedWithinSeconds(t *testing.T) {
	for _, size := range []struct{ daemons, centres int }{{7, 4}, {78, 3}} {
		t.Run(fmt.Sprintf("%d daemons", size.daemons), func(t *testing.T) {
			network := networkWithConfigService(t, 1, size.daemons, size.centres)
			requireEverywhere(t, network, 1, 5*clock.Second)
			network.Run(20 * clock.Second)
			calls := network.Service.Calls
			network.Run(100 * clock.Second)
			t.Logf("calls per second while nothing is published: %.1f", float64(network.Service.Calls-calls)/100)
			require.NoError(t, network.Service.Publish(configVersion(2)))
			t.Logf("service up: in force everywhere after %d ms", requireEverywhere(t, network, 2, configTimeout))
		})
	}
}

// TestConfigSpreadsWithoutService checks that a version spreads between daemons
// when only one of them read it before the service went down.
func TestConfigSpreadsWithoutService(t *testing.T) {
	for _, size := range []struct{ daemons, centres int }{{7, 4}, {78, 3}} {
		t.Run(fmt.Sprintf("%d daemons", size.daemons), func(t *testing.T) {
			network := networkWithConfigService(t, 1, size.daemons, size.centres)
			requireEverywhere(t, network, 1, 5*clock.Second)
			for _, name := range network.HostNames() {
				network.Service.Unreachable[name] = name != "daemon-03"
			}
			network.Service.SetMode(nodetest.ServiceUp)
			network.Run(10 * clock.Second)
			require.NoError(t, network.Service.Publish(configVersion(2)))
			applied := network.RunUntil(20*clock.Second, func() bool { return network.Nodes["daemon-03"].Node.Config().Version() == 2 })
			require.True(t, applied)
			network.Service.SetMode(nodetest.ServiceDown)
			t.Logf("one daemon has read it: in force everywhere after %d ms", requireEverywhere(t, network, 2, configTimeout))
			calls := network.Service.Calls
			network.Run(100 * clock.Second)
			t.Logf("calls per second while the service is down: %.1f", float64(network.Service.Calls-calls)/100)
		})
	}
}

// TestNewDaemonAsksPeers checks that a restarted daemon accepts its peers' version
// although the service returns an older one and answers sooner than the peers.
func TestNewDaemonAsksPeers(t *testing.T) {
	network := networkWithConfigService(t, 1, 5, 2)
	requireEverywhere(t, network, 1, 5*clock.Second)
	network.Service.FixStaleValues()
	require.NoError(t, network.Service.Publish(configVersion(2)))
	requireEverywhere(t, network, 2, configTimeout)
	network.Service.SetMode(nodetest.ServiceStale)
	network.Kill("daemon-01")
	network.Run(clock.Second)
	network.SlowShare, network.MaxSlowDelay = 1, 450
	host := network.Boot(network.Nodes["daemon-01"].VM)
	accepted := network.RunUntil(configTimeout, func() bool { return host.Node.Config() != nil })
	require.True(t, accepted)
	require.Equal(t, uint64(2), host.Node.Config().Version(), "the first configuration that the new daemon accepted")
	require.True(t, network.RunUntil(10*clock.Second, host.Node.Ready))
}

func TestInvalidConfigIsRejected(t *testing.T) {
	bad := configVersion(5)
	bad.Rules[0].Class = "Later"
	network := networkWithConfigService(t, 1, 3, 1)
	requireEverywhere(t, network, 1, 5*clock.Second)
	require.NoError(t, network.Service.Publish(bad))
	network.Run(configTimeout)
	require.Equal(t, map[uint64]int{1: 3}, network.VersionsInForce())
	require.NotEmpty(t, refusals(network))
	require.NoError(t, network.Service.Publish(configVersion(3)))
	requireEverywhere(t, network, 3, configTimeout)
}

// TestConfigWithMissingPartIsAppliedLater publishes a manifest before one of its
// parts. The configuration must be applied once that part can be read.
func TestConfigWithMissingPartIsAppliedLater(t *testing.T) {
	network := networkWithConfigService(t, 1, 3, 1)
	requireEverywhere(t, network, 1, 5*clock.Second)
	changed := configVersion(2)
	changed.Callers[0].RequestsPerSecond = 5
	manifest, parts, err := config.Pack(changed)
	require.NoError(t, err)
	text, err := config.FormatManifest(manifest)
	require.NoError(t, err)
	network.Service.PutManifest(text)
	network.Run(5 * clock.Second)
	require.Equal(t, map[uint64]int{1: 3}, network.VersionsInForce())
	require.NotEmpty(t, refusals(network))
	for _, part := range parts {
		network.Service.Put(part.Name, part.Body)
	}
	requireEverywhere(t, network, 2, 12*clock.Second)
}

// TestCorruptPartIsReadAgain makes the service return parts whose content does not
// match the manifest, for a while. The configuration must not be applied before the
// service returns the right content.
func TestCorruptPartIsReadAgain(t *testing.T) {
	network := networkWithConfigService(t, 1, 3, 1)
	requireEverywhere(t, network, 1, 5*clock.Second)
	network.Service.Corrupt = func(key string, body []byte) []byte {
		if strings.HasPrefix(key, config.PartPrefix) {
			return append([]byte(" "), body...)
		}
		return body
	}
	changed := configVersion(2)
	changed.Callers[0].RequestsPerSecond = 5
	require.NoError(t, network.Service.Publish(changed))
	network.Run(5 * clock.Second)
	require.Equal(t, map[uint64]int{1: 3}, network.VersionsInForce())
	network.Service.Corrupt = nil
	requireEverywhere(t, network, 2, 12*clock.Second)
}

// TestTwoPublicationsOfOneVersion publishes the same version with different content
// to the two sides of a partition. After the partition one of them must be in force
// everywhere.
func TestTwoPublicationsOfOneVersion(t *testing.T) {
	network := networkWithConfigService(t, 1, 6, 2)
	requireEverywhere(t, network, 1, 5*clock.Second)
	sides := [2]map[ident.DaemonID]bool{{}, {}}
	for i, name := range network.HostNames() {
		sides[i%2][name] = true
	}
	for from := range sides[0] {
		for to := range sides[1] {
			network.Blocked[nodetest.Direction{From: from, To: to}] = true
			network.Blocked[nodetest.Direction{From: to, To: from}] = true
		}
	}
	for i, side := range sides {
		published := configVersion(2)
		published.Callers[0].RequestsPerSecond = float64(i + 1)
		network.Service.Unreachable = sides[1-i]
		require.NoError(t, network.Service.Publish(published))
		applied := network.RunUntil(configTimeout, func() bool {
			for name := range side {
				if network.Nodes[name].Node.Config().Version() != 2 {
					return false
				}
			}
			return true
		})
		require.True(t, applied)
	}
	network.Service.SetMode(nodetest.ServiceDown)
	clear(network.Blocked)
	network.Run(10 * clock.Second)
	rates := map[float64]int{}
	for _, name := range network.HostNames() {
		rates[network.Nodes[name].Node.Config().Config.Callers[0].RequestsPerSecond]++
	}
	require.Len(t, rates, 1, "one publication must be in force everywhere")
}
