// Package catalog holds the routing configuration that is in force: routes,
// services, workspaces and limits, indexed for look-up. A Table is immutable and is
// swapped whole when a new version arrives. It is pure.
package catalog

import (
	"strings"
	"time"
)

// Kind says what may be done with the requests of a route.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the kind as logs and metrics name it.
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

// Backend is one service of a route, with its share of the requests.
type Backend struct {
	// Service by name.
	Service string
	// Weight relative to the route's other services; 0 gets no requests.
	Weight int
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	// Name of the route.
	Name string
	// Host that requests name, in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind of the requests.
	Kind Kind
	// Timeout is the longest time until the final answer; 0 means none.
	Timeout time.Duration
	// LatencyTarget is the time to the first byte of an answer that is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget time.Duration
	// Priority, 0 (first) and up.
	Priority int
	// Backends that take the requests.
	Backends []Backend
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable returns whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	// Slots is the largest batch.
	Slots int
	// KVTokens is the size of the KV cache.
	KVTokens int
	// FetchRate is the tokens a second that an engine copies from another's cache; 0 if it can't.
	FetchRate float64
}

// Scaling says how many engines of a service may be ordered, and at what price.
type Scaling struct {
	// Min and Max bound the engines of a data centre, of both classes together.
	Min, Max int
	// BootTime is the time from an order until a new engine serves.
	BootTime time.Duration
	// SpotPrice of a reclaimable engine, as a share of the price on demand.
	SpotPrice float64
	// Prices of a second on demand, by data centre.
	Prices map[string]float64
}

// Service is a set of alike upstreams.
type Service struct {
	// Name of the service.
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections that one upstream accepts from all nodes; 0 means no bound.
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
	// Priority, 0 (first) and up; it goes before the route's.
	Priority int
	// Rate of the quota over all nodes, in units per second; 0 means no quota.
	Rate float64
	// Burst that may be used at once, in units.
	Burst float64
	// CountsTokens says that the unit is a token; otherwise it is a request.
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
	// HeaderTimeout is the time a caller has to send its headers.
	HeaderTimeout time.Duration
	// IdleTimeout after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version rises with each change.
	Version int64
	// Routes in no order.
	Routes []Route
	// Services in no order.
	Services []Service
	// Workspaces in no order; none means that no keys are asked for.
	Workspaces []Workspace
	// Limits of callers.
	Limits Limits
}

// Table is an index of one version. It is immutable.
type Table struct {
	// Config that is indexed.
	Config *Config

	routes     map[string]map[string]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(config *Config) *Table {
	t := &Table{
		Config:     config,
		routes:     map[string]map[string]*Route{},
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][route.PathPrefix] = route
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Workspaces {
		workspace := &config.Workspaces[i]
		for _, key := range workspace.Keys {
			t.workspaces[key] = workspace
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routes[strings.ToLower(host)]
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
func (t *Table) Service(name string) *Service { return t.services[name] }

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaces[key] }

// RequiresKeys says whether requests of routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.Config.Workspaces) > 0 }
