package main

import (
	"net/http"
	"os"
	"path/filepath"

	"teaselmoor/internal/standin/loopback"
)

// Names of the stand-in site, after the sheet of cpc-enrolment.
const (
	baseModel = "m0"
	engines   = "lectura"
	host      = "cpc.example"
)

// site is a store, runners and daemons.
type site struct {
	record  *record
	folder  string // temporary
	program string
	ip      string // of the store and the runners
	zones   []string
	store   *store
	runners []*runner
	daemons []*daemon
	version int
	// configBytes is the size of the last configuration.
	configBytes int
}

func newSite(record *record, program string, zones ...string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	site := &site{record: record, folder: folder, program: program, ip: loopback.IP(), zones: zones}
	site.store, err = startStore(record, site.ip)
	return site, err
}

// addRunner starts a runner.
func (site *site) addRunner(id, service, zone string, slots int, run func(*runner, http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	started, err := startRunner(site.record, site.store, site.ip, id, service, zone, slots, service == engines, run)
	if err == nil {
		site.runners = append(site.runners, started)
	}
	return started, err
}

// startDaemons starts daemons, of which the first three are seeds, and waits until they are ready.
func (site *site) startDaemons(names, zones []string) error {
	daemons, err := planDaemons(site.record, site.folder, names, zones)
	if err != nil {
		return err
	}
	site.daemons = daemons
	for _, daemon := range daemons {
		if err := daemon.writeSettings(site.store.address(), site.seeds(), site.zones, true); err != nil {
			return err
		}
		if err := daemon.start(site.program); err != nil {
			return err
		}
	}
	return awaitReady(daemons, startLimit)
}

func (site *site) seeds() []string {
	var seeds []string
	for _, daemon := range site.daemons[:min(3, len(site.daemons))] {
		seeds = append(seeds, daemon.control)
	}
	return seeds
}

// close ends everything that the case has started.
func (site *site) close() {
	for _, daemon := range site.daemons {
		daemon.kill()
	}
	for _, runner := range site.runners {
		runner.stop()
	}
	site.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(site.folder)
	} else {
		println(filepath.Clean(site.folder))
	}
}

// route is a route of the configuration.
type route struct {
	Name, Host, Prefix, Kind string
	TimeoutMs, LatencyGoalMs int
	Priority                 int
	Service                  string
	Attempts                 int
	Sticky, Resumable        bool `json:",omitempty"`
	GapAimMs                 int  `json:",omitempty"`
}

// configure writes a new version of the configuration, and returns the version and its revision.
func (site *site) configure(routes []route) (int, int64) {
	site.version += 3
	value := map[string]any{
		"Version": site.version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": engines, "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 121844, "KvBytes": 163840, "Stride": 3,
				"Models":    []any{map[string]any{"Name": baseModel, "WeightsMb": 65100, "LoadS": 3.9, "Adapters": 3000, "AdapterMb": 12}},
				"WeightsMb": 66600, "AdapterSlots": 17, "LoadsPerS": 2.1,
			}},
			map[string]any{"Name": formerService, "HealthPath": "/health", "MaxConns": 100},
			map[string]any{"Name": latterService, "HealthPath": "/health", "MaxConns": 100},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	revision, size := site.store.put("op/config", value)
	site.configBytes = size
	site.record.add("configuration %d acknowledged at revision %d", site.version, revision)
	return site.version, revision
}
