// Package fleet keeps which upstreams exist and which may get new work, from the
// records of the platform's registry. It is pure; one goroutine owns a Registry.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/pacing"
)

const (
	// drainShare is the part of the bound on draining in which an upstream gets work after the
	// notice; the rest is for requests that are on their way to it.
	drainShare = 0.8
	// servedShare times the bound on draining is the time in which some node has read the registry
	// as long as it serves any: nodes that went by a hub begin to read within two thirds of it.
	servedShare = 1.25
	// lapseGrace is how long an entry that vanished in an outage of the registry may
	// take to come back, by the platform's word (about two seconds).
	lapseGrace = 2 * time.Second
)

// Entry is what an upstream says of itself in the registry.
type Entry struct {
	// ID of the upstream, which a later process may use again.
	ID string
	// BornMS is when the process started, Unix milliseconds; it names the incarnation.
	BornMS int64
	// Service that it serves.
	Service string
	// Address is IP:port.
	Address string
	// DataCentre it runs in.
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining says that it is leaving.
	Draining bool
	// Reclaimable upstreams may be taken away on notice.
	Reclaimable bool
	// TimeLeft is the time that is left to it; 0 when unknown.
	TimeLeft time.Duration
	// Sequence rises with each heartbeat of one incarnation.
	Sequence int64
	// Offset of the entry's record in the registry; later records have higher ones.
	Offset int64
}

// Upstream is one incarnation of an upstream as this node believes it to be.
type Upstream struct {
	Entry
	// SeenAt is when the entry was last read.
	SeenAt time.Time
	// LeavingAt is when this node learned that it leaves; zero when it does not.
	LeavingAt time.Time
	// usableUntil is when it gets no work any more because it leaves.
	usableUntil time.Time
	// LapsedAt is when its entry vanished in an outage; zero when it has not.
	LapsedAt time.Time

	// Key names the incarnation.
	Key string

	// changed is the registry's version at the last change.
	changed int64
}

// Key names an incarnation of an upstream.
func Key(id string, bornMS int64) string { return id + "/" + strconv.FormatInt(bornMS, 10) }

// Change is a change of what is believed of an upstream.
type Change struct {
	// Upstream after the change.
	Upstream Upstream
	// Kind changed.
	Kind ChangeKind
}

// ChangeKind became of an upstream.
type ChangeKind string

// What may become of an upstream.
const (
	// Added: it may get work.
	Added ChangeKind = "added"
	// Draining: it leaves and gets no new work.
	Draining ChangeKind = "draining"
	// Lapsed: its entry vanished while the registry could not be read.
	Lapsed ChangeKind = "lapsed"
	// Restored: a lapsed entry is there again.
	Restored ChangeKind = "back"
	// Removed: it does not exist any more.
	Removed ChangeKind = "gone"
	// Replaced: another incarnation has its id.
	Replaced ChangeKind = "replaced"
)

// Registry holds the upstreams by id.
type Registry struct {
	upstreams map[string]*Upstream
	// gone holds the incarnations that left, so that a late entry or a peer's older
	// news does not bring them back.
	gone        map[string]goneIncarnation
	outageEnded time.Time
	outage      bool
	// servedAt is when another node last read the registry in this node's outage, servedGap the
	// longest time in the outage in which none did.
	servedAt  time.Time
	servedGap time.Duration
	// outageBegan is when this node last read the registry before its outage.
	outageBegan time.Time
	// currentAt is when the registry was read last, drainBound the platform's bound on draining.
	currentAt  time.Time
	drainBound time.Duration
	// version rises with each change that readers of this registry must be told.
	version int64
	// forgotten is the version up to which removals are forgotten.
	forgotten int64
	// sorted and hash are of the present version; sorted is nil after a change.
	sorted []*Upstream
	hash   uint64
}

// touch notes a change of an upstream and returns its version.
func (r *Registry) touch() int64 {
	r.version++
	r.sorted = nil
	return r.version
}

// order returns the upstreams sorted by id.
func (r *Registry) order() []*Upstream {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted, r.hash = make([]*Upstream, 0, len(r.upstreams)), 0
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		known := r.upstreams[id]
		r.sorted = append(r.sorted, known)
		r.hash ^= xxhash.Sum64String(known.Key)
	}
	return r.sorted
}

// goneIncarnation is an upstream whose entry was removed.
type goneIncarnation struct {
	bornMS   int64
	sequence int64
	left     bool
	at       time.Time
	// changed is the registry's version at the removal.
	changed int64
	// offset up to which the registry was known when the entry was gone; -1 if unknown.
	offset int64
}

// supersedes says whether an entry is older than the removal. An upstream that was
// only silent comes back with a later heartbeat; one that announced its leaving doesn't.
func (g goneIncarnation) supersedes(entry Entry) bool {
	if entry.Offset < g.offset {
		return true
	}
	if entry.BornMS != g.bornMS {
		return entry.BornMS < g.bornMS
	}
	return g.left || entry.Sequence <= g.sequence
}

// goneMemory is how long an incarnation that left is remembered.
const goneMemory = time.Minute

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, gone: map[string]goneIncarnation{}}
}

// SetOutage notes that the registry can't be read, or can be read again.
func (r *Registry) SetOutage(active bool, now time.Time) {
	switch {
	case active && !r.outage:
		r.outageBegan, r.servedAt, r.servedGap = r.currentAt, r.currentAt, 0
	case r.outage && !active && r.mayHaveLapsed(now):
		r.outageEnded = now
	}
	r.outage = active
}

// ApplyPeerRead notes that another node had read all of the registry up to a time. In an outage
// of this node alone upstreams write on, and no entry lapses.
func (r *Registry) ApplyPeerRead(at time.Time) {
	if r.outage && at.After(r.servedAt) {
		r.servedGap = max(r.servedGap, at.Sub(r.servedAt))
		r.servedAt = at
	}
}

// mayHaveLapsed says whether entries may have vanished in the present outage though their
// upstreams live.
func (r *Registry) mayHaveLapsed(now time.Time) bool {
	alone := r.servedAt.After(r.outageBegan) &&
		max(r.servedGap, now.Sub(r.servedAt)) < time.Duration(servedShare*float64(r.drainBound))
	return r.outage && !alone
}

// Put takes an entry of an upstream.
func (r *Registry) Put(entry Entry, now time.Time) []Change {
	if gone, ok := r.gone[entry.ID]; ok && gone.supersedes(entry) {
		return nil
	}
	known := r.upstreams[entry.ID]
	if known != nil && older(entry, known.Entry) {
		return nil
	}
	if known == nil || known.BornMS != entry.BornMS || known.Address != entry.Address {
		return r.add(known, entry, now)
	}
	leavingAt, lapsed := known.LeavingAt, !known.LapsedAt.IsZero()
	if known.Slots != entry.Slots || known.Reclaimable != entry.Reclaimable || known.Service != entry.Service ||
		known.DataCentre != entry.DataCentre || known.Draining != entry.Draining {
		known.changed = r.touch()
	}
	known.Entry, known.SeenAt, known.LapsedAt = entry, now, time.Time{}
	switch {
	case !leavingAt.IsZero():
		known.Draining = true
		return nil
	case entry.Draining:
		r.leave(known, now)
		return []Change{{Upstream: *known, Kind: Draining}}
	case lapsed:
		return []Change{{Upstream: *known, Kind: Restored}}
	}
	return nil
}

// older says whether an entry was written before another of the same id.
func older(entry, known Entry) bool {
	if entry.BornMS != known.BornMS {
		return entry.BornMS < known.BornMS
	}
	return entry.Sequence < known.Sequence
}

func (r *Registry) add(known *Upstream, entry Entry, now time.Time) []Change {
	var changes []Change
	if known != nil {
		changes = append(changes, Change{Upstream: *known, Kind: Replaced})
	}
	added := &Upstream{Entry: entry, SeenAt: now, Key: Key(entry.ID, entry.BornMS), changed: r.touch()}
	if entry.Draining {
		r.leave(added, now)
	}
	r.upstreams[entry.ID] = added
	return append(changes, Change{Upstream: *added, Kind: Added})
}

// MarkLeaving notes that an incarnation leaves, as a peer has read.
func (r *Registry) MarkLeaving(id string, bornMS int64, now time.Time) []Change {
	known := r.upstreams[id]
	if known == nil || known.BornMS != bornMS || !known.LeavingAt.IsZero() {
		return nil
	}
	r.leave(known, now)
	known.Draining, known.changed = true, r.touch()
	return []Change{{Upstream: *known, Kind: Draining}}
}

// leave notes that an upstream leaves, as this node learns now. It may have said so just after
// the registry was read last.
func (r *Registry) leave(known *Upstream, now time.Time) {
	known.LeavingAt, known.usableUntil = now, now.Add(pacing.LeavingGracePeriod)
	if latest := r.currentAt.Add(time.Duration(drainShare * float64(r.drainBound))); !r.currentAt.IsZero() && latest.Before(known.usableUntil) {
		known.usableUntil = latest
	}
}

// SetCurrent notes that all that was written up to a time is known, and the time after a notice in
// which an upstream may get work.
func (r *Registry) SetCurrent(at time.Time, drainBound time.Duration) {
	r.currentAt, r.drainBound = at, drainBound
}

// Remove takes the removal of an entry, by the record at an offset. Within the grace after an
// outage the entry may have lapsed while its upstream lives.
func (r *Registry) Remove(id string, offset int64, now time.Time) []Change {
	known := r.upstreams[id]
	if known == nil {
		return nil
	}
	recent := r.mayHaveLapsed(now) || (!r.outageEnded.IsZero() && now.Sub(r.outageEnded) < lapseGrace)
	if recent && known.LeavingAt.IsZero() {
		if !known.LapsedAt.IsZero() {
			return nil
		}
		known.LapsedAt = now
		return []Change{{Upstream: *known, Kind: Lapsed}}
	}
	return r.drop(known, offset, now)
}

// unknownOffset is the offset of a removal that was not read in the registry.
const unknownOffset = -1

func (r *Registry) drop(known *Upstream, offset int64, now time.Time) []Change {
	delete(r.upstreams, known.ID)
	r.gone[known.ID] = goneIncarnation{
		bornMS: known.BornMS, sequence: known.Sequence, left: known.Leaving(), at: now, offset: offset,
		changed: r.touch(),
	}
	return []Change{{Upstream: *known, Kind: Removed}}
}

// Replace takes the whole registry as it was up to an offset: what is missing is removed,
// but for entries that were written later.
func (r *Registry) Replace(entries []Entry, upTo int64, now time.Time) []Change {
	present := map[string]bool{}
	var changes []Change
	for _, entry := range entries {
		present[entry.ID] = true
		changes = append(changes, r.Put(entry, now)...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if !present[id] && r.upstreams[id].Offset <= upTo {
			changes = append(changes, r.Remove(id, upTo, now)...)
		}
	}
	return changes
}

// Tick drops entries that lapsed in an outage and did not come back in time.
func (r *Registry) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		known := r.upstreams[id]
		if known.LapsedAt.IsZero() || r.outage || now.Sub(r.outageEnded) < lapseGrace {
			continue
		}
		changes = append(changes, r.drop(known, unknownOffset, now)...)
	}
	for id, gone := range r.gone {
		if now.Sub(gone.at) > goneMemory {
			r.forgotten = max(r.forgotten, gone.changed)
			delete(r.gone, id)
		}
	}
	return changes
}

// Upstreams returns copies of all upstreams, sorted by id.
func (r *Registry) Upstreams() []Upstream {
	all := make([]Upstream, 0, len(r.upstreams))
	for _, known := range r.order() {
		all = append(all, *known)
	}
	return all
}

// Changes are what a reader of a registry that stands at an earlier version misses.
type Changes struct {
	// Version of the registry with the changes.
	Version int64
	// Full says that Upstreams are all there are.
	Full bool
	// Hash of the identities of all upstreams.
	Hash uint64
	// Upstreams that were added or changed.
	Upstreams []Upstream
	// Removed upstreams.
	Removed []Removal
}

// ChangesSince returns what has changed since a version; everything if that is 0 or too old.
func (r *Registry) ChangesSince(since int64) Changes {
	all := r.order()
	whole := since <= 0 || since < r.forgotten || since > r.version
	changes := Changes{Version: r.version, Full: whole, Hash: r.hash}
	for _, known := range all {
		if whole || known.changed > since {
			changes.Upstreams = append(changes.Upstreams, *known)
		}
	}
	for id, gone := range r.gone {
		if !whole && gone.changed > since {
			changes.Removed = append(changes.Removed, Removal{ID: id, BornMS: gone.bornMS, Sequence: gone.sequence})
		}
	}
	return changes
}

// Hash returns a hash of the identities of all upstreams.
func (r *Registry) Hash() uint64 {
	r.order()
	return r.hash
}

// Removal is an incarnation whose entry was removed.
type Removal struct {
	// ID and BornMS name the incarnation.
	ID     string
	BornMS int64
	// Sequence of the entry that was removed.
	Sequence int64
}

// LeavingSince returns the upstreams that leave, and those whose entries were removed since a time.
func (r *Registry) LeavingSince(since time.Time) (leaving []Upstream, removed []Removal) {
	for _, known := range r.upstreams {
		if known.Leaving() {
			leaving = append(leaving, *known)
		}
	}
	for id, gone := range r.gone {
		if !gone.at.Before(since) {
			removed = append(removed, Removal{ID: id, BornMS: gone.bornMS, Sequence: gone.sequence})
		}
	}
	return leaving, removed
}

// ApplyPeerRemoval takes the removal of an entry that a peer has read: it may be read here
// only later. What is newer than the removal stays.
func (r *Registry) ApplyPeerRemoval(removal Removal, now time.Time) []Change {
	known := r.upstreams[removal.ID]
	if known == nil || known.BornMS != removal.BornMS || known.Sequence > removal.Sequence {
		return nil
	}
	return r.drop(known, unknownOffset, now)
}

// ResetOffsets notes that the registry's records are numbered anew.
func (r *Registry) ResetOffsets() {
	for _, known := range r.upstreams {
		known.Offset = unknownOffset
	}
	for id, gone := range r.gone {
		gone.offset = unknownOffset
		r.gone[id] = gone
	}
}

// Leaving says whether the upstream must not get new work that another can take.
func (u *Upstream) Leaving() bool { return !u.LeavingAt.IsZero() }

// UsableAt says whether the upstream may get new work at all.
func (u *Upstream) UsableAt(now time.Time) bool {
	return u.LeavingAt.IsZero() || now.Before(u.usableUntil)
}
