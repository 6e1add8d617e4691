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
	s := &leaseSystem{guards: g, now: time.Unix(1000, 0)}
	timing := lease.DefaultTiming()
	timing.TTL, timing.RenewInterval = 4*leaseTick, 2*leaseTick
	if !g.margin {
		timing.Margin = -2 * timing.TTL
	}
	for i := range s.holders {
		s.holders[i] = lease.NewHolder("node-"+strconv.Itoa(i), "1", timing, duty)
	}
	return s
}

func (s *leaseSystem) id() string {
	s.ids++
	return strconv.Itoa(s.ids)
}

func noWait(time.Duration) time.Duration { return 0 }

// leaseStepKinds is the number of kinds of steps: each node plans or reads, time advances, the
// first or the last append in flight is stored, the first is lost.
const leaseStepKinds = 2*nodes + 4

// step executes one step and reports whether it changed anything.
func (s *leaseSystem) step(kind int) bool {
	switch {
	case kind < nodes:
		planned := s.holders[kind].Plan(s.now, s.id, noWait)
		s.inFlight = append(s.inFlight, planned...)
		return len(planned) > 0
	case kind < 2*nodes:
		return s.readNext(kind - nodes)
	case kind == 2*nodes:
		s.now = s.now.Add(leaseTick)
		return true
	case len(s.inFlight) == 0:
		return false
	case kind == 2*nodes+1:
		s.log = append(s.log, s.inFlight[0])
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	case kind == 2*nodes+2:
		s.log = append(s.log, s.inFlight[len(s.inFlight)-1])
		s.inFlight = s.inFlight[:len(s.inFlight)-1]
	default:
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	}
	return true
}

func (s *leaseSystem) readNext(node int) bool {
	if s.read[node] == len(s.log) {
		return false
	}
	offset := s.read[node]
	s.read[node]++
	record := s.log[offset]
	if !s.guards.previous && record.Fence == lease.NoOffset {
		record.Previous = int64(offset)
	}
	readAt := s.now
	if !s.guards.waitTTL {
		readAt = time.Unix(0, 0)
	}
	s.holders[node].Apply(int64(offset), record, readAt)
	return true
}

// hasConflict reports whether two nodes hold the duty at the same time.
func (s *leaseSystem) hasConflict() bool {
	acting := 0
	for _, holder := range s.holders {
		if _, ok := holder.Held(s.now)[duty]; ok {
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
		for kind := range leaseStepKinds {
			s := newLeaseSystem(g)
			for _, earlier := range path {
				s.step(earlier)
			}
			if !s.step(kind) {
				continue
			}
			count++
			if s.hasConflict() {
				return true
			}
			if len(path)+1 < depth && extend(append(slices.Clone(path), kind)) {
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
