package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/bench/instant"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/standin"
)

const (
	// region and machineClass of all hosts.
	region       = "region"
	machineClass = "m"
	// callerKey is the prefix of the workspaces' API keys.
	callerKey = "slopes-key-"
	// peerKey is the secret shared by the nodes.
	peerKey = "slopes-peer-secret"
	// dataCentres is the number of data centres over which hosts are spread.
	dataCentres = 12
)

// platformAddresses is printed by the stand-ins once they run.
type platformAddresses struct {
	LogURL      string `json:"log_url"`
	CloudURL    string `json:"cloud_url"`
	RegisterURL string `json:"register_url"`
}

// standinsCommand runs the stand-ins.
type standinsCommand struct {
	Instant          bool          `help:"Add one engine that answers at once, and no others."`
	Engines          int           `help:"Engines to run." default:"12"`
	Workspaces       int           `help:"Workspaces, each with a route to each service." default:"5"`
	Services         int           `help:"Model services." default:"2"`
	PatchesPerSecond float64       `help:"Configuration patches to publish." default:"0"`
	ChangesPerSecond float64       `help:"Engines to replace." default:"0"`
	For              time.Duration `help:"How long to run." default:"60s"`
}

// Run implements the command.
func (c *standinsCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	configuration, err := json.Marshal(c.configuration())
	if err != nil {
		return err
	}
	deployment := api.Deployment{Region: region}
	for i := range c.engines() {
		deployment.Engines = append(deployment.Engines, c.engine(i))
	}
	d, err := standin.StartDeployment(deployment)
	if err != nil {
		return err
	}
	defer d.Close()
	if c.Instant {
		if err := c.startInstant(d); err != nil {
			return err
		}
	}
	register, err := standin.Serve("127.0.0.1:0", registerHandler(d))
	if err != nil {
		return err
	}
	defer register.Close()
	if err := demo.Bootstrap(ctx, d.LogURL(), configuration); err != nil {
		return err
	}
	addresses := platformAddresses{LogURL: d.LogURL(), CloudURL: d.CloudURL(), RegisterURL: register.URL()}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	go every(ctx, c.PatchesPerSecond, func(n int) { publish(ctx, d.LogURL(), int64(n)+1) })
	go every(ctx, c.ChangesPerSecond, func(n int) { c.replace(d, n) })
	<-ctx.Done()
	return nil
}

// engines returns the number of batching engines.
func (c *standinsCommand) engines() int {
	if c.Instant {
		return 0
	}
	return c.Engines
}

// startInstant starts the instant engine.
func (c *standinsCommand) startInstant(d *standin.Deployment) error {
	engine := &instant.Engine{}
	for i := range c.Services {
		engine.Models = append(engine.Models, serviceName(i))
	}
	server, err := standin.Serve("127.0.0.1:0", engine.Handler())
	if err != nil {
		return err
	}
	d.Cloud.Add(api.Host{
		ID: "instant", Incarnation: "1", Role: api.HostRoleEngine, Address: server.Address(),
		DataCentre: dataCentre(0), Region: region, MachineClass: machineClass, State: api.HostStateLive,
	}, server.Close)
	return nil
}

// registerHandler serves the registration of nodes on the host list.
func registerHandler(d *standin.Deployment) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
		var host api.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.Cloud.Add(host, func() {})
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (c *standinsCommand) configuration() api.Configuration {
	configuration := api.Configuration{
		Deployment:     "slopes",
		Workspaces:     map[string]api.Workspace{},
		Services:       map[string]api.Service{},
		Routes:         map[string]api.Route{},
		MachineClasses: map[string]api.MachineClass{machineClass: {PricePerHour: 1}},
		Operators:      map[string]api.Operator{"operator": {KeyHashes: []string{config.HashKey("operator")}}},
		Policy:         api.Policy{LatencyWeight: 1, CostWeight: 1, RetryRatio: 0.1},
	}
	for i := range c.Services {
		configuration.Services[serviceName(i)] = api.Service{Kind: api.ServiceKindModel, Operations: []api.Operation{}}
	}
	for i := range c.Workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		configuration.Workspaces[name] = api.Workspace{KeyHashes: []string{config.HashKey(callerKey + name)}, Weight: 1}
		for j := range c.Services {
			route := api.Route{Workspace: name, Service: serviceName(j)}
			configuration.Routes[fmt.Sprintf("%s-%d", name, j)] = route
		}
	}
	return configuration
}

func serviceName(i int) string { return fmt.Sprintf("model-%d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func (c *standinsCommand) engine(i int) api.DeploymentEngine {
	return api.DeploymentEngine{
		ID:                     fmt.Sprintf("engine-%d", i),
		DataCentre:             dataCentre(i),
		MachineClass:           machineClass,
		Models:                 []string{serviceName(i % c.Services)},
		Slots:                  8,
		PrefillTokensPerSecond: 8000,
		StepMS:                 10,
		KVLimitTokens:          65536,
	}
}

// replace reclaims one engine and starts another.
func (c *standinsCommand) replace(d *standin.Deployment, n int) {
	replaced := fmt.Sprintf("engine-%d", n)
	d.Cloud.Reclaim(replaced, time.Second)
	if err := d.StartEngine(c.engine(c.Engines + n)); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "slopes: start engine: %v\n", err)
	}
}

// publish appends one patch whose base is the version in force if all patches before it were
// accepted.
func publish(ctx context.Context, logURL string, version int64) {
	client := httpclient.NewLogClient(logURL)
	defer client.Close()
	record, _ := json.Marshal(api.Record{Patch: &api.ConfigPatch{
		ID:          uuid.NewString(),
		BaseVersion: version,
		RuleSet:     config.CurrentRuleSet,
		Format:      api.ConfigPatchFormatMerge,
		Patch:       json.RawMessage(fmt.Sprintf(`{"policy":{"latency_weight":%d}}`, version)),
		Author:      "slopes",
	}})
	if _, err := client.Append(ctx, control.ConfigStream, []json.RawMessage{record}); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "slopes: publish patch: %v\n", err)
	}
}

// every calls f at a rate until ctx ends; a rate of 0 never calls it.
func every(ctx context.Context, perSecond float64, f func(n int)) {
	if perSecond <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			f(n)
		case <-ctx.Done():
			return
		}
	}
}
