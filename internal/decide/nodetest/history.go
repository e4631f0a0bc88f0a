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

// CheckHistories checks a property on histories drawn by rapid. It uses a fixed
// seed and the given count, so that CI runs are reproducible, unless the flags
// -rapid.seed and -rapid.checks set others.
func CheckHistories(t *testing.T, count int, property func(*rapid.T)) {
	t.Helper()
	setFlags := map[string]bool{}
	flag.Visit(func(flagSet *flag.Flag) { setFlags[flagSet.Name] = true })
	if !setFlags["rapid.checks"] {
		setFlag(t, "rapid.checks", strconv.Itoa(count))
	}
	if !setFlags["rapid.seed"] {
		setFlag(t, "rapid.seed", "1")
	}
	rapid.Check(t, property)
}

// CheckSeeds checks a property on one history for each seed. It is for seeds whose
// history has shown a fault.
func CheckSeeds(t *testing.T, seeds []uint64, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.checks", "1")
	for _, seed := range seeds {
		setFlag(t, "rapid.seed", strconv.FormatUint(seed, 10))
		rapid.Check(t, property)
	}
}

// setFlag sets a flag for the duration of a test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	found := flag.Lookup(name)
	previous := found.Value.String()
	if err := found.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = found.Value.Set(previous) })
}

// Faults applies randomly drawn faults to daemons, their network and their VM list,
// and can end them all.
type Faults struct {
	Network *Network
	// MaxListLag is the maximum lag of a daemon's reading of the VM list.
	MaxListLag clock.Millis
	// Counts holds the number of draws of each kind of fault.
	Counts map[string]int

	replacements int
}

// faultKinds are the faults that Draw chooses from.
var faultKinds = []string{
	"kill", "kill and list", "boot", "pause", "resume", "block", "unblock", "drop", "slow",
	"duplicate", "list lag", "list down", "leaving", "replace all", "shutdown",
}

// Draw draws a kind of fault and a daemon, and starts or ends that fault.
func (faults *Faults) Draw(t *rapid.T) {
	kind := rapid.SampledFrom(faultKinds).Draw(t, "fault")
	name := rapid.SampledFrom(faults.Network.HostNames()).Draw(t, "daemon")
	faults.Counts[kind]++
	faults.apply(t, kind, name)
}

func (faults *Faults) apply(t *rapid.T, kind string, name ident.DaemonID) {
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

// ReplaceAll kills every daemon and starts as many under new names.
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
		faults.replacements++
		vms[i].Name = fmt.Sprintf("replacement-%03d", faults.replacements)
		vms[i].State = members.Live
	}
	network.SetVMs(vms)
	for _, vm := range vms {
		if vm.Role == members.EntryRole {
			network.Boot(vm)
		}
	}
}

// EndAll ends every fault, restarts the dead daemons and lists all VMs as live.
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
