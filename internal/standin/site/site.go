// Package site starts the stand-ins of a small site in one process, on loopback
// addresses: the platform, engines, weight stores and a records service. Tests and
// the demo run daemons against it.
package site

import (
	"context"
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
)

// Options configure a site.
type Options struct {
	Deployments []Deployment
	// Daemons, Engines and Adapters are counts for each deployment.
	Daemons  int
	Engines  int
	Adapters int
	Engine   modelengine.Options
	// LoadDuration is the time that a weight store takes for one load.
	LoadDuration time.Duration
	// VMListLag is the delay until readers of the VM list see a change.
	VMListLag time.Duration
	// LogLevel is the log level in the settings of the daemons.
	LogLevel string
}

// Names and the API key of the default deployment.
const (
	CallerKey  = "clerk-key"
	DataCentre = "north-a"
	Service    = "records"
)

const (
	baseModel = "base"
	storeName = "weights"
)

// DefaultOptions returns the options of a site with the default deployment, three
// daemons and three engines.
func DefaultOptions() Options {
	return Options{
		Deployments: []Deployment{DefaultDeployment()}, Daemons: 3, Engines: 3, Adapters: 30,
		Engine: modelengine.DefaultOptions(), LoadDuration: 20 * time.Millisecond, LogLevel: "Info",
	}
}

// Site is a set of running stand-ins, with the settings for daemons that use them.
type Site struct {
	Platform *platform.Platform
	Engines  map[ident.EngineID]*modelengine.Engine
	Records  *records.Service
	Settings []settings.Settings
	Config   config.Config

	vms        []members.VM
	ctx        context.Context
	servers    []*http.Server
	goroutines sync.WaitGroup
}

// New starts the stand-ins and publishes the configuration. The stand-ins stop when
// the context ends.
func New(ctx context.Context, options Options) (*Site, error) {
	site := &Site{
		Platform: platform.New(options.VMListLag),
		Engines:  map[ident.EngineID]*modelengine.Engine{},
		Records:  records.New(0),
		ctx:      ctx,
	}
	platformAddress, err := site.start(site.Platform)
	if err != nil {
		return nil, err
	}
	recordsAddress, err := site.start(site.Records)
	if err != nil {
		return nil, err
	}
	for _, deployment := range options.Deployments {
		if err := site.addDeployment(deployment, options, recordsAddress, platformAddress); err != nil {
			return nil, err
		}
	}
	site.Platform.SetVMs(site.vms)
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
	site.goroutines.Add(2)
	go func() {
		defer site.goroutines.Done()
		_ = server.Serve(listener)
	}()
	go func() {
		defer site.goroutines.Done()
		<-site.ctx.Done()
		_ = server.Close()
	}()
	return listener.Addr().String(), nil
}

// Wait waits until the context has ended and all stand-ins have stopped.
func (site *Site) Wait() {
	site.goroutines.Wait()
}

// Publish publishes Config under the next version number.
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

// AdapterAddress returns the address (NAME@VERSION) of the first adapter whose name begins
// with the given task, or an empty string.
func (site *Site) AdapterAddress(task string) string {
	for _, adapter := range site.Config.Adapters {
		if strings.HasPrefix(adapter.Name, task) {
			return adapter.Address().String()
		}
	}
	return ""
}
