// Package catalog holds the routing configuration that is in force: routes,
// services, workspaces and limits, indexed for look-up. A Table is immutable and is
// replaced as a whole by a new version. It is pure.
package catalog

import (
	"strings"
	"time"
)

// Kind determines how the requests of a route may be handled.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered with a stream of events.
	Streaming
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	default:
		return "streaming"
	}
}

// Backend is one service of a route, with its weight.
type Backend struct {
	// Service by name.
	Service string
	// Weight relative to the route's other services; 0 receives no requests.
	Weight int
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	// Name of the route.
	Name string
	// Host of the requests, in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind of the requests.
	Kind Kind
	// Timeout bounds the time until the final answer; 0 means none.
	Timeout time.Duration
	// LatencyTarget bounds the time to the first byte of an answer that is on time.
	LatencyTarget time.Duration
	// GapTarget bounds the time between two events of a stream that is on time.
	GapTarget time.Duration
	// Priority of the requests; 0 is the highest.
	Priority int
	// Backends that receive the requests.
	Backends []Backend
	// MaxAttempts bounds the number of upstreams on which one request may run.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may continue at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	// Slots is the maximum batch size.
	Slots int
	// KVTokens is the size of the KV cache, in tokens.
	KVTokens int
	// FetchRate is the rate at which an engine copies from another's cache, in tokens per
	// second; 0 if it can't.
	FetchRate float64
	// Moves is set if a run's memory can be moved to another engine.
	Moves bool
	// EventTokens is the number of tokens in an event of a stream; 0 if unknown.
	EventTokens int
}

// Scaling holds the bounds on the number of a service's engines, and their prices.
type Scaling struct {
	// Min and Max bound the engines of a data centre, of both classes together.
	Min, Max int
	// BootTime is the time from an order until the new engine serves.
	BootTime time.Duration
	// SpotPrice of a reclaimable engine, as a share of the on-demand price.
	SpotPrice float64
	// Prices of an on-demand engine per second, by data centre.
	Prices map[string]float64
}

// Service is a set of equivalent upstreams.
type Service struct {
	// Name of the service.
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections bounds the connections of all nodes to one upstream; 0 means no bound.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil when the number of upstreams is fixed.
	Scaling *Scaling
}

// Workspace is a customer with keys and a quota.
type Workspace struct {
	// Name of the workspace.
	Name string
	// Keys that its callers present.
	Keys []string
	// Priority of the requests, 0 is the highest; it takes precedence over the route's.
	Priority int
	// Rate of the quota over all nodes, in units per second; 0 means no quota.
	Rate float64
	// Burst of the quota, in units.
	Burst float64
	// CountsTokens is set when the unit is a token; otherwise it is a request.
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not declare its tokens.
	DefaultTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes of a request.
	MaxHeaderBytes int
	// MaxBodyBytes of a request.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which a caller sends its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change.
	Version int64
	// Routes in no particular order.
	Routes []Route
	// Services in no particular order.
	Services []Service
	// Workspaces in no particular order; without any, no keys are required.
	Workspaces []Workspace
	// Limits on requests of callers.
	Limits Limits
}

// Table is an immutable index of one version.
type Table struct {
	// Config is the indexed configuration.
	Config *Config

	routesByHost   map[string]map[string]*Route
	serviceByName  map[string]*Service
	workspaceByKey map[string]*Workspace
	// workspaceByName and ranks give requests their order; see Rank.
	workspaceByName map[string]*Workspace
	ranks           map[string][]rank
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(config *Config) *Table {
	t := &Table{
		Config:         config,
		routesByHost:   map[string]map[string]*Route{},
		serviceByName:  map[string]*Service{},
		workspaceByKey: map[string]*Workspace{},

		workspaceByName: map[string]*Workspace{},
		ranks:           map[string][]rank{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = map[string]*Route{}
		}
		t.routesByHost[host][route.PathPrefix] = route
	}
	for i := range config.Services {
		t.serviceByName[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Workspaces {
		workspace := &config.Workspaces[i]
		t.workspaceByName[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			t.workspaceByKey[key] = workspace
		}
	}
	t.rankRequests()
	return t
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routesByHost[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// Engine returns the properties of a service's engines; nil for a plain or an unknown service, and without a table.
func (t *Table) Engine(service string) *Engine {
	if t == nil {
		return nil
	}
	if known := t.Service(service); known != nil {
		return known.Engine
	}
	return nil
}

// WorkspaceByKey returns the workspace to which a key belongs, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaceByKey[key] }

// RequiresKeys reports whether requests on routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.Config.Workspaces) > 0 }
