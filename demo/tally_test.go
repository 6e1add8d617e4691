package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/standin"
)

func TestTallyTellsWrongCutAndFalseRefusals(t *testing.T) {
	ledger := standin.NewLedger()
	ledger.RecordRun("POST /a x")
	ledger.RecordRun("POST /b y")
	counts := newTally()
	counts.add(outcome{kind: "k", complete: true, correct: true})
	counts.add(outcome{kind: "k", complete: true})
	counts.add(outcome{kind: "k"})
	counts.add(outcome{kind: "k", code: "draining", ran: "no", operation: "POST /a x"})
	counts.add(outcome{kind: "k", code: "draining", ran: "no", operation: "POST /b y"})
	counts.add(outcome{kind: "k", complete: true, correct: true, operation: "POST /b y"})
	counts.add(outcome{kind: "k", code: "draining", ran: "unknown", operation: "POST /c z"})
	report := counts.snapshot(ledger)
	require.EqualValues(t, 7, report.Sent)
	require.EqualValues(t, 2, report.Complete)
	require.EqualValues(t, 1, report.Wrong)
	require.EqualValues(t, 1, report.Truncated)
	require.EqualValues(t, 1, report.RanThoughRefused)
	require.EqualValues(t, 2, report.Refused["draining/no"])
}
