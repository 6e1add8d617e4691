// Package quarantine decides which requests are suspected of crashing the
// upstreams that run them. It is pure.
package quarantine

import "time"

// Verdict on a request.
type Verdict int

// Verdicts.
const (
	// Normal means that nothing is known against the request.
	Normal Verdict = iota
	// Alone means that the request may run once more, with nothing beside it.
	Alone
	// Refuse means that the request crashed upstreams and does not run again.
	Refuse
)

const (
	// maxCrashes that one request may cause.
	maxCrashes = 2
	// memory is how long a crash is remembered.
	memory = time.Hour
)

type suspicion struct {
	crashes int
	last    time.Time
}

// Table holds suspicions by fingerprint of the request.
type Table struct {
	suspicions map[uint64]suspicion
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspicions: map[uint64]suspicion{}} }

// Crash records that an upstream died while it ran the request.
func (t *Table) Crash(fingerprint uint64, now time.Time) {
	known := t.suspicions[fingerprint]
	known.crashes++
	known.last = now
	t.suspicions[fingerprint] = known
	for other, s := range t.suspicions {
		if now.Sub(s.last) > memory {
			delete(t.suspicions, other)
		}
	}
}

// Verdict returns what to do with the request.
func (t *Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	known, ok := t.suspicions[fingerprint]
	switch {
	case !ok || now.Sub(known.last) > memory:
		return Normal
	case known.crashes >= maxCrashes:
		return Refuse
	default:
		return Alone
	}
}
