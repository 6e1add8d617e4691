// Package lease decides who holds a control duty, from the records of the log stream
// `leases`. It is pure: it has no clock, no randomness and opens no connection.
//
// Whether a claim is granted is a function of the log alone: a claim carries the offset
// through which its writer had read, and is void if a record of the same duty lies in
// between. Clocks decide only when a claim may be attempted, and for how long a holder
// may act.
package lease

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// NoOffset stands for the absence of a record.
const NoOffset int64 = -1

// Lease is the state of one duty in the view of a reader of the stream.
type Lease struct {
	// Holder is the node id; empty when the duty is free.
	Holder string
	// Incarnation of the holder.
	Incarnation string
	// Fence is the fencing number: the offset of the granted claim.
	Fence int64
	// LastOffset is the offset of the last record of the duty, granted or not.
	LastOffset int64
	// ExpiresAt is when the duty may be claimed unless further records are read: a full
	// TTL after the last claim or renewal was read, by the reader's clock.
	ExpiresAt time.Time
}

// Table holds the leases of all duties. It is owned by one goroutine.
type Table struct {
	leases map[string]Lease
	// lastOffset is the offset through which the stream has been read.
	lastOffset int64
	// noClaimsUntil is when claims are allowed again after records were missed.
	noClaimsUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: map[string]Lease{}, lastOffset: NoOffset} }

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
	default:
		lease.ExpiresAt = readAt.Add(time.Duration(record.TTLMS) * time.Millisecond)
	}
	if granted && !record.Release {
		lease.Holder = record.Holder
		lease.Incarnation = record.Incarnation
		lease.Fence = fenceOf(offset, record)
	}
	t.leases[record.Name] = lease
	return granted
}

// Skip advances the offset past a record that is not about a lease.
func (t *Table) Skip(offset int64) { t.lastOffset = max(t.lastOffset, offset) }

// grants reports whether a record takes effect. A renewal or release whose claim was trimmed
// before this reader read it counts as in force.
func grants(lease Lease, offset int64, record api.LeaseRecord) bool {
	if record.Fence == NoOffset {
		return !record.Release && lease.LastOffset <= record.Previous
	}
	claimMissed := record.Fence > lease.LastOffset && record.Fence < offset
	inForce := record.Fence == lease.Fence && ownedBy(lease, record)
	return inForce || claimMissed
}

func fenceOf(offset int64, record api.LeaseRecord) int64 {
	if record.Fence == NoOffset {
		return offset
	}
	return record.Fence
}

func ownedBy(lease Lease, record api.LeaseRecord) bool {
	return lease.Holder == record.Holder && lease.Incarnation == record.Incarnation
}
