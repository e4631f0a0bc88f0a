package daemon

import (
	"context"

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
	list, err := daemon.options.Platform.VMs(ctx)
	if err != nil {
		daemon.options.Log.Warn("VM list", "Cause", err)
		return
	}
	view := members.NewView(list, askedAt)
	daemon.connect(view)
	daemon.enqueue(promptLane, node.VMListRead{View: view})
}

// connect makes the listed daemons of the own region this daemon's peers.
func (daemon *Daemon) connect(view *members.View) {
	var peers []link.Peer
	for _, name := range view.Daemons(func(vm *members.VM) bool { return vm.Region == daemon.options.Node.Region }) {
		vm, found := view.Daemon(name)
		if found && name != daemon.Self() {
			peers = append(peers, link.Peer{Name: name, Address: vm.Address})
		}
	}
	daemon.links.Connect(peers)
}
