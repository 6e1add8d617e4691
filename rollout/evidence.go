// Package rollout decides how a service's traffic moves to engines of a new version: how much
// the new version gets, whether it is bad, and when the move is complete. It is pure.
package rollout

// Load: hundreds of answers a second, counted at dozens of nodes that come, go and repeat
// themselves while one of them has to judge a new version within seconds.

// Side is one of the two versions between which traffic moves.
type Side int

// Sides of a rollout.
const (
	Old Side = iota
	New
)

// Counter is one of the numbers that a node counts for each side of a route.
type Counter int

// Counters. Answered counts the answers and the failures; Timed counts the answers whose time to the first
// event, or to the whole of a plain answer, was judged, Paced those whose pace after the first event was.
const (
	Sent Counter = iota
	Answered
	Failed
	Timed
	Slow
	Paced
	Stalled
	countersPerSide
)

// Tally holds the counters of a route: those of the old version, then those of the new one.
type Tally = []int64

// Routes are tallies by route.
type Routes = map[string]Tally

// Report holds tallies by order.
type Report = map[string]Routes

// NewTally returns a tally of zeros.
func NewTally() Tally { return make(Tally, 2*countersPerSide) }

// Add increments a counter.
func Add(tally Tally, side Side, counter Counter, count int64) {
	tally[int(side)*int(countersPerSide)+int(counter)] += count
}

// Get returns a counter; 0 for a tally from a node that counts less.
func Get(tally Tally, side Side, counter Counter) int64 {
	index := int(side)*int(countersPerSide) + int(counter)
	if index >= len(tally) {
		return 0
	}
	return tally[index]
}

// addTally adds the counters of a tally to a sum.
func addTally(sum, tally Tally) {
	for i, count := range tally {
		sum[i] += count
	}
}

// Evidence holds the counters of all nodes by incarnation. Counters only rise, so a report may
// arrive late or twice.
type Evidence struct {
	byIncarnation map[string]Report
}

// NewEvidence returns evidence without reports.
func NewEvidence() *Evidence { return &Evidence{byIncarnation: map[string]Report{}} }

// Merge applies the report of an incarnation; the higher of two counts wins.
func (e *Evidence) Merge(incarnation string, report Report) {
	known := e.byIncarnation[incarnation]
	if known == nil {
		known = Report{}
		e.byIncarnation[incarnation] = known
	}
	for order, routes := range report {
		if known[order] == nil {
			known[order] = Routes{}
		}
		for route, tally := range routes {
			if len(tally) != 2*int(countersPerSide) {
				continue
			}
			merged := known[order][route]
			if merged == nil {
				merged = NewTally()
				known[order][route] = merged
			}
			for i, count := range tally {
				merged[i] = max(merged[i], count)
			}
		}
	}
}

// Retain drops the reports about orders that are no longer in force.
func (e *Evidence) Retain(inForce func(order string) bool) {
	for incarnation, report := range e.byIncarnation {
		for order := range report {
			if !inForce(order) {
				delete(report, order)
			}
		}
		if len(report) == 0 {
			delete(e.byIncarnation, incarnation)
		}
	}
}

// All returns a copy of the reports of all incarnations.
func (e *Evidence) All() map[string]Report {
	all := make(map[string]Report, len(e.byIncarnation))
	for incarnation := range e.byIncarnation {
		all[incarnation] = e.Of(incarnation)
	}
	return all
}

// Of returns a copy of an incarnation's report.
func (e *Evidence) Of(incarnation string) Report {
	report := Report{}
	for order, routes := range e.byIncarnation[incarnation] {
		report[order] = CopyRoutes(routes)
	}
	return report
}

// CopyRoutes returns a deep copy.
func CopyRoutes(routes Routes) Routes {
	copied := make(Routes, len(routes))
	for route, tally := range routes {
		copied[route] = append(Tally(nil), tally...)
	}
	return copied
}

// Total returns the sums over all nodes for an order.
func (e *Evidence) Total(order string) Routes {
	total := Routes{}
	for _, report := range e.byIncarnation {
		for route, tally := range report[order] {
			if total[route] == nil {
				total[route] = NewTally()
			}
			addTally(total[route], tally)
		}
	}
	return total
}

// Sum returns a counter of one side over all routes.
func Sum(routes Routes, side Side, counter Counter) int64 {
	sum := int64(0)
	for _, tally := range routes {
		sum += Get(tally, side, counter)
	}
	return sum
}
