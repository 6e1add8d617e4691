package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// NoOffset stands for the absence of a record.
const NoOffset int64 = -1

// state is the state of a claim.
type state int

const (
	// claimed means that the winner may have sent the call.
	claimed state = iota
	// released means that the winner never sent the call and never will.
	released
	// finished means that an outcome was recorded.
	finished
)

// entry is the state of one key.
type entry struct {
	fingerprint string
	attempt     string
	state       state
	// certain is set when no earlier claim of the key can have been missed.
	certain bool
	atMS    int64
	readAt  time.Time
	outcome *api.Outcome
}

// Bounds bound a table.
type Bounds struct {
	// Entries bounds the retained entries; the oldest are evicted first.
	Entries int
	// OutcomeBytes bounds the retained answers; the oldest are evicted first.
	OutcomeBytes int
}

// Table is the fold of one claim stream. Which claim wins is a function of the log
// alone. It is not safe for concurrent use.
type Table struct {
	bounds         Bounds
	entries        map[ID]*entry
	insertionOrder []ID
	lastOffset     int64
	// started is set once the first record or an empty stream was read.
	started bool
	// complete is set while every claim ever made is known.
	complete bool
	// knownSince is the log time after which every claim is known.
	knownSince time.Time
	// gapEnd is the offset below which records may have been missed.
	gapEnd int64
	// evicted counts the entries dropped above the bound.
	evicted int

	outcomeOrder []ID
	outcomeBytes int
	checkpoint   partialCheckpoint
}

// NewTable returns an empty table, before the first read.
func NewTable(bounds Bounds) *Table {
	return &Table{bounds: bounds, entries: map[ID]*entry{}, lastOffset: NoOffset}
}

// LastOffset returns the offset through which the stream has been read; NoOffset before the
// first record.
func (t *Table) LastOffset() int64 { return t.lastOffset }

// Complete reports whether every claim ever made is known.
func (t *Table) Complete() bool { return t.started && t.complete }

// Len returns the number of known keys.
func (t *Table) Len() int { return len(t.entries) }

// ApplyOldest records the oldest offset of the stream, as a read returned it. Records
// that were trimmed before they were read make the table incomplete; since is the
// log time before which claims may be missing.
func (t *Table) ApplyOldest(oldest int64, since time.Time) {
	switch {
	case !t.started:
		t.started = true
		t.complete = oldest == 0
	case oldest > t.lastOffset+1:
		t.complete = false
	default:
		return
	}
	if !t.complete {
		t.knownSince = since
		t.lastOffset = max(t.lastOffset, oldest-1)
		t.gapEnd = oldest
		t.distrustReleases()
	}
}

// distrustReleases marks released keys as uncertain after a gap, in which they may have been
// claimed again.
func (t *Table) distrustReleases() {
	for _, known := range t.entries {
		if known.state == released {
			known.certain = false
		}
	}
}

// Apply applies one record in log order, read at readAt. A record at or below the last
// offset is a duplicate and changes nothing.
func (t *Table) Apply(offset, atMS int64, record api.Record, readAt time.Time) {
	if offset <= t.lastOffset {
		return
	}
	t.lastOffset = offset
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
	certain := t.neverClaimed(claim.Key) || ok && known.certain
	t.put(id, &entry{
		fingerprint: claim.Fingerprint, attempt: claim.Attempt, state: claimed,
		certain: certain, atMS: atMS, readAt: readAt,
	})
}

// release makes a key available to another claim. Only the winner's release counts.
func (t *Table) release(atMS int64, release api.Release, readAt time.Time) {
	id := IDOf(release.Workspace, release.Key)
	known, ok := t.entries[id]
	if !ok {
		t.put(id, &entry{
			attempt: release.Attempt, state: released, certain: t.neverClaimed(release.Key), atMS: atMS, readAt: readAt,
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
	t.outcomeOrder = append(t.outcomeOrder, id)
	t.outcomeBytes += len(outcome.Body)
	for t.outcomeBytes > t.bounds.OutcomeBytes && len(t.outcomeOrder) > 1 {
		t.evictOutcome()
	}
}

// evictOutcome evicts the oldest answer, but retains its status.
func (t *Table) evictOutcome() {
	id := t.outcomeOrder[0]
	t.outcomeOrder = t.outcomeOrder[1:]
	known, ok := t.entries[id]
	if !ok || known.outcome == nil {
		return
	}
	t.outcomeBytes -= len(known.outcome.Body)
	known.outcome = &api.Outcome{Status: known.outcome.Status}
}

// put adds an entry and evicts the oldest ones above the bound, after which the table is
// no longer complete.
func (t *Table) put(id ID, added *entry) {
	if _, known := t.entries[id]; !known {
		t.insertionOrder = append(t.insertionOrder, id)
	}
	t.entries[id] = added
	for len(t.entries) > t.bounds.Entries {
		oldest := t.insertionOrder[0]
		t.insertionOrder = t.insertionOrder[1:]
		if evicted, ok := t.entries[oldest]; ok {
			t.complete = false
			t.evicted++
			t.knownSince = latest(t.knownSince, time.UnixMilli(evicted.atMS))
			delete(t.entries, oldest)
		}
	}
}

// neverClaimed reports whether an unknown key was certainly never claimed.
func (t *Table) neverClaimed(key string) bool {
	if t.Complete() {
		return true
	}
	at, timed := KeyTime(key)
	return t.started && timed && at.After(t.knownSince.Add(ClockSkew))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
