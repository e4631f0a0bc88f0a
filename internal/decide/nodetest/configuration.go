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
	// ServiceStale: calls return the stale values; later publications are hidden.
	ServiceStale
	// ServiceFlapping: calls alternate between the current and the stale values.
	ServiceFlapping
)

const manifestKey = "manifest"

// ConfigService is the fake configuration service of a network.
type ConfigService struct {
	// Calls counts the calls of all daemons; a watch counts as one.
	Calls int
	// Unreachable lists the daemons whose calls fail.
	Unreachable map[ident.DaemonID]bool
	// Corrupt, if set, alters the values that are read.
	Corrupt func(key string, body []byte) []byte

	network        *Network
	mode           ServiceMode
	values         map[string]serviceValue
	staleValues    map[string]serviceValue
	pendingWatches []*pendingWatch
	// staleValuesFixed is set once staleValues no longer changes.
	staleValuesFixed bool
	// assembled caches assembled configurations by mark. It ignores the previous
	// configuration, with which the check of a successor could differ.
	assembled map[config.Mark]node.ConfigAssembled
}

type serviceValue struct {
	version uint64
	body    []byte
}

type pendingWatch struct {
	host       *Host
	generation uint64
	after      uint64
	done       bool
}

func newConfigService(network *Network) *ConfigService {
	return &ConfigService{
		Unreachable: map[ident.DaemonID]bool{}, network: network,
		values: map[string]serviceValue{}, staleValues: map[string]serviceValue{},
		assembled: map[config.Mark]node.ConfigAssembled{},
	}
}

// Publish publishes a configuration as operators do: parts first, then the
// manifest.
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

// PutManifest publishes a manifest, valid or not.
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
	service.answerWatches()
}

// FixStaleValues makes the current values the stale ones, also for later calls of
// SetMode.
func (service *ConfigService) FixStaleValues() {
	service.staleValues = maps.Clone(service.values)
	service.staleValuesFixed = true
}

// SetMode changes how the service behaves. If the service was up, the current
// values become the stale ones, unless these are fixed.
func (service *ConfigService) SetMode(mode ServiceMode) {
	if service.mode == ServiceUp && !service.staleValuesFixed {
		service.staleValues = maps.Clone(service.values)
	}
	service.mode = mode
	service.answerWatches()
}

func (service *ConfigService) visibleValue(key string) (serviceValue, bool) {
	values := service.values
	if service.mode == ServiceStale || service.mode == ServiceFlapping && service.Calls%2 == 0 {
		values = service.staleValues
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

// answerWatches answers the pending watches that have a result.
func (service *ConfigService) answerWatches() {
	watches := service.pendingWatches
	service.pendingWatches = nil
	for _, watch := range watches {
		if !watch.done && !service.tryWatch(watch) {
			service.pendingWatches = append(service.pendingWatches, watch)
		}
	}
}

// tryWatch answers a watch if there is a new version or the service is down.
func (service *ConfigService) tryWatch(watch *pendingWatch) bool {
	value, found := service.visibleValue(manifestKey)
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

func (service *ConfigService) endWatch(watch *pendingWatch, result rollout.WatchResult) {
	watch.done = true
	service.reply(watch.host, watch.generation, node.ConfigWatched{Result: result})
}

func (service *ConfigService) reply(host *Host, generation uint64, event node.Event) {
	service.network.after(service.network.options.Delay, func() {
		if host.generation == generation {
			service.network.HandleEvent(host, event)
		}
	})
}

func (service *ConfigService) watch(host *Host, effect effect.WatchConfig) {
	watch := &pendingWatch{host: host, generation: host.generation, after: effect.After}
	service.network.after(service.network.options.Delay, func() {
		service.Calls++
		if service.tryWatch(watch) {
			return
		}
		service.pendingWatches = append(service.pendingWatches, watch)
		service.network.after(effect.Wait, func() {
			if !watch.done {
				service.endWatch(watch, rollout.WatchResult{})
			}
		})
	})
}

func (service *ConfigService) read(host *Host, name string) {
	generation := host.generation
	service.network.after(service.network.options.Delay, func() {
		service.Calls++
		value, found := service.visibleValue(name)
		service.reply(host, generation, node.ConfigPartRead{
			Name: name, Body: value.body, Failed: !found || !service.up(host),
		})
	})
}

// assemblyDuration is how long a daemon takes to assemble a configuration of full
// size.
const assemblyDuration = 400 * clock.Millisecond

func (service *ConfigService) assemble(host *Host, order effect.AssembleConfig) {
	assembled, found := service.assembled[order.Mark]
	if !found {
		assembled = node.Assemble(order)
		service.assembled[order.Mark] = assembled
	}
	generation := host.generation
	service.network.after(assemblyDuration, func() {
		if host.generation == generation {
			service.network.HandleEvent(host, assembled)
		}
	})
}

// performConfigEffect carries out the effects that use the configuration service.
// Daemons that were given their configuration at the start do not watch the
// service.
func (network *Network) performConfigEffect(host *Host, next effect.Effect) {
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

// VersionsInForce returns the number of live daemons per version in force. Daemons
// without a configuration count under 0.
func (network *Network) VersionsInForce() map[uint64]int {
	versions := map[uint64]int{}
	for _, host := range network.hosts() {
		if !host.Dead {
			versions[versionInForce(host)]++
		}
	}
	return versions
}

func versionInForce(host *Host) uint64 {
	if host.Node.Config() == nil {
		return 0
	}
	return host.Node.Config().Version()
}

// InForceEverywhere reports whether the version is in force at every live daemon that
// is not paused.
func (network *Network) InForceEverywhere(wanted uint64) bool {
	return !slices.ContainsFunc(network.hosts(), func(host *Host) bool {
		return !host.Dead && !host.Paused && versionInForce(host) != wanted
	})
}
