package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashes is the number of crashes, apart in time, after which requests with a part of a
	// prompt are refused, and provenPartCrashes that for a part with which requests have succeeded
	// before; requestCrashes is that for a request that is sent again.
	partCrashes       = 3
	provenPartCrashes = 9
	requestCrashes    = 2
	// groupCrashes is the number of crashes, however close in time, after which requests with a part are
	// refused unless a fault of hosts may have caused them; partCrashes suffice for one without any
	// success while others succeed. The platform tolerates as many.
	groupCrashes = 5
	// crashSpacing is the time within which crashes may have one cause, since a fault of hosts ends many
	// upstreams at once.
	crashSpacing = 200 * time.Millisecond
	// provenSilence is how long no request with a proven part must have succeeded before a group of
	// crashes counts against it. It is shorter than the platform's contact bound.
	provenSilence = 2 * time.Second
	// maxSuspectUpstreams bounds the upstreams that are kept of one suspect.
	maxSuspectUpstreams = 16
	// firstTrialDelay is how long after its refusal a trait is tried again; earlyTrialDelay is that for
	// parts that many prompts have, and after a group of crashes. nextTrialDelay is how long after a trial
	// without a result it is tried again, and failedTrialDelay after one that crashed its upstream, after
	// maxTrials and after another node's trial.
	firstTrialDelay  = 30 * time.Second
	earlyTrialDelay  = 3 * time.Second
	nextTrialDelay   = 10 * time.Second
	failedTrialDelay = 10 * time.Minute
	maxTrials        = 2
	// announceTime is how long messages include a suspect that has changed.
	announceTime = 3 * time.Second
)

// Trait is something that requests have in common.
type Trait struct {
	// Hash identifies the trait.
	Hash uint64
	// Position of a part in the prompt, from 1; 0 if the trait is the whole request.
	Position int
}

// Suspect is a trait of requests that upstreams were running when they crashed.
type Suspect struct {
	Trait
	// Upstreams that crashed, the latest last; empty in a message that only clears the trait.
	Upstreams []string
	// Crashes are the times of their crashes, in the same order; CrashedAt stands for those that a message
	// lacks.
	Crashes []time.Time
	// CrashedAt is the time of the last crash, ClearedAt that of the last success; of those at other nodes,
	// only the first that comes before the crashes is known.
	CrashedAt, ClearedAt time.Time
	// RefusedAt is when the trait was refused; zero if it is not.
	RefusedAt time.Time
	// Trials is the number of requests that ran although the trait was refused.
	Trials int

	nextTrialAt, changedAt time.Time
}

// Cleared reports whether a request with the trait has succeeded since the last crash.
func (s *Suspect) Cleared() bool { return s.ClearedAt.After(s.CrashedAt) }

// Attribution finds what the requests that crash upstreams have in common. An upstream that crashes
// ends all exchanges that it had under way, most of them sound, so that a trait is refused only if
// upstreams crashed again and again while no request with it succeeded, and no fault of hosts explains
// that. It is not safe for concurrent use.
type Attribution struct {
	successes *Successes
	suspects  map[uint64]*Suspect
	// crashes are the times at which upstreams crashed.
	crashes map[string]time.Time
}

// NewAttribution returns an empty attribution that goes by successes.
func NewAttribution(successes *Successes) *Attribution {
	return &Attribution{successes: successes, suspects: map[uint64]*Suspect{}, crashes: map[string]time.Time{}}
}

// RecordCrash records that an upstream crashed while it ran a request with some traits.
func (a *Attribution) RecordCrash(upstream string, traits []Trait, now time.Time) {
	for _, trait := range traits {
		a.add(Suspect{Trait: trait, Upstreams: []string{upstream}, CrashedAt: now}, now)
	}
	a.decide(now)
}

// add adds crashed upstreams to the suspect of a trait, and returns it.
func (a *Attribution) add(crashed Suspect, now time.Time) *Suspect {
	suspect := a.suspects[crashed.Hash]
	if suspect == nil {
		suspect = &Suspect{Trait: crashed.Trait}
		a.suspects[crashed.Hash] = suspect
		a.evictOldest(suspect)
	}
	a.applySuccess(suspect, now)
	suspect.Position = max(suspect.Position, crashed.Position)
	for i, upstream := range crashed.Upstreams {
		if slices.Contains(suspect.Upstreams, upstream) {
			continue
		}
		at := crashed.CrashedAt
		if i < len(crashed.Crashes) && crashed.Crashes[i].Before(at) {
			at = crashed.Crashes[i]
		}
		if _, known := a.crashes[upstream]; !known {
			a.crashes[upstream] = at
		}
		suspect.Upstreams = append(suspect.Upstreams, upstream)
		suspect.Upstreams = suspect.Upstreams[max(0, len(suspect.Upstreams)-maxSuspectUpstreams):]
		suspect.changedAt = now
		if suspect.CrashedAt.Before(at) {
			suspect.CrashedAt = at
		}
		if suspect.Trials > 0 {
			suspect.nextTrialAt = now.Add(failedTrialDelay)
		}
	}
	return suspect
}

// evictOldest removes the suspect with the oldest crash that is not refused when there are too many.
func (a *Attribution) evictOldest(added *Suspect) {
	if len(a.suspects) <= maxSuspicions {
		return
	}
	var oldest *Suspect
	for _, suspect := range a.suspects {
		if suspect != added && suspect.RefusedAt.IsZero() && (oldest == nil || suspect.CrashedAt.Before(oldest.CrashedAt)) {
			oldest = suspect
		}
	}
	if oldest != nil {
		delete(a.suspects, oldest.Hash)
	}
}

// Merge applies suspects that were received from another node. What is known already is ignored, so
// that times can't drift from node to node.
func (a *Attribution) Merge(received []Suspect, now time.Time) {
	changed := false
	for _, suspect := range received {
		changed = a.merge(suspect, now) || changed
	}
	if changed {
		a.decide(now)
	}
}

// merge applies one suspect, and reports whether anything was new.
func (a *Attribution) merge(received Suspect, now time.Time) bool {
	known := a.suspects[received.Hash]
	if len(received.Upstreams) == 0 {
		return known != nil && !known.Cleared() && a.clear(known, received.ClearedAt, now)
	}
	if now.Sub(received.CrashedAt) > retention {
		return false
	}
	suspect := a.add(received, now)
	// A node that has seen such requests complete goes by the crashes that it knows.
	if !received.RefusedAt.IsZero() && suspect.RefusedAt.IsZero() && suspect.ClearedAt.IsZero() {
		a.refuse(suspect, now)
	}
	if received.RefusedAt.IsZero() && suspect.ClearedAt.IsZero() && !received.ClearedAt.IsZero() {
		a.recordPeerSuccess(suspect, received.ClearedAt, now)
	}
	if received.Trials > suspect.Trials {
		suspect.recordTrials(received.Trials, now)
		suspect.nextTrialAt = now.Add(failedTrialDelay)
	}
	return suspect.changedAt.Equal(now)
}

// recordPeerSuccess records that requests with a suspect's trait succeeded at another node before the crashes.
// A trait that was refused as one without any success is free again.
func (a *Attribution) recordPeerSuccess(suspect *Suspect, at, now time.Time) {
	suspect.ClearedAt, suspect.changedAt = at, now
	if at.After(suspect.CrashedAt) { // Ages in messages grow by the time that these take.
		suspect.ClearedAt = suspect.CrashedAt
	}
	e := a.explanations()
	if suspect.newlyRefused(now) && !a.isEnough(suspect, a.unexplainedCrashes(suspect, e), e, now) {
		suspect.free(now)
	}
}

// clear applies a success of a request with the trait, and reports whether it came after the last crash.
func (a *Attribution) clear(suspect *Suspect, at, now time.Time) bool {
	if !at.After(suspect.CrashedAt) {
		return false
	}
	suspect.ClearedAt, suspect.RefusedAt, suspect.Trials, suspect.changedAt = at, time.Time{}, 0, now
	return true
}

// applySuccess applies this node's last success with a suspect's trait.
func (a *Attribution) applySuccess(suspect *Suspect, now time.Time) {
	switch at := a.successes.Last(suspect.Hash); {
	case !at.After(suspect.ClearedAt):
	case suspect.Cleared() || !a.clear(suspect, at, now):
		suspect.ClearedAt = at
	}
}

// Tick applies this node's successes, refuses what has not succeeded for long enough since a group of
// crashes, and forgets what is older than the retention time.
func (a *Attribution) Tick(now time.Time) {
	pending := false
	for hash, suspect := range a.suspects {
		if now.Sub(suspect.CrashedAt) > retention {
			delete(a.suspects, hash)
			continue
		}
		if suspect.Cleared() {
			continue
		}
		a.applySuccess(suspect, now)
		isGroup := suspect.RefusedAt.IsZero() && suspect.Position > 0 && len(suspect.Upstreams) >= partCrashes
		pending = pending || !suspect.Cleared() && (isGroup || suspect.newlyRefused(now))
	}
	if pending {
		a.freeAfterFaultOfHosts(now)
		a.decide(now)
	}
	for upstream, at := range a.crashes {
		if now.Sub(at) > retention {
			delete(a.crashes, upstream)
		}
	}
}

// decide refuses the traits that explain the crashes, the most suspicious one first. Crashes that it
// explains count against no less suspicious one, which is free again if it was refused for them. It ends,
// since only refused parts of higher rank free a trait, and what they leave is less than what it needs.
func (a *Attribution) decide(now time.Time) {
	for a.freeExplained(now) || a.refuseWorst(now) {
	}
}

// refuseWorst refuses the most suspicious trait with enough crashes, and reports whether there was one.
func (a *Attribution) refuseWorst(now time.Time) bool {
	e := a.explanations()
	var worst *Suspect
	worstCrashes := 0
	for _, suspect := range a.suspects {
		if !suspect.RefusedAt.IsZero() || len(suspect.Upstreams) < requestCrashes || suspect.Cleared() {
			continue
		}
		times := a.unexplainedCrashes(suspect, e)
		count := apartInTime(times)
		if a.isEnough(suspect, times, e, now) && (worst == nil || moreSuspicious(suspect, worst, count, worstCrashes)) {
			worst, worstCrashes = suspect, count
		}
	}
	if worst == nil {
		return false
	}
	a.refuse(worst, now)
	return true
}

// freeExplained frees traits that were refused for crashes which a more suspicious part explains, and
// reports whether there were any.
func (a *Attribution) freeExplained(now time.Time) bool {
	e := a.explanations()
	freed := false
	for _, suspect := range a.suspects {
		isExplained := func(upstream string) bool { return e.explain(upstream, suspect) }
		if suspect.RefusedAt.IsZero() || !slices.ContainsFunc(suspect.Upstreams, isExplained) {
			continue
		}
		if !a.isEnough(suspect, a.unexplainedCrashes(suspect, e), e, now) {
			suspect.free(now)
			freed = true
		}
	}
	return freed
}

// freeAfterFaultOfHosts frees traits that were refused for a group of crashes before it became known which
// other upstreams ended with it.
func (a *Attribution) freeAfterFaultOfHosts(now time.Time) {
	e := a.explanations()
	for _, suspect := range a.suspects {
		if !suspect.newlyRefused(now) {
			continue
		}
		if a.isFaultOfHosts(suspect, e) && !a.isEnough(suspect, a.unexplainedCrashes(suspect, e), e, now) {
			suspect.free(now)
		}
	}
}

// newlyRefused reports whether the trait is refused for crashes of which others may not be known yet.
func (s *Suspect) newlyRefused(now time.Time) bool {
	return !s.RefusedAt.IsZero() && s.Trials == 0 && now.Sub(s.CrashedAt) < announceTime
}

// free ends the refusal of a trait that has not succeeded since.
func (s *Suspect) free(now time.Time) { s.RefusedAt, s.Trials, s.changedAt = time.Time{}, 0, now }

// isEnough reports whether crashes at some times, which no refused part explains, are enough to refuse a
// trait.
func (a *Attribution) isEnough(suspect *Suspect, times []time.Time, e *explanations, now time.Time) bool {
	return apartInTime(times) >= suspect.requiredCrashes() || a.isGroupOfCrashes(suspect, times, e, now)
}

// refuse refuses a trait from now on.
func (a *Attribution) refuse(suspect *Suspect, now time.Time) {
	suspect.RefusedAt, suspect.changedAt, suspect.nextTrialAt = now, now, now.Add(firstTrialDelay)
	isGroup := suspect.Position > 0 && apartInTime(a.unexplainedCrashes(suspect, &explanations{})) < suspect.requiredCrashes()
	if suspect.Position == 1 || !suspect.ClearedAt.IsZero() || isGroup {
		suspect.nextTrialAt = now.Add(earlyTrialDelay)
	}
}

// requiredCrashes returns the number of crashes after which the trait is refused.
func (s *Suspect) requiredCrashes() int {
	switch {
	case s.Position == 0:
		return requestCrashes
	case s.ClearedAt.IsZero():
		return partCrashes
	default:
		return provenPartCrashes
	}
}

// rank orders suspects: parts before whole requests, then those without any success, then the more
// specific one, which is later in the prompt.
func (s *Suspect) rank() int {
	const provenRanks, partRanks = 1 << 20, 1 << 21
	rank := min(s.Position, provenRanks-1)
	if s.ClearedAt.IsZero() {
		rank += provenRanks
	}
	if s.Position > 0 {
		rank += partRanks
	}
	return rank
}

// moreSuspicious orders two suspects by rank, then by crashes.
func moreSuspicious(a, b *Suspect, aCrashes, bCrashes int) bool {
	if order := cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(aCrashes, bCrashes)); order != 0 {
		return order > 0
	}
	return a.Hash < b.Hash
}

// Refused returns the traits whose requests are refused.
func (a *Attribution) Refused() []Suspect {
	var refused []Suspect
	for _, suspect := range a.suspects {
		if !suspect.RefusedAt.IsZero() {
			refused = append(refused, a.withCrashes(suspect))
		}
	}
	return refused
}

// withCrashes returns a copy of a suspect with the times of its crashes.
func (a *Attribution) withCrashes(suspect *Suspect) Suspect {
	described := *suspect
	described.Crashes = make([]time.Time, 0, len(suspect.Upstreams))
	for _, upstream := range suspect.Upstreams {
		described.Crashes = append(described.Crashes, a.crashes[upstream])
	}
	return described
}

// TrialDue reports whether one request with a refused trait may run to see whether it still crashes
// its upstream.
func (s *Suspect) TrialDue(now time.Time) bool {
	return !s.RefusedAt.IsZero() && !now.Before(s.nextTrialAt)
}

// recordTrials sets the number of trials after another one.
func (s *Suspect) recordTrials(trials int, now time.Time) {
	s.Trials, s.changedAt, s.nextTrialAt = trials, now, now.Add(nextTrialDelay)
	if trials >= maxTrials {
		s.nextTrialAt = now.Add(failedTrialDelay)
	}
}

// RecordTrial records that a request with a refused trait runs.
func (a *Attribution) RecordTrial(hash uint64, now time.Time) {
	if suspect := a.suspects[hash]; suspect != nil {
		suspect.recordTrials(suspect.Trials+1, now)
	}
}

// Outgoing returns the suspects for a message to another node: those that are refused and those that
// changed recently, at most MaxSuspicionsPerMessage.
func (a *Attribution) Outgoing(now time.Time) []Suspect {
	var outgoing []Suspect
	for _, suspect := range a.suspects {
		if !suspect.RefusedAt.IsZero() || now.Sub(suspect.changedAt) < announceTime {
			outgoing = append(outgoing, a.withCrashes(suspect))
		}
	}
	slices.SortFunc(outgoing, func(a, b Suspect) int {
		if refused := b.RefusedAt.Compare(a.RefusedAt); refused != 0 {
			return refused
		}
		if newer := b.changedAt.Compare(a.changedAt); newer != 0 {
			return newer
		}
		return cmp.Compare(a.Hash, b.Hash)
	})
	return outgoing[:min(len(outgoing), MaxSuspicionsPerMessage)]
}
