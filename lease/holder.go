package lease

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Timing holds the durations of a holder, by its own clock.
type Timing struct {
	// TTL is the lifetime of a lease from when its record is read.
	TTL time.Duration
	// Margin is how long before the earliest expiry at any reader the holder stops acting.
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// ClaimJitter is the longest random wait before a free duty is claimed.
	ClaimJitter time.Duration
}

// DefaultTiming returns a timing that costs 0.2 appends per second and duty.
func DefaultTiming() Timing {
	return Timing{
		TTL:           15 * time.Second,
		Margin:        3 * time.Second,
		RenewInterval: 5 * time.Second,
		ClaimJitter:   2 * time.Second,
	}
}

// maxUnwitnessedTTLs bounds how long a holder may have read nothing and still know that nobody else
// has claimed its duty, in lifetimes of a lease.
const maxUnwitnessedTTLs = 2

// Grant is the right to act on a duty.
type Grant struct {
	// Fence is the fencing token.
	Fence int64
	// Until is when the holder stops acting, by its own clock.
	Until time.Time
	// Resumed is set if this holder also held the duty when the log came back from an older copy, and
	// nobody else has held it since.
	Resumed bool
}

// attempt is an append whose record has not been read back yet.
type attempt struct {
	id        string
	startedAt time.Time
}

// duty is the state of a duty that the holder competes for.
type duty struct {
	pending []attempt
	grant   Grant
	held    bool
	// claim is the offset of the claim of the grant, renewedAt when the last record that extended it was
	// written.
	claim     int64
	renewedAt time.Time
	// claimsFrom is when this holder may claim the duty again after it gave it up.
	claimsFrom time.Time
	// resumes is set while the holder, which held the duty in the era before, claims it again.
	resumes bool
	// claimAfter delays the claim of a free duty; zero when no claim is scheduled.
	claimAfter time.Time
	renewAt    time.Time
}

// Holder decides what one node appends to hold its duties, and how long it may act.
// It is owned by one goroutine.
type Holder struct {
	node, incarnation string
	timing            Timing
	table             *Table
	duties            map[string]*duty
	names             []string
	stopped           bool
}

// NewHolder returns a holder that competes for the named duties and holds none yet.
func NewHolder(node, incarnation string, timing Timing, names ...string) *Holder {
	h := &Holder{
		node: node, incarnation: incarnation, timing: timing,
		table: NewTable(), duties: map[string]*duty{}, names: slices.Sorted(slices.Values(names)),
	}
	for _, name := range h.names {
		h.duties[name] = &duty{}
	}
	return h
}

// Table returns the leases that the holder has read.
func (h *Holder) Table() *Table { return h.table }

// Apply applies one record. A grant of this holder is timed from before its append, so
// that it ends before any reader may claim the duty.
func (h *Holder) Apply(offset int64, record api.LeaseRecord, readAt time.Time) {
	granted := h.table.Apply(offset, record, readAt)
	d, tracked := h.duties[record.Name]
	if !tracked {
		return
	}
	lease := h.table.Lease(record.Name)
	if d.held && (lease.Fence != d.grant.Fence || lease.Holder == "") {
		d.held = false
	}
	if lease.Era == h.table.era && !h.isSelf(lease) {
		d.resumes = false
	}
	started, isOwn := d.takePending(record.Attempt)
	if !isOwn || !granted || record.Release || h.stopped {
		return
	}
	if record.Fence == NoOffset {
		d.claim, d.grant = offset, Grant{Fence: lease.Fence, Resumed: d.resumes}
		d.resumes = false
	}
	if until := started.Add(h.timing.TTL - h.timing.Margin); until.After(d.grant.Until) {
		d.grant.Until, d.renewedAt = until, started
	}
	d.held = true
	d.renewAt = started.Add(h.timing.RenewInterval)
}

// isSelf reports whether a lease was granted to this holder.
func (h *Holder) isSelf(lease Lease) bool {
	return lease.Holder == h.node && lease.Incarnation == h.incarnation
}

// EnterEra ends all grants when the log has come back from an older copy, in a higher era: their claims
// may be gone. A duty that this holder held to the end of the era before is claimed again without a wait.
// silentFor is the time since the stream was last read in that era, awake whether this holder has run
// without a pause since.
func (h *Holder) EnterEra(era int64, now time.Time, silentFor time.Duration, awake bool) {
	if era <= h.table.era {
		return
	}
	isNext := era == h.table.era+1
	witnessed := awake && silentFor <= maxUnwitnessedTTLs*h.timing.TTL
	for name, d := range h.duties {
		// Another node could claim the duty only a TTL after it had read the last renewal.
		leased := h.isSelf(h.table.Lease(name)) && (witnessed || now.Before(d.renewedAt.Add(h.timing.TTL)))
		d.resumes = isNext && (leased || (d.resumes && witnessed))
		d.held, d.pending, d.claimAfter = false, nil, time.Time{}
	}
	h.table.enterEra(era, now, h.timing.TTL)
}

// takePending removes a pending append and returns its start time.
func (d *duty) takePending(id string) (time.Time, bool) {
	for i, pending := range d.pending {
		if pending.id == id {
			d.pending = slices.Delete(d.pending, i, i+1)
			return pending.startedAt, true
		}
	}
	return time.Time{}, false
}

// Plan returns the records to append now. newID returns an id for an append, spread a
// random wait below a bound.
func (h *Holder) Plan(now time.Time, newID func() string, jitter func(time.Duration) time.Duration) []api.LeaseRecord {
	if h.stopped {
		return nil
	}
	var records []api.LeaseRecord
	for _, name := range h.names {
		d := h.duties[name]
		d.dropPending(now.Add(-h.timing.TTL))
		claim, due := h.due(name, d, now, jitter)
		if !due {
			continue
		}
		records = append(records, h.record(name, claim, newID(), false))
		d.pending = append(d.pending, attempt{id: records[len(records)-1].Attempt, startedAt: now})
		d.renewAt = now.Add(h.timing.RenewInterval)
		d.claimAfter = time.Time{}
	}
	return records
}

// due reports whether a claim or renewal of a duty is to be appended now, and the offset of the claim
// that is renewed.
func (h *Holder) due(name string, d *duty, now time.Time, jitter func(time.Duration) time.Duration) (int64, bool) {
	if d.held && now.Before(d.grant.Until) {
		return d.claim, !now.Before(d.renewAt)
	}
	d.held = false
	if len(d.pending) > 0 || now.Before(d.claimsFrom) {
		d.claimAfter = time.Time{}
		return NoOffset, false
	}
	if d.resumes {
		return NoOffset, true
	}
	if !h.table.Claimable(name, now) {
		d.claimAfter = time.Time{}
		return NoOffset, false
	}
	if d.claimAfter.IsZero() {
		d.claimAfter = now.Add(jitter(h.timing.ClaimJitter))
	}
	return NoOffset, !now.Before(d.claimAfter)
}

// dropPending drops appends that started before a time; a record of theirs that is read later
// gives this holder no grant.
func (d *duty) dropPending(before time.Time) {
	d.pending = slices.DeleteFunc(d.pending, func(a attempt) bool { return a.startedAt.Before(before) })
}

// Held returns the grants in force at now, by duty.
func (h *Holder) Held(now time.Time) map[string]Grant {
	held := map[string]Grant{}
	for name, d := range h.duties {
		if d.held && now.Before(d.grant.Until) {
			held[name] = d.grant
		}
	}
	return held
}

// Resumes reports whether this holder, which held a duty when the log came back from an older copy, is to
// claim it again.
func (h *Holder) Resumes(name string) bool { return h.duties[name].resumes }

// IsLast reports whether this holder is the last one that is known to have held a duty.
func (h *Holder) IsLast(name string) bool {
	return h.Resumes(name) || h.isSelf(h.table.Lease(name))
}

// GiveUp ends the grant with a fencing token that was refused, and returns the record that releases it;
// ok is false if no such grant is in force. Other nodes may claim the duty at once, this holder after a TTL:
// its next claim has a higher token.
func (h *Holder) GiveUp(name string, fence int64, now time.Time, newID func() string) (record api.LeaseRecord, ok bool) {
	d := h.duties[name]
	if !d.held || d.grant.Fence != fence {
		return api.LeaseRecord{}, false
	}
	d.held, d.pending, d.claimsFrom = false, nil, now.Add(h.timing.TTL)
	return h.record(name, d.claim, newID(), true), true
}

// Stop ends all grants immediately and returns the records that release them.
func (h *Holder) Stop(now time.Time, newID func() string) []api.LeaseRecord {
	var records []api.LeaseRecord
	for _, name := range h.names {
		d := h.duties[name]
		if d.held && now.Before(d.grant.Until) {
			records = append(records, h.record(name, d.claim, newID(), true))
		}
		d.held = false
	}
	h.stopped = true
	return records
}

func (h *Holder) record(name string, claim int64, id string, release bool) api.LeaseRecord {
	return api.LeaseRecord{
		Name:        name,
		Holder:      h.node,
		Incarnation: h.incarnation,
		Attempt:     id,
		TTLMS:       h.timing.TTL.Milliseconds(),
		Era:         h.table.era,
		Fence:       claim,
		Previous:    h.table.LastOffset(),
		Release:     release,
	}
}
