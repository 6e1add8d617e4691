// Package memory keeps one account of the memory that other parties make a process hold: bodies, answers,
// heads and messages. Room is reserved before it is used.
package memory

import (
	"errors"
	"sync"
	"time"
)

const (
	// SmallBytes is the size in bytes up to which a request is admitted as long as there is any room: the
	// long bodies of a busy owner must not keep out the short ones of others, or its own.
	SmallBytes = 128 << 10
	// freeMultiple bounds what one owner holds to a multiple of the free room. A single owner gets two
	// thirds of the budget, two get two fifths each, and there is always some for one more.
	freeMultiple = 2
	// stallTime is how long an upload may make no progress before others may take its room.
	stallTime = time.Second
)

// Errors of a reservation.
var (
	// ErrFull means that the account has no room, or that the owner has its share.
	ErrFull = errors.New("no room in memory")
	// ErrYielded means that an upload stalled and its room was given to others.
	ErrYielded = errors.New("upload stalled while others needed its room")
	// ErrTooLarge means that more bytes came than the limit allows.
	ErrTooLarge = errors.New("larger than its limit")
)

// Stats of an account.
type Stats struct {
	// Budget and Reserved are in bytes.
	Budget, Reserved int64
	// Denied counts reservations without room, Yielded the uploads that gave way.
	Denied, Yielded uint64
}

// Account is the memory of a process that other parties fill. It is safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	stats    Stats
	byOwner  map[string]int64
	uploads  map[*Reservation]struct{}
	released chan struct{}
}

// New returns an account of a budget in bytes.
func New(budget int64) *Account {
	return &Account{
		stats: Stats{Budget: budget}, byOwner: map[string]int64{}, uploads: map[*Reservation]struct{}{},
		released: make(chan struct{}),
	}
}

// Stats returns the current state.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Reservation is what one request, connection or message holds. Two attempts of a request may use it at the same
// time; an upload belongs to one goroutine.
type Reservation struct {
	account *Account
	owner   string
	// smallFirst is set if the owner's share does not apply up to SmallBytes.
	smallFirst bool
	bytes      int64
	// interrupt ends the read of an upload; nil if it is none. The fields below belong to an upload.
	interrupt  func()
	progressAt time.Time
	yielded    bool
}

// Open returns an empty reservation of a workspace's request.
func (a *Account) Open(workspace string) *Reservation {
	return &Reservation{account: a, owner: workspace, smallFirst: true}
}

// OpenShared returns an empty reservation that shares one owner's part with all of its kind, however small
// it is.
func (a *Account) OpenShared(kind string) *Reservation {
	return &Reservation{account: a, owner: "kind " + kind}
}

// BeginUpload makes the reservation that of an upload, which yields its room if it stalls: interrupt is called
// under the account's lock and must end its read.
func (r *Reservation) BeginUpload(interrupt func(), now time.Time) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.interrupt, r.progressAt = interrupt, now
	r.account.uploads[r] = struct{}{}
}

// Progress records that bytes of the upload arrived.
func (r *Reservation) Progress(now time.Time) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.progressAt = now
}

// EndUpload ends the upload, and reports whether it was complete before its room was given to others. The room
// stays reserved.
func (r *Reservation) EndUpload() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.uploads, r)
	return !r.yielded
}

// TryGrow reserves more bytes. Without room it makes stalled uploads yield, whose room is free only once their
// requests have ended, and returns ErrFull; freed is closed at the next release, and nil if nobody yields.
func (r *Reservation) TryGrow(bytes int64, now time.Time) (freed <-chan struct{}, err error) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.yielded {
		return nil, ErrYielded
	}
	if a.fits(r, bytes) {
		r.bytes += bytes
		a.stats.Reserved += bytes
		a.byOwner[r.owner] += bytes
		return nil, nil
	}
	if a.reclaim(r, bytes, now) {
		return a.released, ErrFull
	}
	a.stats.Denied++
	return nil, ErrFull
}

func (a *Account) fits(r *Reservation, bytes int64) bool {
	free := a.stats.Budget - a.stats.Reserved
	if bytes > free {
		return false
	}
	return (r.smallFirst && r.bytes+bytes <= SmallBytes) || a.byOwner[r.owner]+bytes <= freeMultiple*(free-bytes)+bytes
}

// reclaim makes stalled uploads yield, the largest first, until they hold what is wanted; it reports whether any
// has yielded and still holds its room.
func (a *Account) reclaim(wanting *Reservation, bytes int64, now time.Time) bool {
	held := int64(0)
	for upload := range a.uploads {
		if upload.yielded {
			held += upload.bytes
		}
	}
	for held < bytes {
		var largest *Reservation
		for upload := range a.uploads {
			stalled := upload != wanting && !upload.yielded && now.Sub(upload.progressAt) > stallTime
			if stalled && upload.bytes > 0 && (largest == nil || upload.bytes > largest.bytes) {
				largest = upload
			}
		}
		if largest == nil {
			break
		}
		largest.yielded = true
		largest.interrupt()
		a.stats.Yielded++
		held += largest.bytes
	}
	return held > 0
}

// Shrink gives back a part of the room.
func (r *Reservation) Shrink(bytes int64) {
	if bytes == 0 {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	r.bytes -= bytes
	a.stats.Reserved -= bytes
	if a.byOwner[r.owner] -= bytes; a.byOwner[r.owner] == 0 {
		delete(a.byOwner, r.owner)
	}
	close(a.released)
	a.released = make(chan struct{})
}

// Release gives back all room; the reservation may grow again.
func (r *Reservation) Release() {
	r.EndUpload()
	r.Shrink(r.Bytes())
}

// Bytes returns what is reserved.
func (r *Reservation) Bytes() int64 {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.bytes
}
