package nodetest

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/rollout"
)

// ServiceMode is how the fake configuration service behaves.
type ServiceMode int

// Modes of the configuration service.
const (
	ServiceUp ServiceMode = iota
	// ServiceDown: every call fails.
	ServiceDown
	// ServiceStale: values published since stay hidden.
	ServiceStale
	// ServiceFlapping: calls show the present and the stale values in turn.
	ServiceFlapping
)

const manifestKey = "manifest"

// ConfigService is the fake configuration service of a network.
type ConfigService struct {
	// Calls counts the calls of all daemons; a watch counts as one.
	Calls int
	// Unreachable lists the daemons whose calls fail.
	Unreachable map[ident.DaemonID]bool
	// Corrupt, when set, alters the values that are read.
	Corrupt func(key string, body []byte) []byte

	network *Network
	mode    ServiceMode
	values  map[string]serviceValue
	old     map[string]serviceValue
	waiting []*waitingWatch
	// remembered says that old does not change any more.
	remembered bool
	// assembled caches assemblies, which depend on the mark alone.
	assembled map[config.Mark]node.ConfigAssembled
}

type serviceValue struct {
	version uint64
	body    []byte
}

type waitingWatch struct {
	host  *Host
	life  uint64
	after uint64
	done  bool
}

func newConfigService(network *Network) *ConfigService {
	return &ConfigService{
		Unreachable: map[ident.DaemonID]bool{}, network: network,
		values: map[string]serviceValue{}, old: map[string]serviceValue{},
		assembled: map[config.Mark]node.ConfigAssembled{},
	}
}

// Publish publishes a configuration as operators do: parts first.
func (service *ConfigService) Publish(published config.Config) error {
	manifest, parts, err := config.Pack(published)
	if err != nil {
		return err
	}
	text, err := config.FormatManifest(manifest)
	if err != nil {
		return err
	}
	for _, part := range parts {
		service.Put(part.Name, part.Body)
	}
	service.PutManifest(text)
	return nil
}

// PutManifest publishes the text of a manifest, right or wrong.
func (service *ConfigService) PutManifest(text []byte) {
	service.Put(manifestKey, text)
}

// Put publishes one value; nil removes it.
func (service *ConfigService) Put(key string, body []byte) {
	if body == nil {
		delete(service.values, key)
		return
	}
	service.values[key] = serviceValue{version: service.values[key].version + 1, body: body}
	service.wake()
}

// FixStaleValues makes the values of this moment the stale ones, for good.
func (service *ConfigService) FixStaleValues() {
	service.old = maps.Clone(service.values)
	service.remembered = true
}

// SetMode changes how the service behaves; the values of this moment become
// the stale ones when it was up, unless others are remembered.
func (service *ConfigService) SetMode(mode ServiceMode) {
	if service.mode == ServiceUp && !service.remembered {
		service.old = maps.Clone(service.values)
	}
	service.mode = mode
	service.wake()
}

func (service *ConfigService) shown(key string) (serviceValue, bool) {
	values := service.values
	if service.mode == ServiceStale || service.mode == ServiceFlapping && service.Calls%2 == 0 {
		values = service.old
	}
	value, found := values[key]
	if found && service.Corrupt != nil {
		value.body = service.Corrupt(key, value.body)
	}
	return value, found
}

func (service *ConfigService) up(host *Host) bool {
	return service.mode != ServiceDown && !service.Unreachable[host.Name]
}

// wake answers the waiting watches that have something to see.
func (service *ConfigService) wake() {
	waiting := service.waiting
	service.waiting = nil
	for _, watch := range waiting {
		if !watch.done && !service.tryWatch(watch) {
			service.waiting = append(service.waiting, watch)
		}
	}
}

// tryWatch answers a watch, unless there is nothing new to see.
func (service *ConfigService) tryWatch(watch *waitingWatch) bool {
	value, found := service.shown(manifestKey)
	switch {
	case !service.up(watch.host):
		service.endWatch(watch, rollout.WatchResult{Cause: "down"})
	case found && value.version > watch.after:
		service.endWatch(watch, rollout.WatchResult{Version: value.version, Body: value.body, Changed: true})
	default:
		return false
	}
	return true
}

func (service *ConfigService) endWatch(watch *waitingWatch, result rollout.WatchResult) {
	watch.done = true
	service.reply(watch.host, watch.life, node.ConfigWatched{Result: result})
}

func (service *ConfigService) reply(host *Host, life uint64, event node.Event) {
	service.network.after(service.network.options.Delay, func() {
		if host.life == life {
			service.network.HandleEvent(host, event)
		}
	})
}

func (service *ConfigService) watch(host *Host, asked effect.WatchConfig) {
	watch := &waitingWatch{host: host, life: host.life, after: asked.After}
	service.network.after(service.network.options.Delay, func() {
		service.Calls++
		if service.tryWatch(watch) {
			return
		}
		service.waiting = append(service.waiting, watch)
		service.network.after(asked.Wait, func() {
			if !watch.done {
				service.endWatch(watch, rollout.WatchResult{})
			}
		})
	})
}

func (service *ConfigService) read(host *Host, name string) {
	life := host.life
	service.network.after(service.network.options.Delay, func() {
		service.Calls++
		value, found := service.shown(name)
		service.reply(host, life, node.ConfigPartRead{
			Name: name, Body: value.body, Failed: !found || !service.up(host),
		})
	})
}

// assemblySpan is the time that a daemon takes to assemble a configuration of
// full size, rounded up from the benchmark.
const assemblySpan = 400 * clock.Millisecond

func (service *ConfigService) assemble(host *Host, order effect.AssembleConfig) {
	known, found := service.assembled[order.Mark]
	if !found {
		known = node.Assemble(order)
		service.assembled[order.Mark] = known
	}
	life := host.life
	service.network.after(assemblySpan, func() {
		if host.life == life {
			service.network.HandleEvent(host, known)
		}
	})
}

// performConfig carries out what concerns the configuration service. Networks
// whose daemons were handed their configuration have no service to call.
func (network *Network) performConfig(host *Host, next effect.Effect) {
	switch next := next.(type) {
	case effect.WatchConfig:
		if network.options.UseConfigService {
			network.Service.watch(host, next)
		}
	case effect.ReadConfigPart:
		network.Service.read(host, next.Name)
	case effect.AssembleConfig:
		network.Service.assemble(host, next)
	}
}

// VersionsInForce returns the versions in force and the number of live daemons that
// have each; daemons without a configuration count under 0.
func (network *Network) VersionsInForce() map[uint64]int {
	versions := map[uint64]int{}
	for _, host := range network.hosts() {
		if !host.Dead {
			versions[version(host)]++
		}
	}
	return versions
}

func version(host *Host) uint64 {
	if host.Node.Config() == nil {
		return 0
	}
	return host.Node.Config().Version()
}

// InForceEverywhere reports whether every live daemon that is not paused has a version in force.
func (network *Network) InForceEverywhere(wanted uint64) bool {
	return !slices.ContainsFunc(network.hosts(), func(host *Host) bool {
		return !host.Dead && !host.Paused && version(host) != wanted
	})
}
