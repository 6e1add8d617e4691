package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// explanations are what the refused parts explain.
type explanations struct {
	// ranks are the highest ranks of the refused parts that each upstream ran when it crashed.
	ranks map[string]int
	// crashes are the times of all crashes, in order; nil until they are needed.
	crashes []time.Time
}

// explanations returns what the parts that are refused now explain.
func (a *Attribution) explanations() *explanations {
	e := &explanations{ranks: map[string]int{}}
	for _, suspect := range a.suspects {
		if suspect.Position == 0 || suspect.RefusedAt.IsZero() {
			continue
		}
		for _, upstream := range suspect.Upstreams {
			e.ranks[upstream] = max(e.ranks[upstream], suspect.rank())
		}
	}
	return e
}

// explain reports whether refused parts explain the crash of an upstream for a suspect: those of its rank
// or a higher one, or of a higher one only if it is refused itself.
func (e *explanations) explain(upstream string, suspect *Suspect) bool {
	rank, known := e.ranks[upstream]
	order := cmp.Compare(rank, suspect.rank())
	return known && (order > 0 || order == 0 && suspect.RefusedAt.IsZero())
}

// unexplainedCrashes returns the times, in order, of the crashes since the trait's last success that no
// refused part explains.
func (a *Attribution) unexplainedCrashes(suspect *Suspect, e *explanations) []time.Time {
	var times []time.Time
	for _, upstream := range suspect.Upstreams {
		if at := a.crashes[upstream]; at.After(suspect.ClearedAt) && !e.explain(upstream, suspect) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// apartInTime returns how many of the sorted times are apart from the one counted before.
func apartInTime(times []time.Time) int {
	count := 0
	var counted time.Time
	for _, at := range times {
		if count == 0 || at.Sub(counted) >= crashSpacing {
			count, counted = count+1, at
		}
	}
	return count
}

// isGroupOfCrashes reports whether the trait explains a group of crashes, however close in time, better
// than a fault of hosts does. If there are few of them, or requests with the part have succeeded before,
// only others must succeed now: when all upstreams end, nothing does.
func (a *Attribution) isGroupOfCrashes(suspect *Suspect, times []time.Time, e *explanations, now time.Time) bool {
	required := partCrashes
	switch {
	case suspect.Position == 0:
		required = requestCrashes
	case !suspect.ClearedAt.IsZero():
		required = groupCrashes
	}
	if len(times) < required || a.isFaultOfHosts(suspect, e) {
		return false
	}
	// Peers tell of successes and of other upstreams that crashed within the spacing.
	isComplete := len(times) >= groupCrashes && now.Sub(times[groupCrashes-1]) >= crashSpacing
	if suspect.Position == 0 || isComplete && suspect.ClearedAt.IsZero() {
		return true
	}
	othersSucceed := a.successes.LastPart().Sub(times[required-1]) > crashSpacing
	return now.Sub(suspect.ClearedAt) >= provenSilence && othersSucceed
}

// isFaultOfHosts reports whether at least half as many upstreams as crashed since the last success under
// requests with the trait crashed at nearly the same times under others. It does not depend on what is
// refused, so that a trait that is freed is not refused again in the same decision.
func (a *Attribution) isFaultOfHosts(suspect *Suspect, e *explanations) bool {
	times := a.unexplainedCrashes(suspect, &explanations{})
	return 2*a.bystanders(suspect, times, e) >= max(1, len(times))
}

// bystanders returns the number of upstreams that crashed at nearly the same time as those of the suspect,
// and ran no request with its trait.
func (a *Attribution) bystanders(suspect *Suspect, times []time.Time, e *explanations) int {
	if e.crashes == nil {
		e.crashes = make([]time.Time, 0, len(a.crashes))
		for _, at := range a.crashes {
			e.crashes = append(e.crashes, at)
		}
		slices.SortFunc(e.crashes, time.Time.Compare)
	}
	var own []time.Time
	for _, upstream := range suspect.Upstreams {
		if at, known := a.crashes[upstream]; known {
			own = append(own, at)
		}
	}
	slices.SortFunc(own, time.Time.Compare)
	count := 0
	var counted time.Time
	for _, at := range times {
		from := at.Add(-crashSpacing)
		if from.Before(counted) {
			from = counted
		}
		counted = at.Add(crashSpacing)
		count += countBetween(e.crashes, from, counted) - countBetween(own, from, counted)
	}
	return count
}

// countBetween returns how many of the sorted times are not before one time and before another.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return max(0, last-first)
}
