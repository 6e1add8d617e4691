package serving

import (
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/routing"
)

// View is what the serving path reads for its decisions. It is immutable.
type View struct {
	// PublishedAt is when the view was published.
	PublishedAt time.Time
	// Table is the configuration in force; nil before the first.
	Table *catalog.Table
	// ConfigUnconfirmed says that a newer configuration may be in force elsewhere.
	ConfigUnconfirmed bool
	// Fleet holds the upstreams that may get work.
	Fleet *routing.Fleet
	// RegistryReadAt is when the registry was last read.
	RegistryReadAt time.Time
	// DataCentre of this node.
	DataCentre string
	// RetryBurst is this node's part of the retries that need no requests to pay for them.
	RetryBurst float64
	// Poisoned are the fingerprints of requests that crash the upstreams that run them.
	Poisoned map[uint64]bool
	// Draining says that this node is stopping and asks callers to go elsewhere.
	Draining bool
	// RefusingRequests says that the balancer has had the time to turn away, so that what still
	// arrives is refused.
	RefusingRequests bool
}

// Events tell the owner of the control state what the serving path has met.
type Events interface {
	// UpstreamMisdirected says that another upstream has the address.
	UpstreamMisdirected(upstream *routing.Upstream)
	// UpstreamUnreachable says that no connection to the upstream could be made.
	UpstreamUnreachable(upstream *routing.Upstream)
	// ExchangeBroken says that an exchange with the upstream broke off while it ran a request.
	ExchangeBroken(upstream *routing.Upstream, fingerprint uint64)
	// PromptPlaced says that a prompt was sent to an engine, which will hold its shared prefix;
	// uncached tokens of it are to be read.
	PromptPlaced(upstream *routing.Upstream, shared SharedPrefix, uncached int)
	// NoticeReceived says that an upstream's answer told news of the upstream itself.
	NoticeReceived(upstream *routing.Upstream, notice pacing.Notice)
	// RequestStarted says that a request of a workspace has begun to run.
	RequestStarted(workspace string)
}
