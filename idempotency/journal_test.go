package idempotency_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
)

var (
	first        = idempotency.Holder{Node: "node-1", Incarnation: "a"}
	second       = idempotency.Holder{Node: "node-2", Incarnation: "b"}
	journalBound = idempotency.JournalBounds{Entries: 3, AnswerBytes: 1000}
)

func issue() idempotency.Operation {
	return idempotency.NewOperation(first, "w", uuid.Must(uuid.NewV7()), []byte("key"))
}

func begin(j *idempotency.Journal, operation idempotency.Operation) idempotency.JournalVerdict {
	verdict, _ := j.Begin(operation, "f", time.Now())
	return verdict
}

func TestOperationRunsOnce(t *testing.T) {
	j := idempotency.NewJournal(first, journalBound)
	operation := issue()
	require.Equal(t, idempotency.JournalRun, begin(j, operation))
	require.Equal(t, idempotency.JournalRunning, begin(j, operation))
	j.RevertUnsent(operation.ID)
	require.Equal(t, idempotency.JournalRun, begin(j, operation))
	j.Finish(operation.ID, &api.ServiceAnswer{Status: 200})
	j.RevertUnsent(operation.ID)
	require.Equal(t, idempotency.JournalReplay, begin(j, operation))
	reused, _ := j.Begin(operation, "other", time.Now())
	require.Equal(t, idempotency.JournalKeyReused, reused)
	expired, _ := j.Begin(issue(), "f", time.Now().Add(idempotency.OperationLifetime+time.Minute))
	require.Equal(t, idempotency.JournalExpired, expired)
	require.Equal(t, idempotency.JournalNotHeld, begin(idempotency.NewJournal(second, journalBound), operation))
}

func TestFullJournalRunsNoForgottenOperation(t *testing.T) {
	j := idempotency.NewJournal(first, journalBound)
	oldest := issue()
	require.Equal(t, idempotency.JournalRun, begin(j, oldest))
	for range journalBound.Entries {
		time.Sleep(2 * time.Millisecond) // The ids have millisecond resolution.
		require.Equal(t, idempotency.JournalRun, begin(j, issue()))
	}
	require.Equal(t, idempotency.JournalExpired, begin(j, oldest))
}

func TestHandoverMovesTheRightToSend(t *testing.T) {
	from, to := idempotency.NewJournal(first, journalBound), idempotency.NewJournal(second, journalBound)
	third := idempotency.NewJournal(idempotency.Holder{Node: "node-3", Incarnation: "c"}, journalBound)
	done, running, unused := issue(), issue(), issue()
	begin(from, done)
	from.Finish(done.ID, &api.ServiceAnswer{Status: 200})
	begin(from, running)
	parts := from.Seal()
	require.Len(t, parts, 1)
	require.Equal(t, idempotency.JournalSealed, begin(from, unused), "a sealed journal sends nothing")
	parts[0].Successor, parts[0].SuccessorIncarnation = second.Node, second.Incarnation
	require.True(t, to.Adopt(parts[0]))
	require.True(t, to.Adopt(parts[0]), "a repeat is harmless")
	require.True(t, third.Adopt(parts[0]))
	require.Equal(t, second, third.HolderOf(unused))
	require.Equal(t, second, to.HolderOf(unused))
	require.Equal(t, idempotency.JournalReplay, begin(to, done))
	require.Equal(t, idempotency.JournalUnknown, begin(to, running))
	require.Equal(t, idempotency.JournalRun, begin(to, unused))
	back := api.OperationHandover{NodeID: "node-3", Incarnation: "c", Successor: first.Node, SuccessorIncarnation: first.Incarnation}
	require.False(t, from.Adopt(back), "a sealed journal adopts none")
	require.Len(t, to.Seal(), 2, "a chain of stops loses no operation")
}
