// Package members holds the published list of VMs and what it says about
// daemons and backend servers. The list lags and may be stale; its age is part
// of every reading.
package members

import (
	"net"
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Role tells what a VM runs.
type Role string

// Roles of VMs.
const (
	EntryRole   Role = "Entry"   // runs a teaselmoor daemon
	BackendRole Role = "Backend" // a backend server
)

// State is a VM's state in the list.
type State string

// States of VMs.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// VM is one entry of the list.
type VM struct {
	Name       string `json:"Name"`
	Address    string `json:"Address"` // IP:port of the inner protocol, or the server's own
	Role       Role   `json:"Role"`
	DataCentre string `json:"DataCentre"`
	Region     string `json:"Region"`
	State      State  `json:"State"`
}

// List is one version of the VM list.
type List struct {
	Version uint64 `json:"Version"`
	VMs     []VM   `json:"VMs"`
}

// View is a list with the time at which it was read.
type View struct {
	List   List
	ReadAt clock.Millis
	byName map[string]*VM
	// leaving holds the addresses of backend servers that are leaving.
	leaving map[string]bool
}

// NewView indexes a list read at the given time.
func NewView(list List, readAt clock.Millis) *View {
	view := &View{List: list, ReadAt: readAt, byName: make(map[string]*VM, len(list.VMs))}
	for i := range list.VMs {
		vm := &list.VMs[i]
		view.byName[vm.Name] = vm
		if vm.Role == BackendRole && vm.State == Leaving {
			view.noteLeaving(vm.Address)
		}
	}
	return view
}

// Renewed returns the same list as read again at a later time.
func (view *View) Renewed(readAt clock.Millis) *View {
	renewed := *view
	renewed.ReadAt = readAt
	return &renewed
}

func (view *View) noteLeaving(address string) {
	if view.leaving == nil {
		view.leaving = map[string]bool{}
	}
	view.leaving[address] = true
}

// ServerLeaving reports whether the backend server at an address (IP:port) is
// leaving. A list entry without a port stands for every port of its IP number.
func (view *View) ServerLeaving(address string) bool {
	if view.leaving[address] {
		return true
	}
	number, _, err := net.SplitHostPort(address)
	return err == nil && view.leaving[number]
}

// AnyServerLeaving reports whether any backend server is leaving.
func (view *View) AnyServerLeaving() bool {
	return len(view.leaving) > 0
}

// VM finds a VM by name.
func (view *View) VM(name string) (*VM, bool) {
	vm, ok := view.byName[name]
	return vm, ok
}

// Daemon finds a daemon's VM.
func (view *View) Daemon(daemon ident.DaemonID) (*VM, bool) {
	vm, ok := view.byName[string(daemon)]
	if !ok || vm.Role != EntryRole {
		return nil, false
	}
	return vm, true
}

// Daemons returns the live daemons that the filter accepts, in order of name.
func (view *View) Daemons(accept func(*VM) bool) []ident.DaemonID {
	return view.Present(func(vm *VM) bool { return vm.State == Live && accept(vm) })
}

// Present returns the daemons that the filter accepts, leaving ones included, in
// order of name. A leaving daemon finishes what it has accepted, and needs its
// connections for it.
func (view *View) Present(accept func(*VM) bool) []ident.DaemonID {
	var daemons []ident.DaemonID
	for i := range view.List.VMs {
		vm := &view.List.VMs[i]
		if vm.Role == EntryRole && accept(vm) {
			daemons = append(daemons, ident.DaemonID(vm.Name))
		}
	}
	sort.Slice(daemons, func(i, j int) bool { return daemons[i] < daemons[j] })
	return daemons
}
