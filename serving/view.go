package serving

import (
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/routing"
)

// View is the state on which the serving path bases its decisions. It is immutable.
type View struct {
	// PublishedAt is when the view was published.
	PublishedAt time.Time
	// Table is the configuration in force; nil before the first one.
	Table *catalog.Table
	// ConfigUnconfirmed is set while a newer configuration may be in force elsewhere.
	ConfigUnconfirmed bool
	// Fleet holds the upstreams that may receive requests.
	Fleet *routing.Fleet
	// CacheLists hold what engines had cached before this node knew of them.
	CacheLists []*CacheList
	// RegistryReadAt is when the registry was last read.
	RegistryReadAt time.Time
	// DataCentre of this node.
	DataCentre string
	// RetryBurst is this node's share of the retry budget's burst: the retries that are allowed
	// without earlier requests to fund them.
	RetryBurst float64
	// RefusedTraits are the hashes of requests, and of parts of prompts, that crash the upstreams that
	// run them. Trials offers to run one request with such a trait, by hash; who sets it takes it.
	RefusedTraits map[uint64]bool
	Trials        map[uint64]*atomic.Bool
	// Rollouts of services to new versions, by service. JudgesVersions is set if the deployment has any.
	Rollouts       map[string]*Rollout
	JudgesVersions bool
	// Rooms holds the places at the engines of the services whose requests differ in rank.
	Rooms map[string]limit.Room
	// Leaving holds when the upstreams that leave are expected to end, by key.
	Leaving map[string]time.Time
	// Draining is set while this node is stopping; it closes the connections after each response.
	Draining bool
	// RefusingRequests is set once the load balancer has had time to stop sending connections, so
	// that further requests are refused.
	RefusingRequests bool
}

// Events receives the observations of the serving path; the owner of the control state implements it.
type Events interface {
	// UpstreamMisdirected reports that another upstream has taken over the address.
	UpstreamMisdirected(upstream *routing.Upstream)
	// UpstreamUnreachable reports that no connection to the upstream could be established.
	UpstreamUnreachable(upstream *routing.Upstream)
	// ExchangeBroken reports that an exchange with the upstream broke off while it ran a request with
	// some traits.
	ExchangeBroken(upstream *routing.Upstream, traits []quarantine.Trait)
	// TrialStarted reports that a request with a refused trait runs on trial.
	TrialStarted(trait uint64)
	// PromptPlaced reports that a prompt was sent to an engine, which will cache its shared prefix;
	// uncached is the number of tokens that the engine still has to process.
	PromptPlaced(upstream *routing.Upstream, shared SharedPrefix, uncached int)
	// NoticeReceived reports that an upstream's response carried a new notice about the upstream.
	NoticeReceived(upstream *routing.Upstream, notice pacing.Notice)
	// RequestStarted reports that a request of a workspace has begun to run.
	RequestStarted(workspace string)
}
