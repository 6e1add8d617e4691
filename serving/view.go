package serving

import (
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/routing"
)

// View is what the serving path reads for its decisions. It is immutable.
type View struct {
	// At is when the view was published.
	At time.Time
	// Table is the configuration in force; nil before the first.
	Table *catalog.Table
	// Unconfirmed says that a newer configuration may be in force elsewhere.
	Unconfirmed bool
	// Fleet holds the upstreams that may get work.
	Fleet *routing.Fleet
	// FleetAt is when the registry was last read.
	FleetAt time.Time
	// DataCentre of this node.
	DataCentre string
	// RetryBurst is this node's part of the retries that need no requests to pay for them.
	RetryBurst float64
	// Poisoned are the fingerprints of requests that crash the upstreams that run them.
	Poisoned map[uint64]bool
	// Draining says that this node is stopping and asks callers to go elsewhere.
	Draining bool
	// Closed says that the balancer has had the time to turn away, so that what still
	// arrives is refused.
	Closed bool
}

// Events tell the owner of the control state what the serving path has met.
type Events interface {
	// Misdirected says that another upstream has the address.
	Misdirected(upstream *routing.Upstream)
	// Unreachable says that no connection to the upstream could be made.
	Unreachable(upstream *routing.Upstream)
	// Broke says that an exchange with the upstream broke off while it ran a request.
	Broke(upstream *routing.Upstream, fingerprint uint64)
	// Placed says that a prompt was sent to an engine, which will hold its shared prefix;
	// uncached tokens of it are to be read.
	Placed(upstream *routing.Upstream, shared SharedPrefix, uncached int)
	// Noticed says that an upstream's answer told news of the upstream itself.
	Noticed(upstream *routing.Upstream, notice pacing.Notice)
	// Ran says that a request of a workspace has begun to run.
	Ran(workspace string)
}
