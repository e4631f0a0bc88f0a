package daemon

import (
	"context"
	"sync"

	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/rollout"
	"teaselmoor/internal/inner/link"
)

// ConfigKey is the key under which the configuration's manifest is published.
const ConfigKey = "teaselmoor"

// watchConfig waits for a new manifest as requested by the node, and queues the result.
func (daemon *Daemon) watchConfig(ctx context.Context, watch effect.WatchConfig) {
	var result rollout.WatchResult
	value, changed, err := daemon.options.Platform.Watch(ctx, ConfigKey, watch.After, watch.Wait)
	if err != nil {
		result.Cause = err.Error()
		daemon.options.Log.Warn("reading the configuration manifest failed", "Cause", err)
	} else {
		result = rollout.WatchResult{Version: value.Version, Body: value.Body, Changed: changed}
	}
	daemon.enqueue(highPriority, node.ConfigWatched{Result: result})
}

// readConfigPart reads one part of a configuration and queues the result.
func (daemon *Daemon) readConfigPart(ctx context.Context, read effect.ReadConfigPart) {
	value, err := daemon.options.Platform.Read(ctx, read.Name)
	if err != nil {
		daemon.options.Log.Warn("reading a configuration part failed", "Part", read.Name, "Cause", err)
	}
	daemon.enqueue(highPriority, node.ConfigPartRead{Name: read.Name, Body: value.Body, Failed: err != nil})
}

// pollVMList reads the VM list at every interval.
func (daemon *Daemon) pollVMList(ctx context.Context) error {
	return runEvery(ctx, daemon.options.VMListInterval, func() { daemon.readVMList(ctx) })
}

// readVMList reads the VM list and queues the result. The age of the list is counted from
// before the call, since the list may have changed after the answer was sent.
func (daemon *Daemon) readVMList(ctx context.Context) {
	askedAt := daemon.options.Now()
	daemon.vmList.mutex.Lock()
	defer daemon.vmList.mutex.Unlock()
	result, err := daemon.options.Platform.ReadVMList(ctx, daemon.vmList.tag)
	if err != nil {
		daemon.options.Log.Warn("reading the VM list failed", "Cause", err)
		return
	}
	daemon.vmList.tag = result.ETag
	if result.Changed {
		daemon.vmList.view = members.NewView(result.List, askedAt)
		daemon.connectPeers(daemon.vmList.view)
	} else {
		daemon.vmList.view = daemon.vmList.view.WithReadAt(askedAt)
	}
	daemon.enqueue(highPriority, node.VMListRead{View: daemon.vmList.view})
}

// vmListState is the VM list as it was last read. Its mutex is held during a read, so that
// the result of one read is never overwritten by that of an earlier one. Only reads of
// the list wait for it.
type vmListState struct {
	mutex sync.Mutex // guards tag, view
	tag   string
	view  *members.View
}

// connectPeers sets the peers of this daemon: the listed daemons of its own region, and
// its contacts in other regions.
func (daemon *Daemon) connectPeers(view *members.View) {
	region := daemon.options.Node.Region
	names := view.ListedDaemons(func(vm *members.VM) bool { return vm.Region == region })
	names = append(names, rollout.CrossRegionPeers(view, daemon.Self(), region)...)
	var peers []link.Peer
	for _, name := range names {
		vm, found := view.Daemon(name)
		if found && name != daemon.Self() {
			peers = append(peers, link.Peer{Name: name, Address: vm.Address})
		}
	}
	daemon.links.SetPeers(peers)
}
