package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// hostListLag is the delay of the host list.
	hostListLag = time.Second
	// loadLag is the age of an engine's load report.
	loadLag = 500 * time.Millisecond
	// cacheEventLag is the delay of cache events.
	cacheEventLag = 500 * time.Millisecond
	// cacheEventGap is the interval, in events, at which a cache event is dropped.
	cacheEventGap = 50
	// hostStartDelay is the time from the start of a host until its process runs.
	hostStartDelay = time.Second
	// weightsRate is the rate of the weight store, in bytes per second, and weightsBytes is
	// the size of each model: a single load takes two seconds.
	weightsRate  = 4 << 30
	weightsBytes = 8 << 30
	// initialVersion is the initial version of each model.
	initialVersion = "1"
	// loopbackAddress is the listen address of stand-ins.
	loopbackAddress = "127.0.0.1:0"
)

// CrashMarker is a text in a prompt that crashes the engine that runs it.
const CrashMarker = "[[crash-upstream]]"

// Deployment runs all stand-ins of a deployment.
type Deployment struct {
	// Log of the platform.
	Log *Log
	// Cloud of the platform, with the host list.
	Cloud *Cloud
	// Weights is the weight store.
	Weights *WeightStore
	// Ledger of the operations that ran on plain services.
	Ledger *Ledger

	description   api.Deployment
	logServer     *Server
	cloudServer   *Server
	weightsServer *Server
	faultsServer  *Server

	mu       sync.Mutex
	engines  map[string]*Engine
	services map[string]*Service
	servers  map[string]*Server
}

// StartDeployment starts the platform, engines and services of a deployment.
func StartDeployment(description api.Deployment) (*Deployment, error) {
	d := &Deployment{
		Log:         NewLog(),
		Ledger:      NewLedger(),
		description: description,
		engines:     map[string]*Engine{},
		services:    map[string]*Service{},
		servers:     map[string]*Server{},
	}
	d.Cloud = NewCloud(hostListLag, d.launch)
	d.Cloud.SetStartDelay(hostStartDelay)
	d.Weights = NewWeightStore(weightsRate, weightsOf(description)...)
	if err := d.serve(); err != nil {
		return nil, err
	}
	for _, engine := range description.Engines {
		if err := d.StartEngine(engine); err != nil {
			return nil, err
		}
	}
	for _, service := range description.Services {
		if err := d.StartService(service); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// serve starts the servers of the platform and of the fault API.
func (d *Deployment) serve() error {
	for _, entry := range []struct {
		server  **Server
		handler http.Handler
	}{
		{&d.logServer, d.Log.Handler()},
		{&d.cloudServer, d.Cloud.Handler()},
		{&d.weightsServer, d.Weights.Handler()},
		{&d.faultsServer, d.FaultHandler()},
	} {
		server, err := Serve(loopbackAddress, entry.handler)
		if err != nil {
			return err
		}
		*entry.server = server
	}
	return nil
}

// weightsOf returns the contents of the weight store: the initial version of each model.
func weightsOf(description api.Deployment) []api.WeightInfo {
	var models []api.WeightInfo
	seen := map[string]bool{}
	for _, engine := range description.Engines {
		for _, name := range engine.Models {
			if !seen[name] {
				seen[name] = true
				models = append(models, api.WeightInfo{Name: name, Version: initialVersion, Bytes: weightsBytes})
			}
		}
	}
	return models
}

// LogURL returns the base URL of the log.
func (d *Deployment) LogURL() string { return d.logServer.URL() }

// CloudURL returns the base URL of the cloud API and the host list.
func (d *Deployment) CloudURL() string { return d.cloudServer.URL() }

// WeightsURL returns the base URL of the weight store.
func (d *Deployment) WeightsURL() string { return d.weightsServer.URL() }

// FaultsURL returns the base URL of the fault API.
func (d *Deployment) FaultsURL() string { return d.faultsServer.URL() }

// Engine returns a running engine by host id; nil if there is none.
func (d *Deployment) Engine(id string) *Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[id]
}

// Service returns a running service by host id; nil if there is none.
func (d *Deployment) Service(id string) *Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[id]
}

// Upstreams returns the host ids of the upstreams that run, sorted.
func (d *Deployment) Upstreams() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.servers))
}

// Server returns the server of an upstream by host id; nil if there is none.
func (d *Deployment) Server(id string) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[id]
}

// StartEngine starts an engine and registers its host.
func (d *Deployment) StartEngine(spec api.DeploymentEngine) error {
	host, kill, err := d.startEngine(spec)
	if err != nil {
		return err
	}
	d.Cloud.Add(host, kill)
	return nil
}

// StartService starts a plain service and registers its host.
func (d *Deployment) StartService(spec api.DeploymentService) error {
	host, kill, err := d.startService(spec)
	if err != nil {
		return err
	}
	d.Cloud.Add(host, kill)
	return nil
}

// AddNode registers the host of a node; stop is called when the host is reclaimed.
func (d *Deployment) AddNode(id, dataCentre, peerAddress, adminAddress, incarnation string, stop func()) {
	host := hostOf(id, api.HostRoleNode, "", peerAddress, dataCentre, d.description.Region, "node")
	host.AdminAddress = adminAddress
	host.Incarnation = incarnation
	d.Cloud.Add(host, stop)
}

// Kill stops an upstream immediately, without notice.
func (d *Deployment) Kill(id string) {
	d.mu.Lock()
	server := d.servers[id]
	delete(d.servers, id)
	delete(d.engines, id)
	delete(d.services, id)
	d.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Close stops all stand-ins.
func (d *Deployment) Close() {
	d.Cloud.Close()
	for _, server := range []*Server{d.cloudServer, d.logServer, d.weightsServer, d.faultsServer} {
		server.Close()
	}
}

func (d *Deployment) startEngine(spec api.DeploymentEngine) (api.Host, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	models := make([]api.LoadedModel, len(spec.Models))
	for i, name := range spec.Models {
		models[i] = api.LoadedModel{Name: name, Version: initialVersion}
	}
	engine := NewEngine(EngineConfig{
		Models:                 models,
		Slots:                  spec.Slots,
		PrefillTokensPerSecond: spec.PrefillTokensPerSecond,
		Step:                   time.Duration(spec.StepMS * float64(time.Millisecond)),
		KVLimitTokens:          spec.KVLimitTokens,
		LoadLag:                loadLag,
		CacheEventLag:          cacheEventLag,
		CacheEventGap:          cacheEventGap,
		Fetch:                  d.Weights.Fetch,
		EnforceFencing:         !spec.IgnoresFencing,
		CrashMarker:            CrashMarker,
		OnCrash:                func() { go d.Kill(spec.ID) },
	})
	server, err := Serve(loopbackAddress, engine.Handler())
	if err != nil {
		cancel()
		return api.Host{}, nil, fmt.Errorf("start engine %s: %w", spec.ID, err)
	}
	go engine.Run(ctx)
	d.mu.Lock()
	d.engines[spec.ID] = engine
	d.servers[spec.ID] = server
	d.mu.Unlock()
	host := hostOf(spec.ID, api.HostRoleEngine, "", server.Address(), spec.DataCentre, d.description.Region, spec.MachineClass)
	host.Incarnation = engine.Incarnation()
	kill := func() {
		d.Kill(spec.ID)
		cancel()
	}
	return host, kill, nil
}

func (d *Deployment) startService(spec api.DeploymentService) (api.Host, func(), error) {
	service := NewService(spec.Service, d.Ledger)
	server, err := Serve(loopbackAddress, service)
	if err != nil {
		return api.Host{}, nil, fmt.Errorf("start service %s: %w", spec.ID, err)
	}
	d.mu.Lock()
	d.services[spec.ID] = service
	d.servers[spec.ID] = server
	d.mu.Unlock()
	host := hostOf(spec.ID, api.HostRoleService, spec.Service, server.Address(), spec.DataCentre, d.description.Region, spec.MachineClass)
	host.Incarnation = uuid.NewString()[:8]
	return host, func() { d.Kill(spec.ID) }, nil
}

// launch starts the host of a start request. An engine has the configuration of the first
// described engine of the same machine class, but no model loaded.
func (d *Deployment) launch(request api.StartHostRequest, id string) (api.Host, func(), error) {
	if request.Role == string(api.HostRoleService) {
		return d.startService(api.DeploymentService{
			ID: id, DataCentre: request.DataCentre, MachineClass: request.MachineClass, Service: request.Service,
		})
	}
	for _, known := range d.description.Engines {
		if known.MachineClass == request.MachineClass {
			known.ID = id
			known.Models = nil
			known.DataCentre = request.DataCentre
			return d.startEngine(known)
		}
	}
	return api.Host{}, nil, fmt.Errorf("machine class %q is not offered", request.MachineClass)
}
