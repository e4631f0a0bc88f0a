package experiment

import (
	"fmt"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/replay/workload"
)

// Site is a deployment: its callers, data centres and engines.
type Site struct {
	Profile     workload.Profile
	DataCentres []string
	Daemons     int
	Engines     int
	Slots       int
	MaxRuns     int
	Step        nodetest.StepOptions
	// BatchGain is the weight of batch efficiency in the site's placement decisions.
	BatchGain float64
}

// Cantabrica returns the site of a pension enrolment service.
func Cantabrica() Site {
	return newSite(workload.Cantabrica(), "oviedo-a", "oviedo-b", "santander", "gijon")
}

// Ramcharan returns the site of a relining contractor.
func Ramcharan() Site {
	site := newSite(workload.Ramcharan(), "couva-yard", "sando-office", "pointe-shed")
	site.BatchGain = 1
	return site
}

func newSite(profile workload.Profile, dataCentres ...string) Site {
	return Site{
		Profile: profile, DataCentres: dataCentres, Daemons: 7, Engines: 9, Slots: 8, MaxRuns: 16,
		Step: nodetest.StepOptions{Base: 25, PerRun: 1, PerAdapter: 1},
	}
}

func engineName(index int) ident.EngineID {
	return ident.EngineID(fmt.Sprintf("engine-%d", index))
}

func adapterOf(index int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("adapter-%d", index), Version: "1"}
}

func (site Site) dataCentre(index int) string {
	return site.DataCentres[index%len(site.DataCentres)]
}

func (site Site) vms() []members.VM {
	vms := make([]members.VM, 0, site.Daemons)
	for i := range site.Daemons {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Role: members.EntryRole, State: members.Live,
			DataCentre: site.dataCentre(i), Region: "region",
		})
	}
	return vms
}

// config returns the configuration that the site publishes. There is one caller per
// urgency class; its name and its API key are the name of the class.
func (site Site) config() config.Config {
	published := config.Config{
		Version:      1,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
	}
	for _, class := range Classes() {
		published.Callers = append(published.Callers, config.Caller{
			Name: class.String(), KeyHash: config.HashKey(class.String()), Labels: map[string]string{"class": class.String()},
		})
		published.Rules = append(published.Rules, config.Rule{
			Name: class.String(), Callers: "class=" + class.String(), Class: class.String(),
			DeadlineMillis: site.Profile.Deadlines[class], Repeatable: true,
		})
	}
	for i := range site.Engines {
		published.Engines = append(published.Engines, config.Engine{
			Name: engineName(i), Address: "127.0.0.1:1", DataCentre: site.dataCentre(i), Region: "region",
			BaseModel: "base", Store: "weights", Slots: site.Slots, MaxRuns: site.MaxRuns,
		})
	}
	for i := range site.Profile.Adapters {
		address := adapterOf(i)
		published.Adapters = append(published.Adapters, config.Adapter{Name: address.Name, Version: address.Version, BaseModel: "base"})
	}
	return published
}
