// Package site puts a whole small site together on loopback, in one process:
// stand-ins of the platform, engines, a weight store and a records service.
// Tests and the demo run daemons against it.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/standin/modelengine"
	"teaselmoor/internal/standin/platform"
	"teaselmoor/internal/standin/records"
	"teaselmoor/internal/standin/weightstore"
)

// Options describe a site.
type Options struct {
	Daemons  int
	Engines  int
	Adapters int
	Engine   modelengine.Options
	// LoadSpan is how long the weight store takes for one load.
	LoadSpan time.Duration
	ListLag  time.Duration
}

// Names that sites use.
const (
	CallerName = "clerk"
	CallerKey  = "clerk-key"
	Region     = "north"
	DataCentre = "north-a"
	BaseModel  = "base"
	StoreName  = "weights"
	Service    = "records"
)

// DefaultOptions returns a site of three daemons and three engines.
func DefaultOptions() Options {
	return Options{
		Daemons: 3, Engines: 3, Adapters: 30, Engine: modelengine.DefaultOptions(), LoadSpan: 20 * time.Millisecond,
	}
}

// Site is a running set of stand-ins, and the settings of daemons for it.
type Site struct {
	Platform *platform.Platform
	Engines  map[ident.EngineID]*modelengine.Engine
	Store    *weightstore.Store
	Records  *records.Service
	Settings []settings.Settings
	Config   config.Config

	ctx     context.Context
	servers []*http.Server
	ended   sync.WaitGroup
}

// New starts the stand-ins. They end with the context.
func New(ctx context.Context, options Options) (*Site, error) {
	site := &Site{
		Platform: platform.New(options.ListLag),
		Engines:  map[ident.EngineID]*modelengine.Engine{},
		Store:    weightstore.New(options.LoadSpan),
		Records:  records.New(0),
		ctx:      ctx,
	}
	platformAddress, err := site.start(site.Platform)
	if err != nil {
		return nil, err
	}
	if err := site.startBackends(options); err != nil {
		return nil, err
	}
	site.addAdapters(options.Adapters)
	if err := site.addDaemons(options.Daemons, platformAddress); err != nil {
		return nil, err
	}
	return site, site.Publish()
}

// start serves a handler on a free loopback port and returns its address.
func (site *Site) start(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	site.servers = append(site.servers, server)
	site.ended.Add(2)
	go func() {
		defer site.ended.Done()
		_ = server.Serve(listener)
	}()
	go func() {
		defer site.ended.Done()
		<-site.ctx.Done()
		_ = server.Close()
	}()
	return listener.Addr().String(), nil
}

// Wait returns once the context has ended and every stand-in has stopped.
func (site *Site) Wait() {
	site.ended.Wait()
}

func (site *Site) startBackends(options Options) error {
	storeAddress, err := site.start(site.Store)
	if err != nil {
		return err
	}
	recordsAddress, err := site.start(site.Records)
	if err != nil {
		return err
	}
	site.Config = config.Config{
		WeightStores: []config.WeightStore{{Name: StoreName, LoadsPerSecond: 1 / max(options.LoadSpan.Seconds(), 0.001)}},
		Services:     []config.Service{{Name: Service, Addresses: []string{recordsAddress}, Labels: map[string]string{"kind": "records"}}},
		Callers: []config.Caller{{
			Name: CallerName, KeyHash: config.HashKey(CallerKey), Labels: map[string]string{"team": "enrolment"},
		}},
		Rules: []config.Rule{
			{Name: "urgent-reviews", Adapters: "task=review", Class: "Urgent", DeadlineMillis: 10_000, Repeatable: true},
			{Name: "drafts", Adapters: "task=draft", Class: "Routine", DeadlineMillis: 30_000, Repeatable: true},
			{Name: "quotes", Adapters: "task=quote", Class: "Routine", DeadlineMillis: 30_000},
			{Name: "records", Services: "kind=records", Class: "Urgent", DeadlineMillis: 10_000},
		},
	}
	for i := range options.Engines {
		if err := site.addEngine(i, options.Engine, storeAddress); err != nil {
			return err
		}
	}
	return nil
}

func (site *Site) addEngine(i int, options modelengine.Options, storeAddress string) error {
	name := ident.EngineID(fmt.Sprintf("engine-%d", i))
	options.StoreURL = "http://" + storeAddress + weightstore.LoadPath
	engine := modelengine.New(options)
	address, err := site.start(engine)
	if err != nil {
		return err
	}
	site.Engines[name] = engine
	site.ended.Add(1)
	go func() {
		defer site.ended.Done()
		_ = engine.Run(site.ctx)
	}()
	site.Config.Engines = append(site.Config.Engines, config.Engine{
		Name: name, Address: address, DataCentre: DataCentre, Region: Region, BaseModel: BaseModel, Store: StoreName,
		ChecksFencing: options.ChecksFencing, Slots: options.Slots, MaxRuns: options.MaxRuns,
	})
	return nil
}

// tasks are the labels that adapters are given in turn.
var tasks = []string{"review", "draft", "quote"}

func (site *Site) addAdapters(count int) {
	for i := range count {
		task := tasks[i%len(tasks)]
		site.Config.Adapters = append(site.Config.Adapters, config.Adapter{
			Name: fmt.Sprintf("%s-%d", task, i), Version: "1", BaseModel: BaseModel, Labels: map[string]string{"task": task},
		})
	}
}

func (site *Site) addDaemons(count int, platformAddress string) error {
	var vms []members.VM
	for i := range count {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("daemon-%d", i)
		site.Settings = append(site.Settings, settings.Settings{
			Name: name, DataCentre: DataCentre, Region: Region,
			CallerAddress: addresses[0], InnerAddress: addresses[1], OperatorAddress: addresses[2],
			ConfigAddress: platformAddress, VMListAddress: platformAddress,
		})
		vms = append(vms, members.VM{
			Name: name, Address: addresses[1], Role: members.EntryRole, DataCentre: DataCentre, Region: Region, State: members.Live,
		})
	}
	site.Platform.SetVMs(vms)
	return nil
}

// freeAddresses finds loopback ports that nothing listens on at the moment.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Publish publishes the site's configuration as its next version.
func (site *Site) Publish() error {
	site.Config.Version++
	manifest, parts, err := config.Pack(site.Config)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := site.Platform.Publish(part.Name, part.Body); err != nil {
			return err
		}
	}
	text, err := config.FormatManifest(manifest)
	if err != nil {
		return err
	}
	return site.Platform.Publish(daemon.ConfigKey, text)
}

// Adapter returns the address of the first adapter with a task.
func (site *Site) Adapter(task string) string {
	for _, adapter := range site.Config.Adapters {
		if strings.HasPrefix(adapter.Name, task) {
			return adapter.Address().String()
		}
	}
	return ""
}
