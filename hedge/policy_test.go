package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/hedge"
)

const (
	usual = 20 * time.Millisecond
	tail  = 400 * time.Millisecond
	free  = 0.1
)

var (
	class = hedge.ClassOf("s", true, 1000)
	idle  = hedge.Candidate{Forecast: usual, Load: free, Tokens: 100}
)

// busyNode returns the policy of a node that has served 200 requests in 20 s, of which some took long.
func busyNode(share float64, long int) (*hedge.Policy, time.Time) {
	p, now := hedge.NewPolicy(share), time.Unix(1_000_000, 0)
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		took := usual
		if long > 0 && i%(200/long) == 0 {
			took = tail
		}
		p.RecordRequest(class.Service, now)
		p.RecordArmed(class.Service, now)
		p.RecordWork(class.Service, took, 1000, now)
		p.RecordAnswer(class, took, now)
	}
	return p, now
}

func TestOnlyTheSlowestComeToTheirDelay(t *testing.T) {
	p, now := busyNode(0.03, 10)
	delay, ok := p.Delay(class, 0, 0, now)
	require.True(t, ok)
	require.InDelta(t, tail.Seconds(), delay.Seconds(), 0.05, "one in twenty is slow, more than the share allows")
	p, now = busyNode(0.03, 2)
	delay, ok = p.Delay(class, 0, 0, now)
	require.True(t, ok)
	require.InDelta(t, 2.5*usual.Seconds(), delay.Seconds(), 0.01)
	require.Empty(t, p.Decide(class, delay, idle, now))
}

func TestDelayGrowsWithTheForecastOfALongPrompt(t *testing.T) {
	p, now := busyNode(0.03, 2)
	delay, ok := p.Delay(class, time.Second, 0, now)
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, delay)
}

func TestANodeWithFewAnswersOfOneSizeGoesByAll(t *testing.T) {
	p, now := busyNode(0.03, 2)
	_, ok := p.Delay(hedge.ClassOf("s", true, 100_000), 0, 0, now)
	require.True(t, ok)
}

func TestNoSecondAttemptWhileHalfOfTheTargetIsLeft(t *testing.T) {
	p, now := busyNode(0.03, 2)
	delay, ok := p.Delay(class, 0, time.Second, now)
	require.True(t, ok)
	require.Equal(t, 500*time.Millisecond, delay)
}

func TestNoDelayBeforeEnoughAnswersAndAfterTheWindow(t *testing.T) {
	p, now := busyNode(0.03, 2)
	_, ok := p.Delay(hedge.ClassOf("s", false, 1000), 0, 0, now)
	require.False(t, ok)
	_, ok = p.Delay(class, 0, 0, now.Add(time.Minute))
	require.False(t, ok)
}

func TestDenials(t *testing.T) {
	const waited = 100 * time.Millisecond
	cases := []struct {
		name   string
		change func(p *hedge.Policy, candidate *hedge.Candidate, now time.Time)
		denial hedge.Denial
	}{
		{"one engine is slow", func(*hedge.Policy, *hedge.Candidate, time.Time) {}, ""},
		{"all come to their delay", func(p *hedge.Policy, _ *hedge.Candidate, now time.Time) {
			for range 40 {
				p.RecordDue(class.Service, now)
			}
		}, hedge.DeniedAllSlow},
		{"requests used up", func(p *hedge.Policy, _ *hedge.Candidate, now time.Time) {
			for range 6 {
				p.RecordHedge(class.Service, 0, now.Add(-10*time.Second))
			}
		}, hedge.DeniedShare},
		{"all of the share at once", func(p *hedge.Policy, _ *hedge.Candidate, now time.Time) {
			for range 4 {
				p.RecordHedge(class.Service, 0, now)
			}
		}, hedge.DeniedShare},
		{"prompt tokens used up", func(_ *hedge.Policy, c *hedge.Candidate, _ time.Time) { c.Tokens = 7000 }, hedge.DeniedTokens},
		{"engine seconds used up", func(p *hedge.Policy, _ *hedge.Candidate, now time.Time) {
			p.RecordLoser(class.Service, time.Second, now)
		}, hedge.DeniedSeconds},
		{"engines are full", func(_ *hedge.Policy, c *hedge.Candidate, _ time.Time) { c.Load = 0.9 }, hedge.DeniedBusy},
		{"the other engine is hardly sooner", func(_ *hedge.Policy, c *hedge.Candidate, _ time.Time) { c.Forecast = tail }, hedge.DeniedNotSooner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, now := busyNode(0.03, 2)
			candidate := idle
			c.change(p, &candidate, now)
			require.Equal(t, c.denial, p.Decide(class, waited, candidate, now))
		})
	}
}

func TestOffByDefault(t *testing.T) {
	require.False(t, hedge.NewPolicy(0).Enabled())
}
