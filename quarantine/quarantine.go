// Package quarantine tracks the requests that are suspected of crashing the upstreams that
// run them, and decides whether these may run again. It has no side effects.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is what to do with a request.
type Verdict int

// Verdicts.
const (
	// Normal means that the request is not suspected.
	Normal Verdict = iota
	// Isolated means that the request may run once more, isolated on an upstream reserved for it.
	Isolated
	// Refuse means that the request crashed several upstreams and may not run again.
	Refuse
)

const (
	// maxCrashes is the number of crashes in the whole fleet after which a request is refused.
	maxCrashes = 2
	// retention is how long a crash or a clearing is kept.
	retention = time.Hour
	// maxSuspicions bounds the table; the oldest is evicted first.
	maxSuspicions = 4096
	// MaxSuspicionsPerMessage bounds the number of suspicions in one message to another node.
	MaxSuspicionsPerMessage = 64
)

// Suspicion is the record of the crashes of one request, or of its clearing.
type Suspicion struct {
	// Fingerprint of the service and the prompt.
	Fingerprint uint64
	// Upstreams that died while they ran it; empty when it was cleared.
	Upstreams []string
	// At is the time of the last crash or of the clearing.
	At time.Time
}

// Table holds suspicions by fingerprint of the request.
type Table struct {
	suspicions map[uint64]Suspicion
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspicions: map[uint64]Suspicion{}} }

// RecordCrash records that an upstream died while it ran the request. The upstream is identified by
// its process, so that a death that two nodes observe is counted once.
func (t *Table) RecordCrash(fingerprint uint64, upstream string, now time.Time) {
	t.add(fingerprint, []string{upstream}, now)
}

// RecordClearing records that the isolated run of the request completed.
func (t *Table) RecordClearing(fingerprint uint64, now time.Time) {
	known, ok := t.suspicions[fingerprint]
	if !ok || now.Before(known.At) {
		return
	}
	t.suspicions[fingerprint] = Suspicion{Fingerprint: fingerprint, At: now}
}

// Merge applies a suspicion that was received from another node. A suspicion older than the
// clearing of its request is ignored.
func (t *Table) Merge(received Suspicion, now time.Time) {
	if now.Sub(received.At) > retention {
		return
	}
	if len(received.Upstreams) == 0 {
		t.RecordClearing(received.Fingerprint, received.At)
		return
	}
	t.add(received.Fingerprint, received.Upstreams, received.At)
}

func (t *Table) add(fingerprint uint64, upstreams []string, at time.Time) {
	known, ok := t.suspicions[fingerprint]
	if ok && len(known.Upstreams) == 0 && !at.After(known.At) {
		return
	}
	merged := slices.Clone(known.Upstreams)
	for _, upstream := range upstreams {
		if len(merged) < maxCrashes && !slices.Contains(merged, upstream) {
			merged = append(merged, upstream)
		}
	}
	if at.Before(known.At) {
		at = known.At
	}
	t.suspicions[fingerprint] = Suspicion{Fingerprint: fingerprint, Upstreams: merged, At: at}
	t.evictOldest()
}

// evictOldest removes the oldest suspicion when the table exceeds maxSuspicions.
func (t *Table) evictOldest() {
	if len(t.suspicions) <= maxSuspicions {
		return
	}
	var oldest Suspicion
	for _, known := range t.suspicions {
		if oldest.At.IsZero() || known.At.Before(oldest.At) {
			oldest = known
		}
	}
	delete(t.suspicions, oldest.Fingerprint)
}

// Verdict returns what to do with the request.
func (t *Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	known, ok := t.suspicions[fingerprint]
	switch {
	case !ok || len(known.Upstreams) == 0 || now.Sub(known.At) > retention:
		return Normal
	case len(known.Upstreams) >= maxCrashes:
		return Refuse
	default:
		return Isolated
	}
}

// Get returns the suspicion of one request.
func (t *Table) Get(fingerprint uint64) (Suspicion, bool) {
	known, ok := t.suspicions[fingerprint]
	return known, ok
}

// Newest returns the newest suspicions and clearings to send to other nodes, at most MaxSuspicionsPerMessage.
func (t *Table) Newest() []Suspicion {
	suspicions := make([]Suspicion, 0, len(t.suspicions))
	for _, known := range t.suspicions {
		suspicions = append(suspicions, known)
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int {
		if c := b.At.Compare(a.At); c != 0 {
			return c
		}
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return suspicions[:min(len(suspicions), MaxSuspicionsPerMessage)]
}
