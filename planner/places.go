package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// initialBackoff is the wait after the first refused start in a place; it doubles with
	// each further one.
	initialBackoff = 2 * time.Second
	// maxBackoff bounds the wait after refused starts.
	maxBackoff = 2 * time.Minute
	// reclaimBackoff is how long a place is avoided after a reclaim there: reclaims come
	// in waves.
	reclaimBackoff = time.Minute
	// waveShare is the share of a data centre's hosts reclaimed at once from which the
	// whole data centre is avoided.
	waveShare = 0.5
	// reclaimCostHours is the cost of one reclaim, in hours of the host's price.
	reclaimCostHours = 0.5
)

// Reasons for avoiding a place.
const (
	reasonRefused   = "refused"
	reasonReclaimed = "reclaimed"
)

// place is a machine class in a data centre.
type place struct {
	class      string
	dataCentre string
}

// avoidance is the backoff of a place; no host is started there before it ends.
type avoidance struct {
	reason  string
	refused int
	until   time.Time
}

// RecordRefused records a refused start: its place is avoided, with exponential backoff.
func (p *Planner) RecordRefused(start Start, now time.Time) {
	where := place{start.Request.MachineClass, start.Request.DataCentre}
	known, ok := p.avoidances[where]
	if !ok {
		known = &avoidance{}
		p.avoidances[where] = known
	}
	wait := min(maxBackoff, initialBackoff<<min(known.refused, 10))
	known.refused++
	known.reason = reasonRefused
	known.until = later(known.until, now.Add(wait))
}

// recordReclaims avoids the places where hosts are being reclaimed, and all places of a
// data centre that loses at least waveShare of its hosts, and more than one, at once.
func (p *Planner) recordReclaims(in Input) {
	present := map[string]int{}
	reclaimed := map[string]int{}
	for _, host := range in.Hosts {
		present[host.DataCentre]++
		if host.State == api.CloudHostStateReclaiming {
			reclaimed[host.DataCentre]++
			p.avoidReclaimed(place{host.MachineClass, host.DataCentre}, in.Now)
		}
	}
	for centre, count := range reclaimed {
		if count < 2 || float64(count) < waveShare*float64(present[centre]) {
			continue
		}
		for class := range in.Config.MachineClasses {
			p.avoidReclaimed(place{class, centre}, in.Now)
		}
	}
}

func (p *Planner) avoidReclaimed(where place, now time.Time) {
	known, ok := p.avoidances[where]
	if !ok {
		known = &avoidance{reason: reasonReclaimed}
		p.avoidances[where] = known
	}
	known.until = later(known.until, now.Add(reclaimBackoff))
}

// isOpen reports whether a host may be started in a place now.
func (p *Planner) isOpen(where place, now time.Time) bool {
	known, ok := p.avoidances[where]
	return !ok || !now.Before(known.until)
}

// avoided returns the places that are avoided now, sorted by data centre and class.
func (p *Planner) avoided(now time.Time) []api.PlanPlace {
	list := []api.PlanPlace{}
	for where, known := range p.avoidances {
		if now.Before(known.until) {
			list = append(list, api.PlanPlace{
				MachineClass: where.class, DataCentre: where.dataCentre, Reason: known.reason,
				Refused: known.refused, UntilMS: known.until.UnixMilli(),
			})
		}
	}
	slices.SortFunc(list, func(a, b api.PlanPlace) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.MachineClass, b.MachineClass))
	})
	return list
}

// classPrice returns the hourly price of a class, including the cost of its reclaims.
func classPrice(class api.MachineClass) float64 {
	return class.PricePerHour * (1 + reclaimCostHours*class.ReclaimsPerHour)
}

// classesByPrice returns the classes of a group, the cheapest first.
func classesByPrice(config *api.Configuration, group api.HostGroup) []string {
	var classes []string
	for _, name := range group.MachineClasses {
		if _, ok := config.MachineClasses[name]; ok {
			classes = append(classes, name)
		}
	}
	slices.SortStableFunc(classes, func(a, b string) int {
		return cmp.Compare(classPrice(config.MachineClasses[a]), classPrice(config.MachineClasses[b]))
	})
	return classes
}

// dataCentres returns the data centres where hosts may run, sorted: those of the
// configuration, or those of the present hosts when it names none.
func dataCentres(in Input) []string {
	if len(in.Config.DataCentres) > 0 {
		return slices.Sorted(slices.Values(in.Config.DataCentres))
	}
	seen := map[string]bool{}
	for _, host := range in.Hosts {
		seen[host.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
