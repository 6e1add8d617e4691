// Package lease decides who holds a control duty, from the records of the log stream
// `leases`. It is pure: it has no clock, no randomness and opens no connection.
//
// Whether a claim is granted is a function of the log alone: a claim names the offset
// through which its writer had read, and is void if a record of the same duty lies
// between. Clocks decide only when a claim may be tried, and for how long a holder
// may act.
package lease

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// None is the offset that stands for no record.
const None int64 = -1

// Lease is the state of one duty as a reader of the stream knows it.
type Lease struct {
	// Holder is the node id; empty when the duty is free.
	Holder string
	// Incarnation of the holder.
	Incarnation string
	// Fence is the fencing number: the offset of the granted claim.
	Fence int64
	// Last is the offset of the last record of the duty, granted or not.
	Last int64
	// QuietUntil is when the duty may be claimed unless further records come: a whole
	// life after the last claim or renewal was read, by the reader's clock.
	QuietUntil time.Time
}

// Table holds the leases of all duties. One goroutine owns it.
type Table struct {
	leases map[string]Lease
	// through is the offset through which the stream was read.
	through int64
	// unknownUntil holds back claims after records were missed.
	unknownUntil time.Time
}

// NewTable returns the table before the first record.
func NewTable() *Table { return &Table{leases: map[string]Lease{}, through: None} }

// Through returns the offset through which the stream was read; None for no record.
func (t *Table) Through() int64 { return t.through }

// Lease returns the state of a duty.
func (t *Table) Lease(name string) Lease {
	lease, ok := t.leases[name]
	if !ok {
		return Lease{Fence: None, Last: None, QuietUntil: t.unknownUntil}
	}
	return lease
}

// Free says whether a duty may be claimed at now.
func (t *Table) Free(name string, now time.Time) bool {
	lease := t.Lease(name)
	if now.Before(t.unknownUntil) {
		return false
	}
	return lease.Holder == "" || !now.Before(lease.QuietUntil)
}

// Missed notes that the records below an offset were trimmed before they were read.
// A holder whose records are among them may act for one more life.
func (t *Table) Missed(below int64, readAt time.Time, life time.Duration) {
	if below <= t.through+1 {
		return
	}
	t.through = below - 1
	t.unknownUntil = readAt.Add(life)
}

// Apply folds one record in log order, read at readAt. It returns whether the record
// took effect. A record that was read before is a duplicate and changes nothing.
func (t *Table) Apply(offset int64, record api.LeaseRecord, readAt time.Time) bool {
	if offset <= t.through {
		return false
	}
	t.through = offset
	lease := t.Lease(record.Name)
	granted := grants(lease, offset, record)
	lease.Last = offset
	switch {
	case record.Release && granted:
		lease.Holder = ""
	case record.Release:
	default:
		lease.QuietUntil = readAt.Add(time.Duration(record.TTLMS) * time.Millisecond)
	}
	if granted && !record.Release {
		lease.Holder = record.Holder
		lease.Incarnation = record.Incarnation
		lease.Fence = fenceOf(offset, record)
	}
	t.leases[record.Name] = lease
	return granted
}

// Skip notes that a record was read which is not of a lease.
func (t *Table) Skip(offset int64) { t.through = max(t.through, offset) }

// grants says whether a record takes effect.
func grants(lease Lease, offset int64, record api.LeaseRecord) bool {
	if record.Fence == None {
		return !record.Release && lease.Last <= record.Previous
	}
	unread := record.Fence > lease.Last && record.Fence < offset
	inForce := record.Fence == lease.Fence && ownedBy(lease, record)
	return inForce || unread
}

func fenceOf(offset int64, record api.LeaseRecord) int64 {
	if record.Fence == None {
		return offset
	}
	return record.Fence
}

func ownedBy(lease Lease, record api.LeaseRecord) bool {
	return lease.Holder == record.Holder && lease.Incarnation == record.Incarnation
}
