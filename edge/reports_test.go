package edge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/lease"
)

// Guards against a report with counts of which it is not known whether they were reported.
func TestOnlyKnownReportsOutliveARestore(t *testing.T) {
	counts := func(n int64) map[string]int64 { return map[string]int64{"w": n} }
	e := New(settings(t, "n1", "127.0.0.1:1"), zerolog.Nop())
	e.control.duties.eraSeenAt = e.clock.monotonic()
	began := e.usage.Window(e.clock.now())
	memory := []api.UsageReport{{Window: began - 3, Counts: counts(3)}, {Window: began - 2, Counts: counts(2)}}
	stored := []api.UsageReport{{Window: began - 4, Counts: counts(4)}, {Window: began - 3, Counts: counts(9)}}
	for name, test := range map[string]struct {
		complete, resumed bool
		stored            api.FixedUsage
		want              []api.UsageReport
		firstOpen         int64
	}{
		"record of this era":                  {stored: api.FixedUsage{Era: 5, Reports: stored}, want: stored},
		"record of this era, and a memory":    {complete: true, resumed: true, stored: api.FixedUsage{Era: 5, Reports: stored}, want: stored},
		"record of an earlier era":            {stored: api.FixedUsage{Era: 4, Reports: stored}, firstOpen: began},
		"record of a build without eras":      {stored: api.FixedUsage{Reports: stored}, firstOpen: began},
		"no record":                           {firstOpen: began},
		"another node may have held the duty": {complete: true, stored: api.FixedUsage{Era: 4, Reports: stored}, firstOpen: began},
		"the only holder all the while": {
			complete: true, resumed: true, stored: api.FixedUsage{Era: 4, Reports: stored},
			want: []api.UsageReport{stored[0], memory[0], memory[1]},
		},
		"the only holder, which had not read": {resumed: true, stored: api.FixedUsage{Era: 4, Reports: stored}, firstOpen: began},
		"a report of the window that is open": {
			stored:    api.FixedUsage{Era: 4, Reports: []api.UsageReport{{Window: began}}},
			firstOpen: began + 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReports(e, e.control)
			r.fixed, r.complete = memory, test.complete
			r.start(lease.Grant{Fence: 7, Resumed: test.resumed})
			r.adopt(test.stored, 5, 9)
			require.Equal(t, test.want, r.fixed)
			require.Equal(t, test.firstOpen, r.firstOpen)
			require.True(t, r.complete, "from now on")
		})
	}
}

// Guards against a start of an era that each holder takes for later: windows that had not ended would be left out.
func TestBeginOfAnEraOutlivesTheNodes(t *testing.T) {
	e := New(settings(t, "n1", "127.0.0.1:1"), zerolog.Nop())
	d, now := e.control.duties, e.clock.monotonic()
	require.Zero(t, d.eraBegan())
	d.enterEra(4, now)
	seen := now.Add(-time.Minute)
	for era, want := range map[int64]time.Time{3: now, 4: seen} {
		d.eraSeenAt = now
		d.observeEraSeen(&api.EdgeLease{Record: api.LeaseRecord{Era: era}, EraSeenMS: e.clock.now().Add(-time.Minute).UnixMilli()}, now)
		require.WithinDuration(t, want, d.eraBegan(), time.Second, "record of era %d", era)
	}
}
