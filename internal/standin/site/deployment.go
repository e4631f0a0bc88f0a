package site

import (
	"fmt"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/standin/loopback"
	"teaselmoor/internal/standin/modelengine"
	"teaselmoor/internal/standin/weightstore"
)

const serviceDeadline = 10 * clock.Second

// Deployment is the part of a site that serves one organisation, in a region of
// its own.
type Deployment struct {
	// Prefix is put before the names of engines, adapters and daemons, so that they
	// differ between deployments.
	Prefix      string
	Region      string
	DataCentres []string
	Caller      string
	CallerKey   string // the API key of the caller
	Service     string
	// ServiceInstances is the number of instances of the plain service.
	ServiceInstances int
	Tasks            []Task
}

// Task is a kind of request. Each adapter serves one task; the tasks are assigned to
// the adapters in rotation.
type Task struct {
	Name       string
	Class      config.Class
	Deadline   clock.Millis
	Repeatable bool
}

// DefaultDeployment returns the deployment that tests use.
func DefaultDeployment() Deployment {
	return Deployment{
		Region: "north", DataCentres: []string{DataCentre}, Caller: "clerk", CallerKey: CallerKey,
		Service: Service, ServiceInstances: 1,
		Tasks: []Task{
			{Name: "review", Class: config.Urgent, Deadline: 10 * clock.Second, Repeatable: true},
			{Name: "draft", Class: config.Routine, Deadline: 30 * clock.Second, Repeatable: true},
			{Name: "quote", Class: config.Routine, Deadline: 30 * clock.Second},
		},
	}
}

// OrganisationDeployments returns the deployments of the two organisations that use
// teaselmoor, with their data centres and the instances of their services.
func OrganisationDeployments() []Deployment {
	return []Deployment{
		{
			Prefix: "cantabrica-", Region: "cantabria",
			DataCentres: []string{"oviedo-a", "oviedo-b", "santander", "gijon"},
			Caller:      "cantabrica", CallerKey: "cantabrica-key", Service: "cantabrica-records", ServiceInstances: 4,
			Tasks: []Task{
				{Name: "contract-review", Class: config.Urgent, Deadline: 10 * clock.Second, Repeatable: true},
				{Name: "enrolment-notice", Class: config.Routine, Deadline: 30 * clock.Second, Repeatable: true},
			},
		},
		{
			Prefix: "ramcharan-", Region: "trinidad",
			DataCentres: []string{"couva-yard", "sando-office", "pointe-shed"},
			Caller:      "ramcharan", CallerKey: "ramcharan-key", Service: "ramcharan-crew-app", ServiceInstances: 3,
			Tasks: []Task{
				{Name: "defect-report", Class: config.Urgent, Deadline: 10 * clock.Second, Repeatable: true},
				{Name: "quote", Class: config.Routine, Deadline: 30 * clock.Second},
			},
		},
	}
}

// addDeployment starts the stand-ins of a deployment and adds the deployment to the
// configuration, the VM list and the settings.
func (site *Site) addDeployment(deployment Deployment, options Options, recordsAddress, platformAddress string) error {
	site.addCaller(deployment)
	if err := site.addService(deployment, recordsAddress); err != nil {
		return err
	}
	if err := site.addEngines(deployment, options); err != nil {
		return err
	}
	site.addAdapters(deployment, options.Adapters)
	site.addRules(deployment)
	return site.addDaemons(deployment, options, platformAddress)
}

func (site *Site) addCaller(deployment Deployment) {
	site.Config.Callers = append(site.Config.Callers, config.Caller{
		Name: deployment.Caller, KeyHash: config.HashKey(deployment.CallerKey), Region: deployment.Region,
		Labels: map[string]string{"organisation": deployment.Caller},
	})
}

// addService adds the plain service, with a first instance that already listens at
// firstAddress, and starts its other instances. All instances share one ledger.
func (site *Site) addService(deployment Deployment, firstAddress string) error {
	service := config.Service{
		Name: deployment.Service, Addresses: []string{firstAddress}, Labels: map[string]string{"service": deployment.Service},
	}
	for range deployment.ServiceInstances - 1 {
		address, err := site.start(site.Records)
		if err != nil {
			return err
		}
		service.Addresses = append(service.Addresses, address)
	}
	site.Config.Services = append(site.Config.Services, service)
	return nil
}

func (site *Site) addEngines(deployment Deployment, options Options) error {
	store := weightstore.New(options.LoadDuration)
	storeAddress, err := site.start(store)
	if err != nil {
		return err
	}
	site.Config.WeightStores = append(site.Config.WeightStores, config.WeightStore{
		Name: deployment.Prefix + storeName, LoadsPerSecond: 1 / max(options.LoadDuration.Seconds(), 0.001),
	})
	engineOptions := options.Engine
	engineOptions.StoreURL = "http://" + storeAddress + weightstore.LoadPath
	for i := range options.Engines {
		if err := site.addEngine(deployment, i, engineOptions); err != nil {
			return err
		}
	}
	return nil
}

func (site *Site) addEngine(deployment Deployment, i int, options modelengine.Options) error {
	name := ident.EngineID(fmt.Sprintf("%sengine-%d", deployment.Prefix, i))
	engine := modelengine.New(options)
	address, err := site.start(engine)
	if err != nil {
		return err
	}
	site.Engines[name] = engine
	site.goroutines.Add(1)
	go func() {
		defer site.goroutines.Done()
		_ = engine.Run(site.ctx)
	}()
	site.Config.Engines = append(site.Config.Engines, config.Engine{
		Name: name, Address: address, DataCentre: deployment.dataCentre(i), Region: deployment.Region,
		BaseModel: deployment.Prefix + baseModel, Store: deployment.Prefix + storeName,
		Labels:        map[string]string{"organisation": deployment.Caller},
		ChecksFencing: options.ChecksFencing, Slots: options.Slots, MaxRuns: options.MaxRuns,
	})
	return nil
}

func (deployment *Deployment) dataCentre(i int) string {
	return deployment.DataCentres[i%len(deployment.DataCentres)]
}

func (site *Site) addAdapters(deployment Deployment, count int) {
	for i := range count {
		task := deployment.Tasks[i%len(deployment.Tasks)].Name
		site.Config.Adapters = append(site.Config.Adapters, config.Adapter{
			Name: fmt.Sprintf("%s%s-%d", deployment.Prefix, task, i), Version: "1", BaseModel: deployment.Prefix + baseModel,
			Labels: map[string]string{"organisation": deployment.Caller, "task": task},
		})
	}
}

func (site *Site) addRules(deployment Deployment) {
	callers := "organisation=" + deployment.Caller
	for _, task := range deployment.Tasks {
		site.Config.Rules = append(site.Config.Rules, config.Rule{
			Name: deployment.Prefix + task.Name, Callers: callers, Adapters: callers + ",task=" + task.Name, Engines: callers,
			Class: task.Class.String(), DeadlineMillis: task.Deadline, Repeatable: task.Repeatable,
		})
	}
	site.Config.Rules = append(site.Config.Rules, config.Rule{
		Name: deployment.Prefix + "service", Callers: callers, Services: "service=" + deployment.Service,
		Class: config.Urgent.String(), DeadlineMillis: serviceDeadline,
	})
}

func (site *Site) addDaemons(deployment Deployment, options Options, platformAddress string) error {
	for i := range options.Daemons {
		addresses, err := loopback.Addresses(3)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%sdaemon-%d", deployment.Prefix, i)
		daemonSettings := settings.Default()
		daemonSettings.Name, daemonSettings.DataCentre, daemonSettings.Region = name, deployment.dataCentre(i), deployment.Region
		daemonSettings.CallerAddress, daemonSettings.InnerAddress, daemonSettings.OperatorAddress = addresses[0], addresses[1], addresses[2]
		daemonSettings.ConfigAddress, daemonSettings.VMListAddress = platformAddress, platformAddress
		daemonSettings.Operators.LogLevel = options.LogLevel
		site.Settings = append(site.Settings, daemonSettings)
		site.vms = append(site.vms, members.VM{
			Name: name, Address: addresses[1], Role: members.EntryRole,
			DataCentre: deployment.dataCentre(i), Region: deployment.Region, State: members.Live,
		})
	}
	return nil
}
