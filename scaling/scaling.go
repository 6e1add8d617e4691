// Package scaling decides how many engines of each class each data centre should have.
// Reclaimable engines cost a fraction of the on-demand price but are reclaimed all at once
// in a data centre. They are therefore spread over all data centres to carry the load, and
// on-demand engines only substitute for them until they serve. It is pure.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
)

// Order is the desired number of engines of one class in a data centre.
type Order struct {
	// Service and DataCentre of the engines.
	Service, DataCentre string
	// Reclaimable selects the class.
	Reclaimable bool
	// Count is the desired number.
	Count int
}

// EngineCounts counts the serving engines of a service in a data centre.
type EngineCounts struct {
	// OnDemand and Reclaimable engines that are not leaving.
	OnDemand, Reclaimable int
}

// Policy holds the parameters of the decision.
type Policy struct {
	// MinPerDataCentre is the minimum of reclaimable engines in each data centre, and
	// MinShare the same as a share of the service's bound: engines that are ordered only
	// once the load has risen start too late.
	MinPerDataCentre int
	MinShare         float64
	// PendingPerEngine is the highest average number of requests per engine that wait for
	// their first token.
	PendingPerEngine float64
	// FallbackShare is the share of the desired reclaimable engines below which on-demand
	// engines replace the unavailable ones. It is below 1 because more reclaimable engines
	// are desired than the load needs, since they are cheap.
	FallbackShare float64
	// LoadedFallbackShare is the same while the load needs that many: where one data centre
	// has no capacity the next may be reclaimed before on-demand engines have started.
	LoadedFallbackShare float64
	// ReadyShare is the share of the reclaimable engines that must serve before on-demand
	// engines are stopped.
	ReadyShare float64
}

// DefaultPolicy orders on-demand engines only where reclaimable ones are unavailable. It
// assumes that operators set a service's bound to about twice what its usual load needs.
func DefaultPolicy() Policy {
	return Policy{MinPerDataCentre: 6, MinShare: 0.5, PendingPerEngine: 0.5, FallbackShare: 0.5, LoadedFallbackShare: 0.75, ReadyShare: 0.6}
}

const (
	// demandRise and demandFall are the time constants of Demand: an order must be placed
	// before a rising load queues, and stopping an engine cuts off long answers.
	demandRise = 2 * time.Second
	demandFall = 60 * time.Second
)

// Demand is an EWMA of the number of requests of a service that wait for their first
// token, with a peak that decays slowly.
type Demand struct {
	mean, peak   float64
	lastObserved time.Time
}

// Observe records the number of requests that wait now.
func (d *Demand) Observe(pending float64, now time.Time) {
	if d.lastObserved.IsZero() {
		d.lastObserved = now
		return
	}
	elapsed := now.Sub(d.lastObserved).Seconds()
	if elapsed <= 0 {
		return
	}
	d.lastObserved = now
	d.mean += (pending - d.mean) * (1 - math.Exp(-elapsed/demandRise.Seconds()))
	d.peak = max(d.mean, d.peak*math.Exp(-elapsed/demandFall.Seconds()))
}

// Peak returns the decaying peak of the mean.
func (d *Demand) Peak() float64 { return d.peak }

// Plan returns the orders for a service, given its engines by data centre, the data
// centres in which no reclaimable engine is available, and the demand. The other data
// centres do not substitute for those: engines concentrated in one of them would be
// reclaimed all at once.
func Plan(policy Policy, service *catalog.Service, engines map[string]EngineCounts, exhausted map[string]bool, demand *Demand) []Order {
	scaling := service.Scaling
	if scaling == nil || len(scaling.Prices) == 0 {
		return nil
	}
	centres := byPrice(scaling.Prices)
	desired := int(math.Ceil(demand.Peak() / policy.PendingPerEngine / float64(len(centres))))
	minimum := max(policy.MinPerDataCentre, int(policy.MinShare*float64(scaling.Max)), scaling.Min)
	reclaimable := min(max(desired, minimum), scaling.Max)
	total := float64(reclaimable * len(centres))
	required := min(max(policy.FallbackShare*total, demand.Peak()/policy.PendingPerEngine), policy.LoadedFallbackShare*total)
	onDemandNeeded := int(math.Ceil(required))
	for _, centre := range centres {
		if exhausted[centre] {
			onDemandNeeded -= min(engines[centre].Reclaimable, reclaimable)
		} else {
			onDemandNeeded -= reclaimable
		}
	}
	onDemandNeeded = max(0, onDemandNeeded)
	// The bound on engines covers both classes, so on-demand engines limit the number of
	// reclaimable ones.
	serving, capacity := 0, 0
	for _, centre := range centres {
		serving += min(engines[centre].Reclaimable, reclaimable)
		if exhausted[centre] {
			capacity += min(engines[centre].Reclaimable, reclaimable)
			continue
		}
		capacity += min(reclaimable, max(1, scaling.Max-engines[centre].OnDemand))
	}
	ready := serving > 0 && float64(serving) >= policy.ReadyShare*float64(capacity)
	var orders []Order
	for _, centre := range centres {
		// In a data centre without capacity the order is repeated to detect when there is some.
		orders = append(orders, Order{
			Service: service.Name, DataCentre: centre, Reclaimable: true, Count: reclaimable,
		})
		onDemand := min(onDemandNeeded, max(0, scaling.Max-engines[centre].Reclaimable))
		onDemandNeeded -= onDemand
		if onDemand > 0 || (ready && engines[centre].OnDemand > 0) {
			orders = append(orders, Order{Service: service.Name, DataCentre: centre, Count: onDemand})
		}
	}
	return orders
}

// byPrice returns the data centres sorted by price, the cheapest first.
func byPrice(prices map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
}
