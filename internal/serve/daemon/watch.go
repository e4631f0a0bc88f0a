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

// ConfigKey is the value under which the manifest of the configuration is published.
const ConfigKey = "teaselmoor"

// watchConfig reads the manifest as the node asked.
func (daemon *Daemon) watchConfig(ctx context.Context, watch effect.WatchConfig) {
	var result rollout.WatchResult
	value, changed, err := daemon.options.Platform.Watch(ctx, ConfigKey, watch.After, watch.Wait)
	if err != nil {
		result.Cause = err.Error()
		daemon.options.Log.Warn("configuration watch", "Cause", err)
	} else {
		result = rollout.WatchResult{Version: value.Version, Body: value.Body, Changed: changed}
	}
	daemon.enqueue(promptLane, node.ConfigWatched{Result: result})
}

// readConfigPart reads one part of a configuration.
func (daemon *Daemon) readConfigPart(ctx context.Context, read effect.ReadConfigPart) {
	value, err := daemon.options.Platform.Read(ctx, read.Name)
	if err != nil {
		daemon.options.Log.Warn("configuration part", "Part", read.Name, "Cause", err)
	}
	daemon.enqueue(promptLane, node.ConfigPartRead{Name: read.Name, Body: value.Body, Failed: err != nil})
}

// readList reads the VM list at each interval.
func (daemon *Daemon) readList(ctx context.Context) error {
	return every(ctx, daemon.options.ListInterval, func() { daemon.readListOnce(ctx) })
}

// readListOnce reads the VM list. Its age counts from before the call, since the
// list may have changed while the answer was on its way.
func (daemon *Daemon) readListOnce(ctx context.Context) {
	askedAt := daemon.options.Now()
	daemon.list.mutex.Lock()
	defer daemon.list.mutex.Unlock()
	reading, err := daemon.options.Platform.VMs(ctx, daemon.list.tag)
	if err != nil {
		daemon.options.Log.Warn("VM list", "Cause", err)
		return
	}
	daemon.list.tag = reading.Tag
	if reading.Changed {
		daemon.list.view = members.NewView(reading.List, askedAt)
		daemon.connect(daemon.list.view)
	} else {
		daemon.list.view = daemon.list.view.Renewed(askedAt)
	}
	daemon.enqueue(promptLane, node.VMListRead{View: daemon.list.view})
}

// listReader is the last reading of the VM list. Its mutex is held during a
// read, so that two reads never overtake each other; nothing else waits for it.
type listReader struct {
	mutex sync.Mutex // guards tag, view
	tag   string
	view  *members.View
}

// connect makes the listed daemons of the own region this daemon's peers, and
// its contacts in other regions.
func (daemon *Daemon) connect(view *members.View) {
	region := daemon.options.Node.Region
	names := view.Present(func(vm *members.VM) bool { return vm.Region == region })
	names = append(names, rollout.CrossRegionPeers(view, daemon.Self(), region)...)
	var peers []link.Peer
	for _, name := range names {
		vm, found := view.Daemon(name)
		if found && name != daemon.Self() {
			peers = append(peers, link.Peer{Name: name, Address: vm.Address})
		}
	}
	daemon.links.Connect(peers)
}
