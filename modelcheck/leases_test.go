package modelcheck_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/lease"
)

const (
	duty      = "planner"
	leaseTick = 3 * time.Second
)

// leaseGuards are the safeguards of the lease protocol that a mutation can disable.
type leaseGuards struct {
	// margin: the holder's grant ends before the lease can have expired for others.
	margin bool
	// previous: a claim is void if a record lies between it and what its writer had read.
	previous bool
	// waitTTL: a reader waits a full TTL from when it read the record.
	waitTTL bool
}

// leaseSystem replays one sequence of steps with the production code.
type leaseSystem struct {
	guards   leaseGuards
	now      time.Time
	log      []api.LeaseRecord
	inFlight []api.LeaseRecord
	holders  [nodes]*lease.Holder
	read     [nodes]int
	ids      int
}

func newLeaseSystem(g leaseGuards) *leaseSystem {
	w := &leaseSystem{guards: g, now: time.Unix(1000, 0)}
	timing := lease.DefaultTiming()
	timing.TTL, timing.RenewInterval = 4*leaseTick, 2*leaseTick
	if !g.margin {
		timing.Margin = -2 * timing.TTL
	}
	for i := range w.holders {
		w.holders[i] = lease.NewHolder("node-"+strconv.Itoa(i), "1", timing, duty)
	}
	return w
}

func (w *leaseSystem) id() string {
	w.ids++
	return strconv.Itoa(w.ids)
}

func noWait(time.Duration) time.Duration { return 0 }

// leaseSteps is the number of kinds of steps: each node plans or reads, time advances, the
// first or the last append in flight is stored, the first is lost.
const leaseSteps = 2*nodes + 4

// step executes one step and reports whether it changed anything.
func (w *leaseSystem) step(which int) bool {
	switch {
	case which < nodes:
		planned := w.holders[which].Plan(w.now, w.id, noWait)
		w.inFlight = append(w.inFlight, planned...)
		return len(planned) > 0
	case which < 2*nodes:
		return w.readNext(which - nodes)
	case which == 2*nodes:
		w.now = w.now.Add(leaseTick)
		return true
	case len(w.inFlight) == 0:
		return false
	case which == 2*nodes+1:
		w.log = append(w.log, w.inFlight[0])
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	case which == 2*nodes+2:
		w.log = append(w.log, w.inFlight[len(w.inFlight)-1])
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
	default:
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
	return true
}

func (w *leaseSystem) readNext(node int) bool {
	if w.read[node] == len(w.log) {
		return false
	}
	offset := w.read[node]
	w.read[node]++
	record := w.log[offset]
	if !w.guards.previous && record.Fence == lease.NoOffset {
		record.Previous = int64(offset)
	}
	readAt := w.now
	if !w.guards.waitTTL {
		readAt = time.Unix(0, 0)
	}
	w.holders[node].Apply(int64(offset), record, readAt)
	return true
}

// hasConflict reports whether two nodes hold the duty at the same time.
func (w *leaseSystem) hasConflict() bool {
	acting := 0
	for _, holder := range w.holders {
		if _, ok := holder.Held(w.now)[duty]; ok {
			acting++
		}
	}
	return acting > 1
}

// exploreLeases runs every sequence of steps up to a depth, and reports whether two nodes
// held the duty at the same time and the number of sequences.
func exploreLeases(g leaseGuards, depth int) (bool, int) {
	count := 0
	var extend func(path []int) bool
	extend = func(path []int) bool {
		for which := range leaseSteps {
			w := newLeaseSystem(g)
			for _, earlier := range path {
				w.step(earlier)
			}
			if !w.step(which) {
				continue
			}
			count++
			if w.hasConflict() {
				return true
			}
			if len(path)+1 < depth && extend(append(slices.Clone(path), which)) {
				return true
			}
		}
		return false
	}
	return extend(nil), count
}

func TestLeasesExhaustive(t *testing.T) {
	t.Parallel()
	conflict, sequences := exploreLeases(leaseGuards{margin: true, previous: true, waitTTL: true}, 9)
	require.False(t, conflict)
	t.Logf("%d sequences", sequences)
}

func TestLeaseMutationsAreCaught(t *testing.T) {
	t.Parallel()
	mutations := map[string]leaseGuards{
		"holder acts past its lease":       {previous: true, waitTTL: true},
		"claim ignores what came between":  {margin: true, waitTTL: true},
		"reader does not wait for a lapse": {margin: true, previous: true},
	}
	for name, g := range mutations {
		t.Run(name, func(t *testing.T) {
			conflict, _ := exploreLeases(g, 11)
			require.True(t, conflict)
		})
	}
}
