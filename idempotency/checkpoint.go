package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// checkpointPart is the number of claims in one part of a checkpoint.
const checkpointPart = 500

// checkpointParts collects the parts of a checkpoint.
type checkpointParts struct {
	id    string
	next  int
	known []api.CheckpointClaim
}

// Checkpoint returns the records that carry all claims forward, to be appended
// together; none when the table is not complete, since they would hide the gap.
func (t *Table) Checkpoint(id string) []api.Record {
	if !t.Complete() {
		return nil
	}
	var claims []api.CheckpointClaim
	for _, key := range t.order {
		known, ok := t.entries[key]
		if !ok || known.state == released {
			continue
		}
		claims = append(claims, checkpointClaim(key, known))
	}
	parts := max(1, (len(claims)+checkpointPart-1)/checkpointPart)
	records := make([]api.Record, parts)
	for i := range records {
		from := i * checkpointPart
		to := min(from+checkpointPart, len(claims))
		records[i].ClaimCheckpoint = &api.ClaimCheckpoint{
			ID: id, Through: t.through, Part: i, Parts: parts,
			Claims: append([]api.CheckpointClaim{}, claims[from:to]...),
		}
	}
	return records
}

func checkpointClaim(id ID, known *entry) api.CheckpointClaim {
	claim := api.CheckpointClaim{
		ID: string(id), Fingerprint: known.fingerprint, Attempt: known.attempt,
		AtMS: known.atMS, Finished: known.state == finished,
	}
	if known.outcome != nil {
		claim.Status = known.outcome.Status
	}
	return claim
}

// applyCheckpoint fills what was trimmed before this reader came. A complete table
// knows all of it already.
func (t *Table) applyCheckpoint(part api.ClaimCheckpoint, readAt time.Time) {
	if t.Complete() {
		return
	}
	if part.Part == 0 {
		t.checkpoint = checkpointParts{id: part.ID}
	}
	if part.ID != t.checkpoint.id || part.Part != t.checkpoint.next {
		t.checkpoint = checkpointParts{}
		return
	}
	t.checkpoint.next++
	t.checkpoint.known = append(t.checkpoint.known, part.Claims...)
	if t.checkpoint.next < part.Parts {
		return
	}
	claims := t.checkpoint.known
	t.checkpoint = checkpointParts{}
	t.merge(claims, readAt)
	if t.gapEnds <= part.Through+1 {
		t.complete = len(t.entries) <= t.bounds.Entries && t.dropped == 0
	}
}

func (t *Table) merge(claims []api.CheckpointClaim, readAt time.Time) {
	for _, claim := range claims {
		known, ok := t.entries[ID(claim.ID)]
		if ok && (known.sure || known.attempt == claim.Attempt) {
			known.sure = true
			continue
		}
		added := &entry{
			fingerprint: claim.Fingerprint, attempt: claim.Attempt, state: claimed,
			sure: true, atMS: claim.AtMS, readAt: readAt,
		}
		if claim.Finished {
			added.state = finished
			added.outcome = &api.Outcome{Status: claim.Status}
		}
		t.put(ID(claim.ID), added)
	}
}
