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

// leaseGuards are the parts of the lease protocol that a mutation takes out.
type leaseGuards struct {
	// margin: the holder's right ends before the lease can have lapsed for others.
	margin bool
	// previous: a claim is void if a record lies between what its writer read and it.
	previous bool
	// quiet: a reader waits a whole life from when it read.
	quiet bool
}

// leaseWorld replays one sequence of steps with the real code.
type leaseWorld struct {
	guards  leaseGuards
	now     time.Time
	log     []api.LeaseRecord
	flying  []api.LeaseRecord
	holders [nodes]*lease.Holder
	read    [nodes]int
	ids     int
}

func newLeaseWorld(g leaseGuards) *leaseWorld {
	w := &leaseWorld{guards: g, now: time.Unix(1000, 0)}
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

func (w *leaseWorld) id() string {
	w.ids++
	return strconv.Itoa(w.ids)
}

func noWait(time.Duration) time.Duration { return 0 }

// steps of a lease world: plan and read by each node, the first or last append lands
// or is lost, time goes on.
const leaseSteps = 2*nodes + 4

// step does one step; false means that it changes nothing.
func (w *leaseWorld) step(which int) bool {
	switch {
	case which < nodes:
		planned := w.holders[which].Plan(w.now, w.id, noWait)
		w.flying = append(w.flying, planned...)
		return len(planned) > 0
	case which < 2*nodes:
		return w.readNext(which - nodes)
	case which == 2*nodes:
		w.now = w.now.Add(leaseTick)
		return true
	case len(w.flying) == 0:
		return false
	case which == 2*nodes+1:
		w.log = append(w.log, w.flying[0])
		w.flying = slices.Delete(w.flying, 0, 1)
	case which == 2*nodes+2:
		w.log = append(w.log, w.flying[len(w.flying)-1])
		w.flying = w.flying[:len(w.flying)-1]
	default:
		w.flying = slices.Delete(w.flying, 0, 1)
	}
	return true
}

func (w *leaseWorld) readNext(node int) bool {
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
	if !w.guards.quiet {
		readAt = time.Unix(0, 0)
	}
	w.holders[node].Apply(int64(offset), record, readAt)
	return true
}

// harm says whether two nodes act on the duty at once.
func (w *leaseWorld) harm() bool {
	acting := 0
	for _, holder := range w.holders {
		if _, ok := holder.Held(w.now)[duty]; ok {
			acting++
		}
	}
	return acting > 1
}

// exploreLeases runs every sequence of steps up to a depth and says whether harm was
// found, and how many sequences there were.
func exploreLeases(g leaseGuards, depth int) (bool, int) {
	count := 0
	var extend func(path []int) bool
	extend = func(path []int) bool {
		for which := range leaseSteps {
			w := newLeaseWorld(g)
			for _, earlier := range path {
				w.step(earlier)
			}
			if !w.step(which) {
				continue
			}
			count++
			if w.harm() {
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
	harm, sequences := exploreLeases(leaseGuards{margin: true, previous: true, quiet: true}, 9)
	require.False(t, harm)
	t.Logf("%d sequences", sequences)
}

func TestLeaseMutationsAreCaught(t *testing.T) {
	t.Parallel()
	mutations := map[string]leaseGuards{
		"holder acts past its lease":       {previous: true, quiet: true},
		"claim ignores what came between":  {margin: true, quiet: true},
		"reader does not wait for a lapse": {margin: true, previous: true},
	}
	for name, g := range mutations {
		t.Run(name, func(t *testing.T) {
			harm, _ := exploreLeases(g, 11)
			require.True(t, harm)
		})
	}
}
