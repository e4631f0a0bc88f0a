// Package site puts a whole small site together on loopback, in one process:
// stand-ins of the platform, engines, a weight store and a records service.
// Tests and the demo run daemons against it.
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

// Options describe a site.
type Options struct {
	Deployments []Deployment
	// Daemons, Engines and Adapters are numbers for each deployment.
	Daemons  int
	Engines  int
	Adapters int
	Engine   modelengine.Options
	// LoadSpan is how long the weight store takes for one load.
	LoadSpan time.Duration
	ListLag  time.Duration
	// LogLevel is the daemons' setting.
	LogLevel string
}

// Names of the default deployment.
const (
	CallerKey  = "clerk-key"
	DataCentre = "north-a"
	Service    = "records"
)

const (
	baseModel = "base"
	storeName = "weights"
)

// DefaultOptions returns a site of three daemons and three engines.
func DefaultOptions() Options {
	return Options{
		Deployments: []Deployment{DefaultDeployment()}, Daemons: 3, Engines: 3, Adapters: 30,
		Engine: modelengine.DefaultOptions(), LoadSpan: 20 * time.Millisecond, LogLevel: "Info",
	}
}

// Site is a running set of stand-ins, and the settings of daemons for it.
type Site struct {
	Platform *platform.Platform
	Engines  map[ident.EngineID]*modelengine.Engine
	Records  *records.Service
	Settings []settings.Settings
	Config   config.Config

	vms     []members.VM
	ctx     context.Context
	servers []*http.Server
	ended   sync.WaitGroup
}

// New starts the stand-ins. They end with the context.
func New(ctx context.Context, options Options) (*Site, error) {
	site := &Site{
		Platform: platform.New(options.ListLag),
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
		if err := site.add(deployment, options, recordsAddress, platformAddress); err != nil {
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
