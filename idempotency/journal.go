package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// JournalVerdict is the holder's decision on a call of an operation.
type JournalVerdict int

// Verdicts of a journal.
const (
	// JournalRun means that the call is to be sent now, once.
	JournalRun JournalVerdict = iota
	// JournalRunning means that the call is in progress.
	JournalRunning
	// JournalReplay means that the first answer is known.
	JournalReplay
	// JournalUnknown means that the call may have run and its answer is unavailable.
	JournalUnknown
	// JournalKeyReused means that the id was used for another call.
	JournalKeyReused
	// JournalExpired means that the id is too old for a first call.
	JournalExpired
	// JournalSealed means that this node is stopping and no longer sends operations.
	JournalSealed
	// JournalNotHeld means that this node does not hold the operation.
	JournalNotHeld
)

// holding is what a node may do with the operations of a holder.
type holding struct {
	// mayRun allows operations that are not in the journal to run.
	mayRun bool
}

// JournalBounds bound a journal.
type JournalBounds struct {
	// Entries bounds the retained entries; the oldest are evicted first.
	Entries int
	// AnswerBytes bounds the retained answers; the oldest are evicted first.
	AnswerBytes int
}

// record is an operation in the journal.
type record struct {
	entry  api.OperationEntry
	holder Holder
	issued time.Time
}

// Journal holds the operations that one incarnation may send: its own and those of
// incarnations that handed theirs over. It is not safe for concurrent use.
type Journal struct {
	bounds         JournalBounds
	self           Holder
	sealed         bool
	holdings       map[Holder]holding
	successors     map[Holder]Holder
	records        map[string]*record
	insertionOrder []string
	answerOrder    []string
	answerBytes    int
	// evictedThrough is the issue time up to which operations may have been evicted.
	evictedThrough time.Time
}

// NewJournal returns the empty journal of an incarnation.
func NewJournal(self Holder, bounds JournalBounds) *Journal {
	return &Journal{
		bounds:     bounds,
		self:       self,
		holdings:   map[Holder]holding{self: {mayRun: true}},
		successors: map[Holder]Holder{},
		records:    map[string]*record{},
	}
}

// HolderOf returns the current holder of an operation, as far as known to this node.
func (j *Journal) HolderOf(operation Operation) Holder {
	holder := operation.Holder
	for range len(j.successors) {
		if _, here := j.holdings[holder]; here {
			return j.self
		}
		next, handed := j.successors[holder]
		if !handed {
			return holder
		}
		holder = next
	}
	if _, here := j.holdings[holder]; here {
		return j.self
	}
	return holder
}

// Begin decides on a call. After JournalRun the caller must send it, then call
// Finish, or RevertUnsent when no byte of it can have been sent.
func (j *Journal) Begin(operation Operation, fingerprint string, now time.Time) (JournalVerdict, *api.ServiceAnswer) {
	if known, ok := j.records[operation.ID]; ok {
		return verdictOf(&known.entry, fingerprint)
	}
	held, ok := j.holdings[operation.Holder]
	switch {
	case !ok:
		return JournalNotHeld, nil
	case j.sealed:
		return JournalSealed, nil
	case !held.mayRun:
		return JournalUnknown, nil
	case now.Sub(operation.IssuedAt) > OperationLifetime || !operation.IssuedAt.After(j.evictedThrough):
		return JournalExpired, nil
	}
	j.add(operation.Holder, operation.IssuedAt, api.OperationEntry{
		Operation:   operation.ID,
		Fingerprint: fingerprint,
		State:       api.OperationEntryStateRunning,
		AtMS:        operation.IssuedAt.UnixMilli(),
	})
	return JournalRun, nil
}

func verdictOf(entry *api.OperationEntry, fingerprint string) (JournalVerdict, *api.ServiceAnswer) {
	switch {
	case entry.Fingerprint != fingerprint:
		return JournalKeyReused, nil
	case entry.State == api.OperationEntryStateRunning:
		return JournalRunning, nil
	case entry.State == api.OperationEntryStateFinished && entry.Answer != nil:
		return JournalReplay, entry.Answer
	default:
		return JournalUnknown, nil
	}
}

// Finish ends a call that was sent; answer is nil when its outcome is unknown.
func (j *Journal) Finish(id string, answer *api.ServiceAnswer) {
	known, ok := j.records[id]
	if !ok || known.entry.State != api.OperationEntryStateRunning {
		return
	}
	known.entry.State = api.OperationEntryStateUnknown
	if answer != nil {
		known.entry.State = api.OperationEntryStateFinished
		known.entry.Answer = answer
		j.retainAnswer(id, answer)
	}
}

// retainAnswer records an answer and evicts the oldest ones above the bound; an evicted answer
// leaves an unknown outcome.
func (j *Journal) retainAnswer(id string, answer *api.ServiceAnswer) {
	j.answerOrder = append(j.answerOrder, id)
	j.answerBytes += len(answer.Body)
	for j.answerBytes > j.bounds.AnswerBytes && len(j.answerOrder) > 1 {
		oldest, ok := j.records[j.answerOrder[0]]
		j.answerOrder = j.answerOrder[1:]
		if ok && oldest.entry.Answer != nil {
			j.answerBytes -= len(oldest.entry.Answer.Body)
			oldest.entry.Answer = nil
			oldest.entry.State = api.OperationEntryStateUnknown
		}
	}
}

// RevertUnsent removes a call of which no byte was sent, so that it may be attempted again.
func (j *Journal) RevertUnsent(id string) {
	if known, ok := j.records[id]; ok && known.entry.State == api.OperationEntryStateRunning {
		delete(j.records, id)
	}
}

// add stores a record and evicts the oldest ones above the bound.
func (j *Journal) add(holder Holder, issued time.Time, entry api.OperationEntry) {
	j.records[entry.Operation] = &record{entry: entry, holder: holder, issued: issued}
	j.insertionOrder = append(j.insertionOrder, entry.Operation)
	for len(j.records) > j.bounds.Entries {
		oldest, ok := j.records[j.insertionOrder[0]]
		delete(j.records, j.insertionOrder[0])
		j.insertionOrder = j.insertionOrder[1:]
		if ok {
			j.evictedThrough = latest(j.evictedThrough, oldest.issued)
			if oldest.entry.Answer != nil {
				j.answerBytes -= len(oldest.entry.Answer.Body)
			}
		}
	}
}

// Running returns the number of running operations.
func (j *Journal) Running() int {
	running := 0
	for _, known := range j.records {
		if known.entry.State == api.OperationEntryStateRunning {
			running++
		}
	}
	return running
}
