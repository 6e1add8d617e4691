package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func TestVerdicts(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	suspicion := func(s int, upstreams ...string) quarantine.Suspicion {
		return quarantine.Suspicion{Fingerprint: 1, Upstreams: upstreams, At: at(s)}
	}
	cases := []struct {
		name string
		do   func(*quarantine.Table)
		want quarantine.Verdict
	}{
		{"unknown", func(*quarantine.Table) {}, quarantine.Normal},
		{"one crash", func(q *quarantine.Table) { q.RecordCrash(1, "a/1", at(0)) }, quarantine.Isolated},
		{"one crash that two nodes saw", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.Merge(suspicion(1, "a/1"), at(1))
		}, quarantine.Isolated},
		{"two crashes", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.RecordCrash(1, "b/1", at(1))
		}, quarantine.Refuse},
		{"two crashes seen by two nodes", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.Merge(suspicion(1, "b/1"), at(1))
		}, quarantine.Refuse},
		{"cleared", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.RecordClearing(1, at(1))
		}, quarantine.Normal},
		{"old news after a clearing", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.RecordClearing(1, at(2))
			q.Merge(suspicion(0, "a/1"), at(3))
		}, quarantine.Normal},
		{"a clearing elsewhere", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.Merge(suspicion(1), at(2))
		}, quarantine.Normal},
		{"a crash after a clearing", func(q *quarantine.Table) {
			q.RecordCrash(1, "a/1", at(0))
			q.RecordClearing(1, at(1))
			q.RecordCrash(1, "b/1", at(2))
		}, quarantine.Isolated},
		{"news from long ago", func(q *quarantine.Table) {
			q.Merge(suspicion(-7200, "a/1", "b/1"), at(0))
		}, quarantine.Normal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := quarantine.NewTable()
			c.do(table)
			require.Equal(t, c.want, table.Verdict(1, at(10)))
		})
	}
}

func TestTableAndNewsAreBounded(t *testing.T) {
	table := quarantine.NewTable()
	for i := range 5000 {
		table.RecordCrash(uint64(i), "a/1", start.Add(time.Duration(i)*time.Millisecond))
	}
	newest := table.Newest()
	require.Len(t, newest, quarantine.MaxSuspicionsPerMessage)
	require.Equal(t, uint64(4999), newest[0].Fingerprint)
	require.Equal(t, quarantine.Normal, table.Verdict(0, start.Add(5*time.Second)))
}
