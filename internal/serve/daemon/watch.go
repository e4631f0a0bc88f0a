package daemon

import (
	"context"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/inner/link"
)

// ConfigKey is the value under which the configuration is published.
const ConfigKey = "teaselmoor"

const (
	watchWait  = 20 * clock.Second
	watchRetry = time.Second
)

// watchConfig reads each new version of the configuration.
func (daemon *Daemon) watchConfig(ctx context.Context) error {
	after := uint64(0)
	for ctx.Err() == nil {
		value, changed, err := daemon.options.Platform.Watch(ctx, ConfigKey, after, watchWait)
		if err != nil {
			daemon.options.Log.Warn("configuration watch", "Cause", err)
			pause(ctx, watchRetry)
			continue
		}
		if changed {
			after = value.Version
			daemon.acceptConfig(value.Body)
		}
	}
	return nil
}

func (daemon *Daemon) acceptConfig(text []byte) {
	parsed, err := config.Parse(text)
	if err == nil {
		var snapshot *config.Snapshot
		if snapshot, err = config.Compile(parsed); err == nil {
			daemon.enqueue(promptLane, node.ConfigRead{Snapshot: snapshot})
			return
		}
	}
	daemon.options.Log.Error("configuration refused", "Cause", err)
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

// pause waits for the span or the context's end.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
