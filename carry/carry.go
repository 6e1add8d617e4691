// Package carry decides which runs are moved from an engine that leaves. It is pure: it does no I/O and has no
// clock.
package carry

// Load: an engine is taken away seconds after its notice, with runs that have not ended by then; a stream that
// may not be resumed would be lost, and others would read their prompt again.

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/routing"
)

const (
	// AtOnce bounds the moves of one node at one engine at a time.
	AtOnce = 4
	// margin is how long before the engine's end its last move should have ended.
	margin = 500 * time.Millisecond
	// overhead is the time of a move beside its transfer: the calls, and the first step at the destination.
	overhead = 20 * time.Millisecond
	// zoneFactor is how much longer a transfer between data centres takes.
	zoneFactor = 2
)

// Run is a stream in flight at the engine that leaves.
type Run struct {
	// ID of the request.
	ID string
	// Tokens that the engine holds for it.
	Tokens int
	// Resumable is set if another engine may run the request again, for which it reads Unread tokens.
	Resumable bool
	Unread    int
	// EndsAt is when it is expected to end by itself; zero if unknown.
	EndsAt time.Time
	// Deadline is when its caller gives up.
	Deadline time.Time
	// Excluded holds the ids of the engines that have had the request.
	Excluded map[string]bool
	// Generation is its side in a rollout, which its destination shares.
	Generation routing.Generation
}

// Source is the engine that leaves.
type Source struct {
	// LeavesAt is when it is expected to end.
	LeavesAt time.Time
	// Rate of transfers over its link, in tokens per second.
	Rate float64
	// Version of its software, and its data centre.
	Version, DataCentre string
	// Moving holds the tokens of the moves that are under way.
	Moving []int
}

// Destination is an engine that may take runs over.
type Destination struct {
	// ID of the engine.
	ID string
	// Usable is set if it gets new work: it is live, stays, and names no limit.
	Usable bool
	// Version of its software, and its data centre.
	Version, DataCentre string
	// Generation is its side in a rollout.
	Generation routing.Generation
	// FreeSlots is the number of runs that it can start at once.
	FreeSlots int
	// ReadRate is the rate at which it reads prompts, in tokens per second.
	ReadRate float64
}

// Move is the decision to move a run.
type Move struct {
	// Run and Destination are ids.
	Run, Destination string
	// Tokens to be moved.
	Tokens int
	// BeginAt is when the move must begin, with the run stopped first.
	BeginAt time.Time
	// Took is the expected time of the move.
	Took time.Duration
}

// Plan returns the moves in the order in which they begin, without those that are not needed or would not
// end in time. It includes no more than may begin before another one ends.
func Plan(source Source, runs []Run, destinations []Destination, now time.Time) []Move {
	room := usable(source, destinations)
	queued := time.Duration(0)
	for _, tokens := range source.Moving {
		queued += source.transfer(tokens, true)
	}
	var moves []Move
	total := queued
	for _, run := range order(runs) {
		if !source.mustMove(run, room) {
			continue
		}
		to := pick(room, source, run)
		if to == nil {
			continue
		}
		took := source.transfer(run.Tokens, to.DataCentre != source.DataCentre)
		end := now.Add(total + took + overhead)
		if end.After(source.LeavesAt) || end.After(run.Deadline) {
			continue
		}
		to.FreeSlots--
		moves = append(moves, Move{Run: run.ID, Destination: to.ID, Tokens: run.Tokens, BeginAt: now, Took: took + overhead})
		total += took + overhead/AtOnce
	}
	begin := source.LeavesAt.Add(-margin - overhead - total)
	for i := range moves {
		if begin.After(now) {
			moves[i].BeginAt = begin
		}
	}
	return moves[:min(len(moves), max(0, AtOnce-len(source.Moving)))]
}

// mustMove reports whether a run is lost or read again at greater cost if it stays.
func (s *Source) mustMove(run Run, room []Destination) bool {
	if !run.EndsAt.IsZero() && !run.EndsAt.After(s.LeavesAt) {
		return false
	}
	return !run.Resumable || s.transfer(run.Tokens, true)+overhead < readTime(run, room)
}

// readTime returns how long the fastest engine reads what it lacks of a prompt.
func readTime(run Run, room []Destination) time.Duration {
	rate := 0.0
	for i := range room {
		rate = max(rate, room[i].ReadRate)
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(run.Unread) / rate * float64(time.Second))
}

// transfer returns the time that tokens take on the link.
func (s *Source) transfer(tokens int, between bool) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	took := float64(tokens) / s.Rate
	if between {
		took *= zoneFactor
	}
	return time.Duration(took * float64(time.Second))
}

// order returns the runs that may not be resumed, the longest first, and then the others.
func order(runs []Run) []Run {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int {
		if a.Resumable != b.Resumable {
			if b.Resumable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	return sorted
}

// usable returns the engines that may take any run.
func usable(source Source, destinations []Destination) []Destination {
	return slices.DeleteFunc(slices.Clone(destinations), func(d Destination) bool {
		return !d.Usable || d.Version != source.Version || d.FreeSlots <= 0
	})
}

// pick returns the better of two engines with room that a hash draws, lest all nodes choose the same; nil if
// none has room.
func pick(room []Destination, source Source, run Run) *Destination {
	var able []*Destination
	for i := range room {
		candidate := &room[i]
		if candidate.FreeSlots > 0 && !run.Excluded[candidate.ID] && run.Generation.Includes(candidate.Generation) {
			able = append(able, candidate)
		}
	}
	if len(able) == 0 {
		return nil
	}
	hash, count := xxhash.Sum64String(run.ID), uint64(len(able))
	first, second := able[hash%count], able[(hash>>32)%count]
	if source.worth(second) > source.worth(first) {
		return second
	}
	return first
}

// worth returns the free slots of a destination; one in another data centre needs more of them.
func (s *Source) worth(to *Destination) int {
	if to.DataCentre == s.DataCentre {
		return zoneFactor * to.FreeSlots
	}
	return to.FreeSlots
}
