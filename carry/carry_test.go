package carry_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/carry"
	"github.com/persimmonline/persimmonline/routing"
)

var now = time.UnixMilli(1_700_000_000_000)

// world is an engine that leaves in two seconds with room for its runs elsewhere.
func world() (carry.Source, []carry.Destination) {
	source := carry.Source{LeavesAt: now.Add(2 * time.Second), Rate: 10_000, Version: "v1", DataCentre: "a"}
	return source, []carry.Destination{{ID: "near", Usable: true, Version: "v1", DataCentre: "a", FreeSlots: 8, ReadRate: 10_000}}
}

func run(id string, tokens int) carry.Run {
	return carry.Run{ID: id, Tokens: tokens, Unread: tokens, Deadline: now.Add(time.Minute)}
}

func ids(moves []carry.Move) []string {
	var ids []string
	for _, move := range moves {
		ids = append(ids, move.Run)
	}
	return ids
}

func TestRunsThatMayNotBeResumedMoveFirstThenTheLongest(t *testing.T) {
	source, room := world()
	resumable := run("resumable", 3000)
	resumable.Resumable, resumable.Unread = true, 9000
	moves := carry.Plan(source, []carry.Run{resumable, run("short", 100), run("long", 2000)}, room, now)
	require.Equal(t, []string{"long", "short", "resumable"}, ids(moves))
	total := moves[0].Took + moves[1].Took + moves[2].Took
	require.True(t, moves[0].BeginAt.After(now))
	require.True(t, moves[0].BeginAt.Add(total).Before(source.LeavesAt), "the last move ends before the engine")
}

func TestRunsThatStay(t *testing.T) {
	for name, edit := range map[string]func(run *carry.Run, to *carry.Destination){
		"ends in time":            func(run *carry.Run, _ *carry.Destination) { run.EndsAt = now.Add(time.Second) },
		"read again sooner":       func(run *carry.Run, _ *carry.Destination) { run.Resumable, run.Unread = true, 1500 },
		"move would end late":     func(run *carry.Run, _ *carry.Destination) { run.Tokens = 25_000 },
		"caller leaves sooner":    func(run *carry.Run, _ *carry.Destination) { run.Deadline = now.Add(50 * time.Millisecond) },
		"destination had it":      func(run *carry.Run, _ *carry.Destination) { run.Excluded = map[string]bool{"near": true} },
		"other side of a rollout": func(run *carry.Run, _ *carry.Destination) { run.Generation = routing.NewGeneration },
		"destination leaves":      func(_ *carry.Run, to *carry.Destination) { to.Usable = false },
		"destination has v2":      func(_ *carry.Run, to *carry.Destination) { to.Version = "v2" },
		"destination is full":     func(_ *carry.Run, to *carry.Destination) { to.FreeSlots = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			source, room := world()
			room[0].Generation = routing.OldGeneration
			r := run("r", 1000)
			require.Len(t, carry.Plan(source, []carry.Run{r}, room, now), 1)
			edit(&r, &room[0])
			require.Empty(t, carry.Plan(source, []carry.Run{r}, room, now))
		})
	}
}

func TestRoomIsUsedOnce(t *testing.T) {
	source, room := world()
	room[0].FreeSlots = 1
	room = append(room, carry.Destination{ID: "far", Usable: true, Version: "v1", DataCentre: "b", FreeSlots: 1})
	moves := carry.Plan(source, []carry.Run{run("x", 300), run("y", 200), run("z", 100)}, room, now)
	require.Equal(t, []string{"x", "y"}, ids(moves))
	require.NotEqual(t, moves[0].Destination, moves[1].Destination)
}

// All nodes once chose the only engine that was left in the data centre.
func TestRunsAreSpread(t *testing.T) {
	source, room := world()
	for i := range 9 {
		room = append(room, carry.Destination{ID: strconv.Itoa(i), Usable: true, Version: "v1", DataCentre: "b", FreeSlots: 8})
	}
	near := 0
	for i := range 100 {
		if carry.Plan(source, []carry.Run{run(strconv.Itoa(i), 100)}, room, now)[0].Destination == "near" {
			near++
		}
	}
	require.InDelta(t, 19, near, 10)
}

func TestMovesThatAreDueAtOnceAreBounded(t *testing.T) {
	source, room := world()
	source.LeavesAt = now.Add(400 * time.Millisecond)
	source.Moving = []int{100, 100, 100}
	moves := carry.Plan(source, []carry.Run{run("x", 300), run("y", 200)}, room, now)
	require.Equal(t, []string{"x"}, ids(moves))
	require.Equal(t, now, moves[0].BeginAt)
}
