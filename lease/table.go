// Package lease decides who holds a control duty, from the records of the log stream
// `leases`. It is pure: it has no clock, no randomness and opens no connection.
//
// Whether a claim is granted is a function of the log alone: a claim carries the offset
// through which its writer had read, and is void if a record of the same duty lies in
// between. Clocks decide only when a claim may be attempted, and for how long a holder
// may act.
//
// The log may come back from an older copy, in a higher era; it then gives out offsets again. A lease
// holds in the era of its claim only, and the fencing token contains both.
package lease

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// NoOffset stands for the absence of a record.
const NoOffset int64 = -1

// eraShift places the era above the offset in a fencing token.
const eraShift = 32

// token returns the fencing token of a claim. Tokens rise from one granted claim to the next, also when
// the offsets of a log have gone back.
func token(era, offset int64) int64 { return era<<eraShift | offset }

// Lease is the state of one duty in the view of a reader of the stream.
type Lease struct {
	// Holder is the node id; empty when the duty is free.
	Holder string
	// Incarnation of the holder.
	Incarnation string
	// Fence is the fencing token of the granted claim.
	Fence int64
	// Era that the writer of the granted claim knew; 0 if none.
	Era int64
	// LastOffset is the offset of the last record of the duty, granted or not.
	LastOffset int64
	// ExpiresAt is when the duty may be claimed unless further records are read: a full
	// TTL after the last claim or renewal was read, by the reader's clock.
	ExpiresAt time.Time
}

// Table holds the leases of all duties. It is owned by one goroutine.
type Table struct {
	leases map[string]Lease
	// era of the log that has been read; 0 if it has none. The offsets belong to it.
	era int64
	// lastOffset is the offset through which the stream has been read.
	lastOffset int64
	// noClaimsUntil is when claims are allowed again after records were missed.
	noClaimsUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: map[string]Lease{}, lastOffset: NoOffset} }

// Era returns the era of the log that has been read; 0 if it has none.
func (t *Table) Era() int64 { return t.era }

// enterEra forgets the records of an earlier era. The lease of a live holder may be among those that the
// log has lost, so none is claimed for one TTL.
func (t *Table) enterEra(era int64, now time.Time, ttl time.Duration) {
	if t.era != 0 || t.lastOffset != NoOffset {
		t.leases, t.lastOffset, t.noClaimsUntil = map[string]Lease{}, NoOffset, now.Add(ttl)
	}
	t.era = era
}

// LastOffset returns the offset through which the stream has been read; NoOffset before
// the first record.
func (t *Table) LastOffset() int64 { return t.lastOffset }

// Lease returns the state of a duty.
func (t *Table) Lease(name string) Lease {
	lease, ok := t.leases[name]
	if !ok {
		return Lease{Fence: NoOffset, LastOffset: NoOffset, ExpiresAt: t.noClaimsUntil}
	}
	return lease
}

// Claimable reports whether a duty may be claimed at now.
func (t *Table) Claimable(name string, now time.Time) bool {
	lease := t.Lease(name)
	if now.Before(t.noClaimsUntil) {
		return false
	}
	return lease.Holder == "" || !now.Before(lease.ExpiresAt)
}

// MarkGap records that the records below an offset were trimmed before they were read.
// A holder whose records are among them may act for one more TTL.
func (t *Table) MarkGap(below int64, readAt time.Time, ttl time.Duration) {
	if below <= t.lastOffset+1 {
		return
	}
	t.lastOffset = below - 1
	t.noClaimsUntil = readAt.Add(ttl)
}

// Apply applies one record in log order, read at readAt, and reports whether it took
// effect. A record at or below the last offset is a duplicate and changes nothing.
func (t *Table) Apply(offset int64, record api.LeaseRecord, readAt time.Time) bool {
	if offset <= t.lastOffset {
		return false
	}
	t.lastOffset = offset
	lease := t.Lease(record.Name)
	granted := grants(lease, offset, record)
	lease.LastOffset = offset
	switch {
	case record.Release && granted:
		lease.Holder = ""
	case record.Release:
	case record.Era >= lease.Era:
		lease.ExpiresAt = readAt.Add(time.Duration(record.TTLMS) * time.Millisecond)
	}
	if granted && !record.Release {
		lease.Holder = record.Holder
		lease.Incarnation = record.Incarnation
		lease.Fence = fenceOf(offset, record)
		lease.Era = record.Era
	}
	t.leases[record.Name] = lease
	return granted
}

// Skip advances the offset past a record that is not about a lease.
func (t *Table) Skip(offset int64) { t.lastOffset = max(t.lastOffset, offset) }

// grants reports whether a record takes effect. A renewal or release whose claim was trimmed
// before this reader read it counts as in force. A claim from an earlier era than that of the lease
// would have a lower token.
func grants(lease Lease, offset int64, record api.LeaseRecord) bool {
	if record.Era < lease.Era {
		return false
	}
	if record.Fence == NoOffset {
		return !record.Release && lease.LastOffset <= record.Previous
	}
	claimMissed := record.Fence > lease.LastOffset && record.Fence < offset
	inForce := token(record.Era, record.Fence) == lease.Fence && ownedBy(lease, record)
	return inForce || claimMissed
}

func fenceOf(offset int64, record api.LeaseRecord) int64 {
	if record.Fence == NoOffset {
		return token(record.Era, offset)
	}
	return token(record.Era, record.Fence)
}

func ownedBy(lease Lease, record api.LeaseRecord) bool {
	return lease.Holder == record.Holder && lease.Incarnation == record.Incarnation
}
