// Package members holds the published VM list, which lists the daemons and the
// backend servers, and what a daemon knows of its peers from their messages. The
// VM list may be stale, so each View carries the time at which it was read.
package members

import (
	"net"
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Role says what a VM runs.
type Role string

// Roles of VMs.
const (
	EntryRole   Role = "Entry"   // runs a teaselmoor daemon
	BackendRole Role = "Backend" // runs a backend server
)

// State is a VM's state in the list.
type State string

// States of VMs.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name string `json:"Name"`
	// Address is the IP:port of a daemon's inner protocol or of a backend server.
	// The port of a server may be missing.
	Address    string `json:"Address"`
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

// View is an indexed VM list with the time at which it was read.
type View struct {
	List   List
	ReadAt clock.Millis
	byName map[string]*VM
	// leaving holds the addresses of the backend servers that are leaving.
	leaving map[string]bool
}

// NewView returns a view of a list that was read at the given time.
func NewView(list List, readAt clock.Millis) *View {
	view := &View{List: list, ReadAt: readAt, byName: make(map[string]*VM, len(list.VMs))}
	for i := range list.VMs {
		vm := &list.VMs[i]
		view.byName[vm.Name] = vm
		if vm.Role == BackendRole && vm.State == Leaving {
			view.addLeaving(vm.Address)
		}
	}
	return view
}

// WithReadAt returns a copy of the view with a later read time, for a list that was
// read again and had not changed.
func (view *View) WithReadAt(readAt clock.Millis) *View {
	updated := *view
	updated.ReadAt = readAt
	return &updated
}

func (view *View) addLeaving(address string) {
	if view.leaving == nil {
		view.leaving = map[string]bool{}
	}
	view.leaving[address] = true
}

// ServerLeaving reports whether the backend server at an address (IP:port) is
// leaving. A list entry without a port applies to every port of its IP address.
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

// VM returns a VM by name.
func (view *View) VM(name string) (*VM, bool) {
	vm, ok := view.byName[name]
	return vm, ok
}

// Daemon returns the VM of a daemon.
func (view *View) Daemon(daemon ident.DaemonID) (*VM, bool) {
	vm, ok := view.byName[string(daemon)]
	if !ok || vm.Role != EntryRole {
		return nil, false
	}
	return vm, true
}

// LiveDaemons returns the live daemons that the filter accepts, in order of name.
func (view *View) LiveDaemons(accept func(*VM) bool) []ident.DaemonID {
	return view.ListedDaemons(func(vm *VM) bool { return vm.State == Live && accept(vm) })
}

// ListedDaemons returns the listed daemons that the filter accepts, including leaving
// ones, in order of name. A leaving daemon still needs its connections to finish
// the requests that it has accepted.
func (view *View) ListedDaemons(accept func(*VM) bool) []ident.DaemonID {
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
