package nodetest

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
)

// CheckHistories checks a property on histories drawn by rapid: a fixed seed and
// the given count, so that CI repeats itself, unless the flags -rapid.seed and
// -rapid.checks ask for others.
func CheckHistories(t *testing.T, count int, property func(*rapid.T)) {
	t.Helper()
	given := map[string]bool{}
	flag.Visit(func(set *flag.Flag) { given[set.Name] = true })
	if !given["rapid.checks"] {
		setFlag(t, "rapid.checks", strconv.Itoa(count))
	}
	if !given["rapid.seed"] {
		setFlag(t, "rapid.seed", "1")
	}
	rapid.Check(t, property)
}

// CheckSeeds checks a property on the histories of single seeds: those that have
// shown a fault.
func CheckSeeds(t *testing.T, seeds []uint64, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.checks", "1")
	for _, seed := range seeds {
		setFlag(t, "rapid.seed", strconv.FormatUint(seed, 10))
		rapid.Check(t, property)
	}
}

// setFlag sets a flag for the time of one test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	known := flag.Lookup(name)
	before := known.Value.String()
	if err := known.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = known.Value.Set(before) })
}

// Faults draws faults of daemons, their network and their VM list, and heals
// them in the end.
type Faults struct {
	Network *Network
	// MaxListLag bounds how far a daemon's reading of the VM list lags.
	MaxListLag clock.Millis
	// Counts counts the faults, by kind.
	Counts map[string]int

	renamed int
}

// faultKinds are the faults that Draw chooses from.
var faultKinds = []string{
	"kill", "kill and list", "boot", "pause", "resume", "block", "unblock", "drop", "slow",
	"duplicate", "list lag", "list down", "leaving", "replace all", "shutdown",
}

// Draw brings about one fault, or ends one.
func (faults *Faults) Draw(t *rapid.T) {
	kind := rapid.SampledFrom(faultKinds).Draw(t, "fault")
	name := rapid.SampledFrom(faults.Network.HostNames()).Draw(t, "daemon")
	faults.Counts[kind]++
	faults.bringAbout(t, kind, name)
}

func (faults *Faults) bringAbout(t *rapid.T, kind string, name ident.DaemonID) {
	network := faults.Network
	host := network.Nodes[name]
	switch kind {
	case "kill":
		network.Kill(name)
	case "kill and list":
		network.Kill(name)
		faults.setState(name, members.Leaving)
	case "boot":
		if host.Dead {
			faults.reboot(host)
		}
	case "pause":
		network.Pause(name)
	case "resume":
		network.Resume(name)
	case "block":
		other := rapid.SampledFrom(network.HostNames()).Draw(t, "other")
		network.Blocked[Direction{From: name, To: other}] = true
	case "unblock":
		clear(network.Blocked)
	case "drop":
		network.DropShare = rapid.Float64Range(0, 0.4).Draw(t, "share")
	case "slow":
		network.SlowShare, network.MaxSlowDelay = rapid.Float64Range(0, 0.3).Draw(t, "share"), 3*clock.Second
	case "duplicate":
		network.DuplicateShare = rapid.Float64Range(0, 0.5).Draw(t, "share")
	case "list lag":
		network.VMListLag[name] = clock.Millis(rapid.Int64Range(0, int64(faults.MaxListLag)).Draw(t, "lag"))
	case "list down":
		network.VMListUnavailable[name] = !network.VMListUnavailable[name]
	case "leaving":
		faults.setState(name, members.Leaving)
	case "replace all":
		faults.ReplaceAll()
	case "shutdown":
		network.HandleEvent(host, node.Shutdown{})
	}
}

func (faults *Faults) setState(name ident.DaemonID, state members.State) {
	vms := faults.Network.VMs()
	for i := range vms {
		if vms[i].Name == string(name) {
			vms[i].State = state
		}
	}
	faults.Network.SetVMs(vms)
}

func (faults *Faults) reboot(host *Host) {
	faults.setState(host.Name, members.Live)
	faults.Network.Boot(host.VM)
}

// ReplaceAll kills every daemon and starts as many under other names.
func (faults *Faults) ReplaceAll() {
	network := faults.Network
	vms := network.VMs()
	for i := range vms {
		name := ident.DaemonID(vms[i].Name)
		if vms[i].Role != members.EntryRole {
			continue
		}
		network.Kill(name)
		delete(network.Nodes, name)
		faults.renamed++
		vms[i].Name = fmt.Sprintf("replacement-%03d", faults.renamed)
		vms[i].State = members.Live
	}
	network.SetVMs(vms)
	for _, vm := range vms {
		if vm.Role == members.EntryRole {
			network.Boot(vm)
		}
	}
}

// EndAll ends every fault and starts what is dead or leaving anew.
func (faults *Faults) EndAll() {
	network := faults.Network
	clear(network.Blocked)
	clear(network.VMListLag)
	clear(network.VMListUnavailable)
	network.DropShare, network.SlowShare, network.DuplicateShare = 0, 0, 0
	for _, name := range network.HostNames() {
		network.Resume(name)
	}
	network.Run(clock.Second)
	for _, host := range network.hosts() {
		if host.Dead {
			faults.reboot(host)
		}
	}
	vms := slices.Clone(network.VMs())
	for i := range vms {
		vms[i].State = members.Live
	}
	network.SetVMs(vms)
}
