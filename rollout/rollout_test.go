package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/rollout"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	bounds = rollout.Bounds{CanaryShare: 0.1, CanarySlack: 50}
)

const tick = 100 * time.Millisecond

// stream draws the answers of both versions of one route.
type stream struct {
	random                  *rand.Rand
	tally                   rollout.Tally
	failed, slowed, stalled [2]float64
}

func newStream(seed uint64) *stream {
	return &stream{random: rand.New(rand.NewPCG(seed, 1)), tally: rollout.NewTally()}
}

func (s *stream) answer(side rollout.Side, count int) {
	for range count {
		rollout.Add(s.tally, side, rollout.Sent, 1)
		rollout.Add(s.tally, side, rollout.Answered, 1)
		if s.random.Float64() < s.failed[side] {
			rollout.Add(s.tally, side, rollout.Failed, 1)
			continue
		}
		rollout.Add(s.tally, side, rollout.Timed, 1)
		if s.random.Float64() < s.slowed[side] {
			rollout.Add(s.tally, side, rollout.Slow, 1)
		}
		rollout.Add(s.tally, side, rollout.Paced, 1)
		if s.random.Float64() < s.stalled[side] {
			rollout.Add(s.tally, side, rollout.Stalled, 1)
		}
	}
}

// judge plays some old answers, since new engines take time to start, then ticks with ten old and some
// new ones each, and returns the verdict and the number of
// new answers until it is bad.
func judge(m *rollout.Monitor, s *stream, from time.Time, ticks, newAnswers int) (rollout.Verdict, int) {
	verdict, answers := rollout.Unproven, 0
	s.answer(rollout.Old, 100)
	for i := range ticks {
		s.answer(rollout.Old, 10)
		s.answer(rollout.New, newAnswers)
		answers += newAnswers
		m.Observe(rollout.Routes{"a": s.tally}, from.Add(time.Duration(i)*tick))
		if verdict, _ = m.Verdict(false); verdict == rollout.Bad {
			break
		}
	}
	return verdict, answers
}

// A good version is rejected no more often than stated, whatever the old version's usual failures.
func TestGoodVersionIsSeldomRejected(t *testing.T) {
	for _, usual := range []float64{0, 0.01, 0.15, 0.3} {
		rejected := 0
		for seed := range uint64(300) {
			s := newStream(seed)
			s.failed, s.slowed, s.stalled = [2]float64{usual, usual}, [2]float64{0.1, 0.1}, [2]float64{0.1, 0.1}
			if verdict, _ := judge(rollout.NewMonitor(), s, start, 100, 10); verdict == rollout.Bad {
				rejected++
			}
		}
		require.LessOrEqual(t, rejected, 12, "four tests with an error of 0.01 each; usual failures %v", usual)
	}
}

// A version with a part of bad answers is rejected before 50 of them.
func TestBadVersionIsRejectedBeforeFiftyBadAnswers(t *testing.T) {
	for _, bad := range []struct{ usual, failed, slowed, stalled float64 }{
		{0, 0.3, 0, 0}, {0.01, 0.2, 0, 0}, {0.14, 0.5, 0, 0}, {0, 0, 0.5, 0}, {0, 0, 0.9, 0}, {0, 1, 0, 0}, {0, 0, 0, 0.5}, {0, 0, 0, 0.9},
	} {
		late := 0
		for seed := range uint64(200) {
			s := newStream(seed)
			s.failed, s.slowed = [2]float64{bad.usual, bad.failed}, [2]float64{0.1, 0.1 + bad.slowed*0.9}
			s.stalled = [2]float64{0.1, 0.1 + bad.stalled*0.9}
			verdict, answers := judge(rollout.NewMonitor(), s, start, 100, 5)
			if verdict != rollout.Bad || float64(answers)*max(bad.failed, bad.slowed, bad.stalled) > 50 {
				late++
			}
		}
		require.LessOrEqual(t, late, 4, "%+v", bad)
	}
}

func TestVersionThatTurnsBadLateIsRejected(t *testing.T) {
	m, s := rollout.NewMonitor(), newStream(3)
	verdict, _ := judge(m, s, start, 200, 10)
	require.Equal(t, rollout.Proven, verdict)
	s.failed[rollout.New] = 0.4
	verdict, answers := judge(m, s, start.Add(20*time.Second), 100, 5)
	require.Equal(t, rollout.Bad, verdict)
	require.Less(t, answers, 60)
}

func TestVersionThatIsBadOnOneRouteOnlyIsRejected(t *testing.T) {
	m, sound, broken := rollout.NewMonitor(), newStream(4), newStream(5)
	broken.failed[rollout.New] = 0.5
	for i := range 100 {
		sound.answer(rollout.Old, 50)
		sound.answer(rollout.New, 50)
		broken.answer(rollout.Old, 1)
		broken.answer(rollout.New, 1)
		m.Observe(rollout.Routes{"a": sound.tally, "b": broken.tally}, start.Add(time.Duration(i)*tick))
		if verdict, reason := m.Verdict(false); verdict == rollout.Bad {
			require.Contains(t, reason, "route b")
			require.Less(t, i, 50)
			return
		}
	}
	require.Fail(t, "not rejected")
}

// Engines that crash or are grey on both sides at once don't reject a version.
func TestOutageOfBothVersionsRejectsNothing(t *testing.T) {
	rejected := 0
	for seed := range uint64(100) {
		m, s := rollout.NewMonitor(), newStream(seed)
		judge(m, s, start, 100, 3)
		s.failed = [2]float64{0.3, 0.3}
		if verdict, _ := judge(m, s, start.Add(10*time.Second), 50, 3); verdict == rollout.Bad {
			rejected++
		}
	}
	require.LessOrEqual(t, rejected, 10)
}

// Reports may come late, twice and out of order.
func TestEvidenceDoesNotDependOnTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, sent := newStream(1), []rollout.Report{}
		for range 10 {
			s.answer(rollout.New, 3)
			sent = append(sent, rollout.Report{"o": rollout.CopyRoutes(rollout.Routes{"a": s.tally})})
		}
		e := rollout.NewEvidence()
		for _, report := range append(rapid.Permutation(sent).Draw(t, "order"), sent[0]) {
			e.Merge("n1", report)
		}
		e.Merge("n2", rollout.Report{"o": {"a": s.tally, "odd": {1, 2}}})
		require.EqualValues(t, 60, rollout.Sum(e.Total("o"), rollout.New, rollout.Sent))
		e.Retain(func(order string) bool { return order != "o" })
		require.Empty(t, e.All())
	})
}

func state(age time.Duration, verdict rollout.Verdict) (rollout.State, time.Time) {
	return rollout.State{
		OrderedAt: start, Duration: 16 * time.Second, Asked: 400 * age.Seconds(), Sent: 30, Rate: 400, OldEngines: 90, NewEngines: 90, Verdict: verdict,
	}, start.Add(age)
}

func TestPhasesFollowTheEvidenceAndTheTimeLeft(t *testing.T) {
	for name, c := range map[string]struct {
		age     time.Duration
		verdict rollout.Verdict
		change  func(*rollout.State)
		phase   rollout.Phase
		moving  bool
	}{
		"on trial":                  {2 * time.Second, rollout.Proven, nil, rollout.Serving, false},
		"moving":                    {12 * time.Second, rollout.Proven, nil, rollout.Serving, true},
		"unproven is not moved":     {12 * time.Second, rollout.Unproven, nil, rollout.Serving, false},
		"complete":                  {15500 * time.Millisecond, rollout.Proven, nil, rollout.Complete, true},
		"unproven is not completed": {15500 * time.Millisecond, rollout.Unproven, nil, rollout.Serving, false},
		"likely good is completed":  {15500 * time.Millisecond, rollout.Likely, nil, rollout.Complete, true},
		"unproven in time":          {16100 * time.Millisecond, rollout.Unproven, nil, rollout.Reverted, false},
		"long order, early":         {96500 * time.Millisecond, rollout.Proven, func(s *rollout.State) { s.Duration = 100 * time.Second }, rollout.Complete, true},
		"completed late":            {17 * time.Second, rollout.Proven, nil, rollout.Complete, true},
		"much too late":             {27 * time.Second, rollout.Proven, nil, rollout.Reverted, false},
		"bad":                       {2 * time.Second, rollout.Bad, nil, rollout.Reverted, false},
		"withdrawn":                 {2 * time.Second, rollout.Proven, func(s *rollout.State) { s.Withdrawn = true }, rollout.Reverted, false},
		"no engines yet":            {2 * time.Second, rollout.Unproven, func(s *rollout.State) { s.NewEngines = 0 }, rollout.Serving, false},
		"engines never came":        {17 * time.Second, rollout.Unproven, func(s *rollout.State) { s.NewEngines = 0 }, rollout.Reverted, false},
		"engines crashed":           {15500 * time.Millisecond, rollout.Proven, func(s *rollout.State) { s.NewEngines = 20 }, rollout.Serving, false},
	} {
		s, now := state(c.age, c.verdict)
		if c.change != nil {
			c.change(&s)
		}
		decision := rollout.Decide(bounds, s, now)
		require.Equal(t, c.phase, decision.Phase, name)
		require.Equal(t, c.moving, decision.Moving, name)
	}
}

// Whatever the nodes are told, their own bound keeps the fleet's exposure, also if every request is to
// move and no node hears of the others.
func TestExposureHoldsWhateverNodesAreTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		perTick := rapid.IntRange(1, 5).Draw(t, "requests")
		duration := time.Duration(rapid.IntRange(20, 300).Draw(t, "ticks")) * tick
		moveFrom := time.Duration(rapid.Float64Range(0, 1).Draw(t, "move") * float64(duration))
		asked, exposed := 0, 0
		for range nodes {
			own, sent := 0, 0
			for at := time.Duration(0); at < duration; at += tick {
				for range perTick {
					if at >= moveFrom && rollout.HasRoom(bounds, nodes, float64(own), float64(sent), at, duration-at, rollout.CompleteMargin(duration)) {
						sent++
					}
					own++
				}
			}
			asked, exposed = asked+own, exposed+sent
		}
		require.LessOrEqual(t, float64(exposed), bounds.CanaryShare*float64(asked)+bounds.CanarySlack)
	})
}
