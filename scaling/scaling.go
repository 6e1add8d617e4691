// Package scaling decides how many engines of each class are wanted in each data
// centre. Reclaimable engines are a fraction of the price but go all at once in a data
// centre, so that a spread of them over all data centres carries the load and engines on
// demand stand in only until those serve. It is pure.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
)

// Order is a number of engines of one class in a data centre.
type Order struct {
	// Service and DataCentre of the engines.
	Service, DataCentre string
	// Reclaimable names the class.
	Reclaimable bool
	// Count that is wanted.
	Count int
}

// EngineCounts counts the engines of a service that serve in a data centre.
type EngineCounts struct {
	// OnDemand and Reclaimable engines that are not leaving.
	OnDemand, Reclaimable int
}

// Policy holds the figures of the decision.
type Policy struct {
	// MinPerDataCentre reclaimable engines wanted in each data centre, and MinShare the same as a
	// part of the service's bound: engines that are ordered when the load comes are late.
	MinPerDataCentre int
	MinShare         float64
	// PendingPerEngine is the number of requests waiting for their first token that an
	// engine should have at most, on average.
	PendingPerEngine float64
	// FallbackShare is the part of the wanted reclaimable engines below which engines on
	// demand make up for those that are not to be had: more are wanted than the load needs,
	// since they are cheap.
	FallbackShare float64
	// LoadedFallbackShare is the same while the load needs that many: where one data centre is dry the
	// next may be reclaimed before engines on demand have started.
	LoadedFallbackShare float64
	// ReadyShare of the reclaimable engines that must serve before engines on demand go.
	ReadyShare float64
}

// DefaultPolicy orders engines on demand only where no reclaimable ones are to be had. Operators
// bound a service at about twice what its usual load needs.
func DefaultPolicy() Policy {
	return Policy{MinPerDataCentre: 6, MinShare: 0.5, PendingPerEngine: 0.5, FallbackShare: 0.5, LoadedFallbackShare: 0.75, ReadyShare: 0.6}
}

const (
	// demandRise and demandFall are the time constants of Demand: an order must come
	// before a rising load has queued, and a stop cuts long answers off.
	demandRise = 2 * time.Second
	demandFall = 60 * time.Second
)

// Demand follows the number of requests of a service that wait for their first token.
// It rises fast and falls slowly.
type Demand struct {
	mean, peak float64
	at         time.Time
}

// Observe takes the number that wait now.
func (d *Demand) Observe(due float64, now time.Time) {
	if d.at.IsZero() {
		d.at = now
		return
	}
	elapsed := now.Sub(d.at).Seconds()
	if elapsed <= 0 {
		return
	}
	d.at = now
	d.mean += (due - d.mean) * (1 - math.Exp(-elapsed/demandRise.Seconds()))
	d.peak = max(d.mean, d.peak*math.Exp(-elapsed/demandFall.Seconds()))
}

// Peak returns the highest mean of late.
func (d *Demand) Peak() float64 { return d.peak }

// Plan returns the orders for a service, given its engines by data centre, the data
// centres in which no reclaimable engine is to be had, and the demand. The other data
// centres do not make up for those: engines crowded into one of them would go all at once.
func Plan(policy Policy, service *catalog.Service, engines map[string]EngineCounts, dry map[string]bool, demand *Demand) []Order {
	scaling := service.Scaling
	if scaling == nil || len(scaling.Prices) == 0 {
		return nil
	}
	centres := byPrice(scaling.Prices)
	wanted := int(math.Ceil(demand.Peak() / policy.PendingPerEngine / float64(len(centres))))
	least := max(policy.MinPerDataCentre, int(policy.MinShare*float64(scaling.Max)), scaling.Min)
	reclaimable := min(max(wanted, least), scaling.Max)
	all := float64(reclaimable * len(centres))
	enough := min(max(policy.FallbackShare*all, demand.Peak()/policy.PendingPerEngine), policy.LoadedFallbackShare*all)
	missing := int(math.Ceil(enough))
	for _, centre := range centres {
		if dry[centre] {
			missing -= min(engines[centre].Reclaimable, reclaimable)
		} else {
			missing -= reclaimable
		}
	}
	missing = max(0, missing)
	// The bound on engines covers both classes, so that those on demand leave room for
	// only so many reclaimable ones.
	serving, room := 0, 0
	for _, centre := range centres {
		serving += min(engines[centre].Reclaimable, reclaimable)
		if dry[centre] {
			room += min(engines[centre].Reclaimable, reclaimable)
			continue
		}
		room += min(reclaimable, max(1, scaling.Max-engines[centre].OnDemand))
	}
	ready := serving > 0 && float64(serving) >= policy.ReadyShare*float64(room)
	var orders []Order
	for _, centre := range centres {
		// In a dry data centre the order is repeated, which tells when there are some again.
		orders = append(orders, Order{
			Service: service.Name, DataCentre: centre, Reclaimable: true, Count: reclaimable,
		})
		onDemand := min(missing, max(0, scaling.Max-engines[centre].Reclaimable))
		missing -= onDemand
		if onDemand > 0 || (ready && engines[centre].OnDemand > 0) {
			orders = append(orders, Order{Service: service.Name, DataCentre: centre, Count: onDemand})
		}
	}
	return orders
}

// byPrice returns the data centres, the cheapest first.
func byPrice(prices map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
}
