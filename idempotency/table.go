package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// NoOffset is the offset that stands for no record.
const NoOffset int64 = -1

// state of a claim.
type state int

const (
	// claimed means that the winner may have sent.
	claimed state = iota
	// released means that the winner never sent and never will.
	released
	// finished means that an outcome was recorded.
	finished
)

// entry is what is known of one key.
type entry struct {
	fingerprint string
	attempt     string
	state       state
	// sure says that no earlier claim of the key can have been missed.
	sure    bool
	atMS    int64
	readAt  time.Time
	outcome *api.Outcome
}

// Bounds of a table.
type Bounds struct {
	// Entries that are kept; the oldest go first.
	Entries int
	// OutcomeBytes of the answers that are kept; the oldest go first.
	OutcomeBytes int
}

// Table is the fold of one claim stream. Which claim wins is a function of the log
// alone. One owner at a time may use it.
type Table struct {
	bounds  Bounds
	entries map[ID]*entry
	order   []ID
	through int64
	// begun says that the first record or an empty stream was read.
	begun bool
	// complete says that every claim ever made is known.
	complete bool
	// since is the log time from which on every claim is known.
	since time.Time
	// gapEnds is the offset below which records may have been missed.
	gapEnds int64
	// dropped counts the entries that were forgotten for room.
	dropped int

	outcomes     []ID
	outcomeBytes int
	checkpoint   checkpointParts
}

// NewTable returns the table before the first read.
func NewTable(bounds Bounds) *Table {
	return &Table{bounds: bounds, entries: map[ID]*entry{}, through: NoOffset}
}

// LastOffset returns the offset through which the stream was read; None for no record.
func (t *Table) LastOffset() int64 { return t.through }

// Complete says whether every claim ever made is known.
func (t *Table) Complete() bool { return t.begun && t.complete }

// Len returns the number of keys that are known.
func (t *Table) Len() int { return len(t.entries) }

// ApplyOldest notes a read from which the oldest offset of the stream is known. Records
// that were trimmed before they were read make the table incomplete; since is the
// log time before which claims may be missing.
func (t *Table) ApplyOldest(oldest int64, since time.Time) {
	switch {
	case !t.begun:
		t.begun = true
		t.complete = oldest == 0
	case oldest > t.through+1:
		t.complete = false
	default:
		return
	}
	if !t.complete {
		t.since = since
		t.through = max(t.through, oldest-1)
		t.gapEnds = oldest
		t.doubtReleases()
	}
}

// doubtReleases takes released keys for unknown after a gap, in which they may have
// been claimed again.
func (t *Table) doubtReleases() {
	for _, known := range t.entries {
		if known.state == released {
			known.sure = false
		}
	}
}

// Apply folds one record in log order, read at readAt. A record that was read before
// is a duplicate and changes nothing.
func (t *Table) Apply(offset, atMS int64, record api.Record, readAt time.Time) {
	if offset <= t.through {
		return
	}
	t.through = offset
	switch {
	case record.Claim != nil:
		t.claim(atMS, *record.Claim, readAt)
	case record.Release != nil:
		t.release(atMS, *record.Release, readAt)
	case record.Outcome != nil:
		t.finish(*record.Outcome)
	case record.ClaimCheckpoint != nil:
		t.applyCheckpoint(*record.ClaimCheckpoint, readAt)
	}
}

func (t *Table) claim(atMS int64, claim api.Claim, readAt time.Time) {
	id := IDOf(claim.Workspace, claim.Key)
	known, ok := t.entries[id]
	if ok && known.state != released {
		return
	}
	sure := t.mayBeFirst(claim.Key) || ok && known.sure
	t.put(id, &entry{
		fingerprint: claim.Fingerprint, attempt: claim.Attempt, state: claimed,
		sure: sure, atMS: atMS, readAt: readAt,
	})
}

// release frees a key for a further claim. Only the winner's release counts.
func (t *Table) release(atMS int64, release api.Release, readAt time.Time) {
	id := IDOf(release.Workspace, release.Key)
	known, ok := t.entries[id]
	if !ok {
		t.put(id, &entry{
			attempt: release.Attempt, state: released, sure: t.mayBeFirst(release.Key), atMS: atMS, readAt: readAt,
		})
		return
	}
	if known.attempt == release.Attempt && known.state == claimed {
		known.state = released
	}
}

func (t *Table) finish(outcome api.Outcome) {
	id := IDOf(outcome.Workspace, outcome.Key)
	known, ok := t.entries[id]
	if !ok || known.attempt != outcome.Attempt || known.state != claimed {
		return
	}
	known.state = finished
	known.outcome = &outcome
	t.outcomes = append(t.outcomes, id)
	t.outcomeBytes += len(outcome.Body)
	for t.outcomeBytes > t.bounds.OutcomeBytes && len(t.outcomes) > 1 {
		t.dropOutcome()
	}
}

// dropOutcome forgets the oldest answer, but not that there was one.
func (t *Table) dropOutcome() {
	id := t.outcomes[0]
	t.outcomes = t.outcomes[1:]
	known, ok := t.entries[id]
	if !ok || known.outcome == nil {
		return
	}
	t.outcomeBytes -= len(known.outcome.Body)
	known.outcome = &api.Outcome{Status: known.outcome.Status}
}

// put adds an entry and forgets the oldest ones above the bound, after which the
// table is no longer complete.
func (t *Table) put(id ID, added *entry) {
	if _, known := t.entries[id]; !known {
		t.order = append(t.order, id)
	}
	t.entries[id] = added
	for len(t.entries) > t.bounds.Entries {
		oldest := t.order[0]
		t.order = t.order[1:]
		if forgotten, ok := t.entries[oldest]; ok {
			t.complete = false
			t.dropped++
			t.since = latest(t.since, time.UnixMilli(forgotten.atMS))
			delete(t.entries, oldest)
		}
	}
}

// mayBeFirst says whether a key that is not known was certainly never claimed.
func (t *Table) mayBeFirst(key string) bool {
	if t.Complete() {
		return true
	}
	at, timed := KeyTime(key)
	return t.begun && timed && at.After(t.since.Add(ClockSkew))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
