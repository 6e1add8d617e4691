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
	// hostListLag is how late the host list is.
	hostListLag = time.Second
	// loadLag is how old an engine's load report is.
	loadLag = 500 * time.Millisecond
	// cacheEventLag is how late cache events come.
	cacheEventLag = 500 * time.Millisecond
	// cacheEventGap drops every n-th cache event.
	cacheEventGap = 50
	// hostStartDelay is how long a started host takes until its process runs.
	hostStartDelay = time.Second
	// weightsRate is what the weight store sends, in bytes a second, and weightsBytes is
	// the size of each model: a load takes two seconds when it is alone.
	weightsRate  = 4 << 30
	weightsBytes = 8 << 30
	// firstVersion is the version of each model at the start.
	firstVersion = "1"
	// loopback is where stand-ins listen.
	loopback = "127.0.0.1:0"
)

// CrashMarker is a text in a prompt that kills the engine that runs it.
const CrashMarker = "[[crash-upstream]]"

// Deployment runs all stand-ins of a deployment.
type Deployment struct {
	// Log of the platform.
	Log *Log
	// Cloud of the platform, with the host list.
	Cloud *Cloud
	// Weights is the weight store.
	Weights *WeightStore
	// Ledger of what ran on plain services.
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

// serve starts the platform's servers and the one for faults.
func (d *Deployment) serve() error {
	for _, part := range []struct {
		server  **Server
		handler http.Handler
	}{
		{&d.logServer, d.Log.Handler()},
		{&d.cloudServer, d.Cloud.Handler()},
		{&d.weightsServer, d.Weights.Handler()},
		{&d.faultsServer, d.FaultHandler()},
	} {
		server, err := Serve(loopback, part.handler)
		if err != nil {
			return err
		}
		*part.server = server
	}
	return nil
}

// weightsOf returns what the weight store has: version 1 of each model.
func weightsOf(description api.Deployment) []api.WeightInfo {
	var models []api.WeightInfo
	seen := map[string]bool{}
	for _, engine := range description.Engines {
		for _, name := range engine.Models {
			if !seen[name] {
				seen[name] = true
				models = append(models, api.WeightInfo{Name: name, Version: firstVersion, Bytes: weightsBytes})
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

// FaultsURL returns the base URL at which faults are switched.
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
func (d *Deployment) StartEngine(described api.DeploymentEngine) error {
	host, kill, err := d.startEngine(described)
	if err != nil {
		return err
	}
	d.Cloud.Add(host, kill)
	return nil
}

// StartService starts a plain service and registers its host.
func (d *Deployment) StartService(described api.DeploymentService) error {
	host, kill, err := d.startService(described)
	if err != nil {
		return err
	}
	d.Cloud.Add(host, kill)
	return nil
}

// AddNode registers the host of a node; stop is called when it is reclaimed.
func (d *Deployment) AddNode(id, dataCentre, peerAddress, adminAddress, incarnation string, stop func()) {
	host := hostOf(id, api.HostRoleNode, "", peerAddress, dataCentre, d.description.Region, "node")
	host.AdminAddress = adminAddress
	host.Incarnation = incarnation
	d.Cloud.Add(host, stop)
}

// Kill ends an upstream at once, without notice.
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

// Close ends all stand-ins.
func (d *Deployment) Close() {
	d.Cloud.Close()
	for _, server := range []*Server{d.cloudServer, d.logServer, d.weightsServer, d.faultsServer} {
		server.Close()
	}
}

func (d *Deployment) startEngine(described api.DeploymentEngine) (api.Host, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	models := make([]api.LoadedModel, len(described.Models))
	for i, name := range described.Models {
		models[i] = api.LoadedModel{Name: name, Version: firstVersion}
	}
	engine := NewEngine(EngineConfig{
		Models:                 models,
		Slots:                  described.Slots,
		PrefillTokensPerSecond: described.PrefillTokensPerSecond,
		Step:                   time.Duration(described.StepMS * float64(time.Millisecond)),
		KVLimitTokens:          described.KVLimitTokens,
		LoadLag:                loadLag,
		CacheEventLag:          cacheEventLag,
		CacheEventGap:          cacheEventGap,
		Fetch:                  d.Weights.Fetch,
		EnforceFencing:         !described.IgnoresFencing,
		CrashMarker:            CrashMarker,
		OnCrash:                func() { go d.Kill(described.ID) },
	})
	server, err := Serve(loopback, engine.Handler())
	if err != nil {
		cancel()
		return api.Host{}, nil, fmt.Errorf("start engine %s: %w", described.ID, err)
	}
	go engine.Run(ctx)
	d.mu.Lock()
	d.engines[described.ID] = engine
	d.servers[described.ID] = server
	d.mu.Unlock()
	host := hostOf(described.ID, api.HostRoleEngine, "", server.Address(), described.DataCentre, d.description.Region, described.MachineClass)
	host.Incarnation = engine.Incarnation()
	kill := func() {
		d.Kill(described.ID)
		cancel()
	}
	return host, kill, nil
}

func (d *Deployment) startService(described api.DeploymentService) (api.Host, func(), error) {
	service := NewService(described.Service, d.Ledger)
	server, err := Serve(loopback, service)
	if err != nil {
		return api.Host{}, nil, fmt.Errorf("start service %s: %w", described.ID, err)
	}
	d.mu.Lock()
	d.services[described.ID] = service
	d.servers[described.ID] = server
	d.mu.Unlock()
	host := hostOf(described.ID, api.HostRoleService, described.Service, server.Address(), described.DataCentre, d.description.Region, described.MachineClass)
	host.Incarnation = uuid.NewString()[:8]
	return host, func() { d.Kill(described.ID) }, nil
}

// launch starts what the cloud API was asked for, shaped like the first of its kind.
// A started engine has no model loaded.
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
