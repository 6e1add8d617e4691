package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	bounds = idempotency.Bounds{Entries: 100, OutcomeBytes: 1000}
)

// stream is a log stream whose first records may be trimmed.
type stream struct {
	records []api.Record
}

func (s *stream) add(records ...api.Record) { s.records = append(s.records, records...) }

// tableFrom returns the table of a reader that starts after the records below from were trimmed.
func (s *stream) tableFrom(from int, b idempotency.Bounds) *idempotency.Table {
	t := idempotency.NewTable(b)
	t.ApplyOldest(int64(from), start.Add(time.Duration(from)*time.Minute))
	for offset := from; offset < len(s.records); offset++ {
		t.Apply(int64(offset), start.Add(time.Duration(offset)*time.Minute).UnixMilli(), s.records[offset], start)
	}
	return t
}

func claim(key, attempt string) api.Claim {
	return api.Claim{Workspace: "w", Key: key, Fingerprint: "f", Attempt: attempt}
}

func claimed(key, attempt string) api.Record {
	c := claim(key, attempt)
	return api.Record{Claim: &c}
}

func outcome(key, attempt string, size int) api.Record {
	return api.Record{Outcome: &api.Outcome{
		Workspace: "w", Key: key, Attempt: attempt, Status: 201, Kept: true, Body: make([]byte, size),
	}}
}

func verdict(t *idempotency.Table, key string) idempotency.Verdict {
	return t.Decide(claim(key, "new"), start, time.Minute).Verdict
}

func TestReaderAfterATrimRunsNoOldKey(t *testing.T) {
	s := &stream{}
	s.add(claimed("old", "1"), outcome("old", "1", 1), claimed("young", "2"))
	table := s.tableFrom(2, bounds)
	require.Equal(t, idempotency.PossiblyUsed, verdict(table, "old"))
	require.Equal(t, idempotency.PossiblyUsed, table.Decide(claim("young", "2"), start, time.Minute).Verdict,
		"the claim that won in this table may not be the first")
}

func TestKeyWithATimeRunsAfterATrim(t *testing.T) {
	s := &stream{}
	s.add(claimed("x", "1"), claimed("y", "2"))
	table := s.tableFrom(1, bounds)
	require.Equal(t, idempotency.Claim, verdict(table, timedKey(start.Add(time.Hour))))
	require.Equal(t, idempotency.PossiblyUsed, verdict(table, timedKey(start.Add(-time.Hour))))
	require.NotEmpty(t, idempotency.CheckKey(timedKey(start.Add(time.Hour)), start), "a time in the future is refused")
}

// timedKey returns a UUID of version 7 for a time.
func timedKey(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func TestCheckpointCarriesClaimsOverATrim(t *testing.T) {
	s := &stream{}
	for i := range 1200 {
		s.add(claimed(fmt.Sprint("key-", i), fmt.Sprint(i)))
	}
	s.add(outcome("key-7", "7", 1))
	wide := idempotency.Bounds{Entries: 5000, OutcomeBytes: 1000}
	records := s.tableFrom(0, wide).Checkpoint("c")
	require.Len(t, records, 3)
	trimmed := len(s.records)
	s.add(claimed("late", "late"))
	s.add(records...)
	table := s.tableFrom(trimmed, wide)
	require.True(t, table.Complete())
	require.Equal(t, idempotency.Unknown, verdict(table, "key-7"))
	require.Equal(t, idempotency.Wait, verdict(table, "key-8"))
	require.Equal(t, idempotency.Claim, verdict(table, "fresh"))
	require.False(t, s.tableFrom(trimmed+1, wide).Complete(), "a record after the end of the checkpoint was missed")
	require.Empty(t, s.tableFrom(trimmed+1, wide).Checkpoint("d"), "a checkpoint does not hide a gap")
}

func TestFullTableForgetsOnlySafely(t *testing.T) {
	s := &stream{}
	for i := range 150 {
		s.add(claimed(fmt.Sprint("key-", i), fmt.Sprint(i)))
	}
	table := s.tableFrom(0, bounds)
	require.Equal(t, 100, table.Len())
	require.Equal(t, idempotency.PossiblyUsed, verdict(table, "key-0"))
	require.Equal(t, idempotency.Wait, verdict(table, "key-149"))
}

func TestOnlyTheWinnersReleaseAndOutcomeCount(t *testing.T) {
	release := func(attempt string) api.Record {
		return api.Record{Release: &api.Release{Workspace: "w", Key: "k", Attempt: attempt}}
	}
	s := &stream{}
	s.add(claimed("k", "1"), claimed("k", "2"), release("2"), outcome("k", "2", 1))
	require.Equal(t, idempotency.Wait, verdict(s.tableFrom(0, bounds), "k"))
	s.add(release("1"), claimed("k", "3"), release("1"))
	require.Equal(t, idempotency.Send, s.tableFrom(0, bounds).Decide(claim("k", "3"), start, time.Minute).Verdict)
	s.add(outcome("k", "3", 1), release("3"))
	require.Equal(t, idempotency.Replay, verdict(s.tableFrom(0, bounds), "k"))
}

func TestAnswersAreBounded(t *testing.T) {
	s := &stream{}
	for i := range 5 {
		key := fmt.Sprint(i)
		s.add(claimed(key, key), outcome(key, key, 400))
	}
	table := s.tableFrom(0, bounds)
	require.Equal(t, idempotency.Unknown, verdict(table, "0"))
	require.Equal(t, idempotency.Replay, verdict(table, "4"))
}

func TestWinnerThatTakesTooLongIsUnknown(t *testing.T) {
	s := &stream{}
	s.add(claimed("k", "1"))
	table := s.tableFrom(0, bounds)
	require.Equal(t, idempotency.Wait, verdict(table, "k"))
	require.Equal(t, idempotency.Unknown, table.Decide(claim("k", "2"), start.Add(2*time.Minute), time.Minute).Verdict)
}

func TestGapInTheMiddleDoubtsReleases(t *testing.T) {
	s := &stream{}
	s.add(claimed("k", "1"), api.Record{Release: &api.Release{Workspace: "w", Key: "k", Attempt: "1"}})
	table := s.tableFrom(0, bounds)
	require.Equal(t, idempotency.Claim, verdict(table, "k"))
	table.ApplyOldest(10, start)
	require.Equal(t, idempotency.PossiblyUsed, verdict(table, "k"))
}

func FuzzParseOperation(f *testing.F) {
	key := []byte("0123456789abcdef")
	good := idempotency.NewOperation(idempotency.Holder{Node: "n", Incarnation: "i"}, "w", uuid.Must(uuid.NewV7()), key)
	f.Add(good.ID, "w")
	f.Add("op_n.i.x.y", "w")
	f.Add("op_....", "")
	f.Fuzz(func(t *testing.T, id, workspace string) {
		parsed, err := idempotency.ParseOperation(id, workspace, key)
		if err == nil {
			require.Equal(t, good.ID, parsed.ID)
			require.Equal(t, "w", workspace)
		}
	})
}

func TestAttemptIsSentOnceOrReleased(t *testing.T) {
	a := idempotency.NewAttempts()
	require.False(t, a.TrySend("never begun"))
	a.Begin("1")
	require.True(t, a.TrySend("1"))
	require.False(t, a.TrySend("1"))
	a.Abandon("1")
	require.False(t, a.ObserveClaim("1", true), "a sent attempt is not released")
	a.Begin("2")
	a.Abandon("2")
	require.False(t, a.TrySend("2"))
	require.True(t, a.ObserveClaim("2", true))
	require.False(t, a.ObserveClaim("2", true), "released once")
	a.Abandon("never begun")
	a.Forget("1")
	require.Zero(t, a.Len())
}
