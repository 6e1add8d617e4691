package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/quarantine"
)

// step is an event of a table test: a crash of an upstream, or a success.
type step struct {
	at       time.Duration
	upstream string
	traits   []quarantine.Trait
}

func part(hash uint64, position int) quarantine.Trait {
	return quarantine.Trait{Hash: hash, Position: position}
}

func request(hash uint64) quarantine.Trait { return quarantine.Trait{Hash: hash} }

const (
	system, subject, bad, other = 1, 2, 3, 4
	// groupSpacing is the time after which a group of crashes is complete.
	groupSpacing = 200 * time.Millisecond
)

// group returns crashes of some upstreams, from a number on, at the same time under prompts with the bad part.
func group(at time.Duration, from, count int) (steps []step) {
	for i := from; i < from+count; i++ {
		steps = append(steps, step{at, fmt.Sprintf("g%d", i), badPrompt(uint64(i))})
	}
	return steps
}

// badPrompt returns the traits of a request with the bad part.
func badPrompt(own uint64) []quarantine.Trait {
	return []quarantine.Trait{request(1000 + own), part(system, 1), part(subject, 2), part(bad, 3)}
}

func soundPrompt(own uint64) []quarantine.Trait {
	return []quarantine.Trait{request(1000 + own), part(system, 1), part(subject, 2)}
}

func TestTraitsThatAreRefused(t *testing.T) {
	second := time.Second
	cases := []struct {
		name  string
		steps []step
		want  []uint64
	}{
		{"two crashes", []step{{1 * second, "a", badPrompt(1)}, {2 * second, "b", badPrompt(2)}}, nil},
		{"the most specific of three parts", []step{{1 * second, "a", badPrompt(1)}, {2 * second, "b", badPrompt(2)}, {3 * second, "c", badPrompt(3)}}, []uint64{bad}},
		{"one crash that many nodes see", []step{{1 * second, "a", badPrompt(1)}, {1 * second, "a", badPrompt(2)}, {1 * second, "a", badPrompt(3)}}, nil},
		{"many upstreams at once", []step{{1 * second, "a", badPrompt(1)}, {1 * second, "b", badPrompt(2)}, {1 * second, "c", badPrompt(3)}}, nil},
		{"five upstreams at once", group(second, 0, 5), []uint64{bad}},
		{"three upstreams at once, while others succeed", slices.Concat(
			group(second, 0, 3), []step{{1500 * time.Millisecond, "", []quarantine.Trait{part(system, 1), part(subject, 2)}}},
		), []uint64{bad}},
		{"three upstreams at once, and others that succeed at the same time", slices.Concat(
			group(second, 0, 3), []step{{1100 * time.Millisecond, "", []quarantine.Trait{part(system, 1), part(subject, 2)}}},
		), nil},
		{"groups of upstreams", slices.Concat(group(second, 0, 3), group(8*second, 3, 2)), []uint64{bad}},
		{"as many upstreams that ran nothing with the part", slices.Concat([]step{
			{1 * second, "h0", []quarantine.Trait{part(other, 5)}}, {1 * second, "h1", []quarantine.Trait{part(other, 6)}}, {1 * second, "h2", []quarantine.Trait{part(other, 7)}},
		}, group(second, 0, 5)), nil},
		{"a part that succeeded long ago, beside others that succeed", slices.Concat(
			[]step{{0, "", badPrompt(1)}}, group(5*second, 0, 5), []step{{5500 * time.Millisecond, "", []quarantine.Trait{part(system, 1), part(subject, 2)}}},
		), []uint64{bad}},
		{"a part that succeeded shortly before, beside others that succeed", slices.Concat(
			[]step{{4 * second, "", badPrompt(1)}}, group(5*second, 0, 5), []step{{5500 * time.Millisecond, "", []quarantine.Trait{part(other, 5)}}},
		), nil},
		{"a part that succeeded long ago, while nothing succeeds", slices.Concat([]step{{0, "", badPrompt(1)}}, group(5*second, 0, 8), []step{{30 * second, "", nil}}), nil},
		{"a proven part, crash after crash", slices.Concat(
			[]step{{0, "", badPrompt(1)}}, group(4*second, 0, 1), group(8*second, 1, 1), group(12*second, 2, 1), group(16*second, 3, 1), group(20*second, 4, 1),
			[]step{{21 * second, "", []quarantine.Trait{part(system, 1), part(subject, 2)}}},
		), []uint64{bad}},
		{"a sound part between successes", []step{
			{1 * second, "a", soundPrompt(1)},
			{2 * second, "", soundPrompt(2)},
			{3 * second, "b", soundPrompt(3)},
			{4 * second, "", soundPrompt(4)},
			{5 * second, "c", soundPrompt(5)},
			{6 * second, "d", soundPrompt(5)},
		}, []uint64{1005}},
		{"a sound part that was under way each time", []step{
			{1 * second, "a", badPrompt(1)},
			{1 * second, "a", []quarantine.Trait{part(other, 5)}},
			{2 * second, "b", badPrompt(2)},
			{2 * second, "b", []quarantine.Trait{part(other, 5)}},
			{2500 * time.Millisecond, "", []quarantine.Trait{part(other, 5)}},
			{3 * second, "c", badPrompt(3)},
			{3 * second, "c", []quarantine.Trait{part(other, 5)}},
		}, []uint64{bad}},
		{"a request that is sent again", []step{{1 * second, "a", []quarantine.Trait{request(7)}}, {1 * second, "b", []quarantine.Trait{request(7)}}}, []uint64{7}},
		{"a request that had completed, sent again", []step{
			{0, "", []quarantine.Trait{request(7)}}, {1 * second, "a", []quarantine.Trait{request(7)}}, {2 * second, "b", []quarantine.Trait{request(7)}},
		}, []uint64{7}},
		{"a request that comes again and again, under a fault of hosts", []step{
			{1 * second, "a", []quarantine.Trait{request(7)}}, {1 * second, "b", []quarantine.Trait{request(7)}}, {1 * second, "c", []quarantine.Trait{request(8)}},
		}, nil},
		{"the same, after one more crash", []step{
			{1 * second, "a", []quarantine.Trait{request(7)}},
			{1 * second, "b", []quarantine.Trait{request(7)}},
			{1 * second, "c", []quarantine.Trait{request(8)}},
			{2 * second, "d", []quarantine.Trait{request(7)}},
		}, []uint64{7}},
		{"upstreams that ran nothing with the part, known after the others", slices.Concat(group(second, 0, 5), []step{
			{1 * second, "h0", []quarantine.Trait{part(other, 5)}}, {1 * second, "h1", []quarantine.Trait{part(other, 6)}}, {1 * second, "h2", []quarantine.Trait{part(other, 7)}},
		}), nil},
		{"a request that has completed since", []step{
			{1 * second, "a", []quarantine.Trait{request(7)}}, {2 * second, "b", []quarantine.Trait{request(7)}}, {3 * second, "", []quarantine.Trait{request(7)}},
		}, nil},
	}
	for _, c := range cases {
		successes := quarantine.NewSuccesses()
		a := quarantine.NewAttribution(successes)
		for _, s := range c.steps {
			if s.upstream == "" {
				successes.Record(s.traits, start.Add(s.at))
			} else {
				a.RecordCrash(s.upstream, s.traits, start.Add(s.at))
			}
			a.Tick(start.Add(s.at))
		}
		a.Tick(start.Add(c.steps[len(c.steps)-1].at + groupSpacing))
		require.Equal(t, c.want, refusedHashes(a), c.name)
	}
}

func refusedHashes(a *quarantine.Attribution) (hashes []uint64) {
	for _, suspect := range a.Refused() {
		hashes = append(hashes, suspect.Hash)
	}
	return hashes
}

// crashed returns an attribution that refuses the bad part.
func crashed(t *testing.T) (*quarantine.Attribution, time.Time) {
	a := quarantine.NewAttribution(quarantine.NewSuccesses())
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		a.RecordCrash(fmt.Sprintf("u%d", i), badPrompt(uint64(i)), now)
	}
	require.Equal(t, []uint64{bad}, refusedHashes(a))
	return a, now
}

// crashApart records crashes under the first part, a second apart, and returns the time of the last.
func crashApart(a *quarantine.Attribution, count int) time.Time {
	now := start
	for i := range count {
		now = now.Add(time.Second)
		a.RecordCrash(fmt.Sprintf("u%d", i), []quarantine.Trait{part(system, 1)}, now)
	}
	return now
}

// Sound suspects of many crashes push the part that is refused out of messages.
func TestRefusedPartIsPushedOutOfMessages(t *testing.T) {
	a, now := crashed(t)
	for i := range uint64(500) {
		a.RecordCrash("w", []quarantine.Trait{request(5000 + i)}, now.Add(time.Second))
	}
	outgoing := a.Outgoing(now.Add(time.Second))
	require.Len(t, outgoing, quarantine.MaxSuspicionsPerMessage)
	require.EqualValues(t, bad, outgoing[0].Hash)
	later := a.Outgoing(now.Add(time.Minute))
	require.Len(t, later, 1, "what has not changed is not sent, but for what is refused")
}

// A node that has just started learns from its peers what is refused, and their successes lift it.
func TestNodeThatStartsSendsWhatOthersRefuse(t *testing.T) {
	a, now := crashed(t)
	successes := quarantine.NewSuccesses()
	fresh := quarantine.NewAttribution(successes)
	fresh.Merge(a.Outgoing(now), now)
	require.Equal(t, []uint64{bad}, refusedHashes(fresh))
	successes.Record(badPrompt(7), now.Add(time.Second))
	fresh.Tick(now.Add(time.Second))
	require.Empty(t, fresh.Refused())
	outgoing := fresh.Outgoing(now.Add(time.Second))
	for i := range outgoing {
		if outgoing[i].Cleared() {
			outgoing[i].Upstreams = nil
		}
	}
	a.Merge(outgoing, now.Add(time.Second))
	require.Empty(t, a.Refused())
}

// Suspicions that nodes exchange again and again get newer each time.
func TestSuspicionsDoNotAge(t *testing.T) {
	a, now := crashed(t)
	b := quarantine.NewAttribution(quarantine.NewSuccesses())
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, pair := range [][2]*quarantine.Attribution{{a, b}, {b, a}} {
			outgoing := pair[0].Outgoing(now)
			for i := range outgoing {
				outgoing[i].CrashedAt = outgoing[i].CrashedAt.Add(5 * time.Millisecond)
			}
			pair[1].Merge(outgoing, now)
		}
	}
	require.Equal(t, start.Add(3*time.Second), a.Refused()[0].CrashedAt)
	require.WithinDuration(t, start.Add(3*time.Second), b.Refused()[0].CrashedAt, 10*time.Millisecond)
}

// A refused part is tried again and again, or never.
func TestTrialsOfARefusedPart(t *testing.T) {
	a, now := crashed(t)
	due := func(after time.Duration) bool {
		suspect := a.Refused()[0]
		return suspect.TrialDue(now.Add(after))
	}
	require.False(t, due(29*time.Second))
	require.True(t, due(30*time.Second))
	a.RecordTrial(bad, now.Add(31*time.Second))
	require.False(t, due(40*time.Second))
	require.True(t, due(42*time.Second), "the trial had no result")
	a.RecordTrial(bad, now.Add(42*time.Second))
	require.False(t, due(5*time.Minute), "no third one soon")

	a, now = crashed(t)
	a.RecordTrial(bad, now.Add(31*time.Second))
	a.RecordCrash("again", badPrompt(9), now.Add(32*time.Second))
	require.False(t, due(5*time.Minute), "the trial crashed its upstream")
	require.Equal(t, []uint64{bad}, refusedHashes(a))

	fresh := quarantine.NewAttribution(quarantine.NewSuccesses())
	fresh.Merge(a.Outgoing(now.Add(33*time.Second)), now.Add(33*time.Second))
	suspect := fresh.Refused()[0]
	require.False(t, suspect.TrialDue(now.Add(5*time.Minute)), "a node that has just started leaves trials to the one that made the first")
}

// A part that many prompts have stays refused for long.
func TestCommonPartIsTriedSoon(t *testing.T) {
	a := quarantine.NewAttribution(quarantine.NewSuccesses())
	now := crashApart(a, 3)
	suspect := a.Refused()[0]
	require.False(t, suspect.TrialDue(now.Add(2*time.Second)))
	require.True(t, suspect.TrialDue(now.Add(3*time.Second)))
}

// A part of every prompt is refused when all upstreams crash at nearly the same time, since nothing
// completes in between.
func TestCommonPartIsRefusedWhileNothingCompletes(t *testing.T) {
	successes := quarantine.NewSuccesses()
	successes.Record(soundPrompt(1), start)
	a := quarantine.NewAttribution(successes)
	now := start
	for i := range 4 {
		now = now.Add(300 * time.Millisecond)
		upstream := fmt.Sprintf("u%d", i)
		a.RecordCrash(upstream, soundPrompt(uint64(10+i)), now)
		require.Empty(t, a.Refused(), "before the node that sent the request in question tells of the crash")
	}
	for i := range 3 {
		a.RecordCrash(fmt.Sprintf("u%d", i), badPrompt(uint64(20+i)), now)
	}
	require.Equal(t, []uint64{bad}, refusedHashes(a))
}

// A node that has forgotten what completed makes the others refuse a part of every prompt.
func TestForgetfulNodeMakesOthersRefuseACommonPart(t *testing.T) {
	fresh, successes := quarantine.NewAttribution(quarantine.NewSuccesses()), quarantine.NewSuccesses()
	successes.Record(soundPrompt(1), start)
	proven := quarantine.NewAttribution(successes)
	now := crashApart(fresh, 3)
	require.Equal(t, []uint64{system}, refusedHashes(fresh))
	proven.Merge(fresh.Outgoing(now), now)
	require.Empty(t, proven.Refused())
}

// Sound parts are refused because upstreams end again and again for another reason.
func TestSoundPartIsRefusedWhenUpstreamsEndByThemselves(t *testing.T) {
	const (
		upstreams, tick, perSecond, streamTime = 12, 50 * time.Millisecond, 40, 1500 * time.Millisecond
		subjects                               = 20
	)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, seed))
		successes := quarantine.NewSuccesses()
		a := quarantine.NewAttribution(successes)
		type run struct {
			traits   []quarantine.Trait
			upstream int
			ends     time.Time
		}
		var running []run
		lives, own, now := 0, uint64(100_000), start
		for range int(time.Minute / tick) {
			now = now.Add(tick)
			for range perSecond * int(tick) / int(time.Second) {
				own++
				traits := []quarantine.Trait{request(own), part(system, 1), part(100+random.Uint64N(subjects), 2)}
				running = append(running, run{traits, random.IntN(upstreams), now.Add(time.Duration(random.Int64N(int64(streamTime))))})
			}
			ended := map[int]bool{}
			switch {
			case random.IntN(20) == 0: // One ends each second.
				ended[random.IntN(upstreams)] = true
			case random.IntN(200) == 0: // Most end at once.
				for range 2 * upstreams {
					ended[random.IntN(upstreams)] = true
				}
			}
			remaining := running[:0]
			for _, r := range running {
				switch {
				case ended[r.upstream]:
					a.RecordCrash(fmt.Sprintf("u%d-%d", r.upstream, lives), r.traits, now)
				case now.After(r.ends):
					successes.Record(r.traits, now)
				default:
					remaining = append(remaining, r)
				}
			}
			running, lives = remaining, lives+1
			a.Tick(now)
			require.Empty(t, a.Refused(), "seed %d, after %s", seed, now.Sub(start))
		}
	}
}

// A first part stays refused although a later part that became known after it explains the same crashes.
func TestLaterPartFreesACommonOne(t *testing.T) {
	a, b := quarantine.NewAttribution(quarantine.NewSuccesses()), quarantine.NewAttribution(quarantine.NewSuccesses())
	now := crashApart(a, 3)
	b.Merge(a.Outgoing(now), now)
	require.Equal(t, []uint64{system}, refusedHashes(a))
	require.Equal(t, []uint64{system}, refusedHashes(b))
	for i := range 3 {
		a.RecordCrash(fmt.Sprintf("u%d", i), badPrompt(uint64(i)), now)
	}
	require.Equal(t, []uint64{bad}, refusedHashes(a))
	b.Merge(a.Outgoing(now), now)
	require.Equal(t, []uint64{bad}, refusedHashes(b))
	for range 3 {
		now = now.Add(time.Second)
		a.Merge(b.Outgoing(now), now)
		b.Merge(a.Outgoing(now), now)
		require.Equal(t, []uint64{bad}, refusedHashes(a), "what others still refuse is not taken over")
	}
}

// A first part is free although other crashes that the later part does not explain count against it.
func TestCommonPartStaysRefusedForOtherCrashes(t *testing.T) {
	a := quarantine.NewAttribution(quarantine.NewSuccesses())
	now := crashApart(a, 6)
	for i := range 3 {
		a.RecordCrash(fmt.Sprintf("u%d", i), badPrompt(uint64(i)), now)
	}
	require.ElementsMatch(t, []uint64{system, bad}, refusedHashes(a))
}

// A node that learns late of crashes takes them to be as new as the last one, and counts them against a part that has
// succeeded since.
func TestCrashesThatAreLearnedLateAreAsOldAsTheyAre(t *testing.T) {
	a, now := crashed(t)
	for i := range 2 {
		a.RecordCrash(fmt.Sprintf("v%d", i), badPrompt(uint64(i)), now.Add(time.Duration(i)*time.Second))
	}
	successes := quarantine.NewSuccesses()
	b := quarantine.NewAttribution(successes)
	successes.Record(badPrompt(7), now.Add(2*time.Second))
	now = now.Add(10 * time.Second)
	a.RecordCrash("w", badPrompt(8), now)
	b.Merge(a.Outgoing(now), now)
	successes.Record(soundPrompt(9), now.Add(time.Second))
	b.Tick(now.Add(time.Second))
	require.Empty(t, b.Refused(), "one upstream has crashed since a request with the part completed")
}

// Crashes from before a part's last success count against it, since only the first success after a crash was noted.
func TestCrashesBeforeTheLastSuccessDoNotCount(t *testing.T) {
	successes := quarantine.NewSuccesses()
	a, b := quarantine.NewAttribution(quarantine.NewSuccesses()), quarantine.NewAttribution(successes)
	b.RecordCrash("u", soundPrompt(1), start)
	now := start
	for i := range 12 {
		now = now.Add(250 * time.Millisecond)
		a.RecordCrash(fmt.Sprintf("u%d", i), []quarantine.Trait{part(system, 1)}, now)
		now = now.Add(250 * time.Millisecond)
		successes.Record(soundPrompt(2), now)
		b.Tick(now)
	}
	b.RecordCrash("v", soundPrompt(3), now)
	b.Merge(a.Outgoing(now), now)
	require.Empty(t, b.Refused())
}

// A node refuses a sound part for a group of crashes, although peers know of successes and it does not.
func TestSuccessesAtPeersProveAPart(t *testing.T) {
	const tick = 50 * time.Millisecond
	crash := start.Add(time.Second)
	for _, c := range []struct {
		name string
		// learned is how long after the crashes a message tells of a success before them.
		learned       time.Duration
		refusedByPeer bool
		want          []uint64
	}{
		{"within the time of a group", 150 * time.Millisecond, false, nil},
		{"later", time.Second, false, nil},
		{"from a peer that refuses the part", 150 * time.Millisecond, true, []uint64{bad}},
	} {
		a := quarantine.NewAttribution(quarantine.NewSuccesses())
		message := quarantine.Suspect{Trait: part(bad, 3), CrashedAt: crash, ClearedAt: crash.Add(-tick)}
		for i := range 5 {
			message.Upstreams = append(message.Upstreams, fmt.Sprintf("u%d", i))
			a.RecordCrash(message.Upstreams[i], []quarantine.Trait{part(bad, 3)}, crash)
		}
		now := crash
		for ; now.Before(crash.Add(c.learned)); now = now.Add(tick) {
			a.Tick(now)
			require.Equal(t, now.Sub(crash) >= groupSpacing, len(a.Refused()) > 0, c.name)
		}
		if c.refusedByPeer {
			message.RefusedAt = now
		}
		a.Merge([]quarantine.Suspect{message}, now)
		for ; now.Before(crash.Add(1900 * time.Millisecond)); now = now.Add(tick) {
			a.Tick(now)
			require.Equal(t, c.want, refusedHashes(a), c.name)
		}
	}
}
