package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// maxPartClaims bounds the claims in one part of a checkpoint.
const maxPartClaims = 500

// partialCheckpoint assembles a checkpoint from its parts.
type partialCheckpoint struct {
	id       string
	nextPart int
	claims   []api.CheckpointClaim
}

// Checkpoint returns the records that carry all claims forward, to be appended
// together; none when the table is incomplete, since they would hide the gap.
func (t *Table) Checkpoint(id string) []api.Record {
	if !t.Complete() {
		return nil
	}
	var claims []api.CheckpointClaim
	for _, key := range t.insertionOrder {
		known, ok := t.entries[key]
		if !ok || known.state == released {
			continue
		}
		claims = append(claims, checkpointClaim(key, known))
	}
	parts := max(1, (len(claims)+maxPartClaims-1)/maxPartClaims)
	records := make([]api.Record, parts)
	for i := range records {
		from := i * maxPartClaims
		to := min(from+maxPartClaims, len(claims))
		records[i].ClaimCheckpoint = &api.ClaimCheckpoint{
			ID: id, Through: t.lastOffset, Part: i, Parts: parts,
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

// applyCheckpoint restores the claims that were trimmed before this reader started. A
// complete table has all of them already.
func (t *Table) applyCheckpoint(part api.ClaimCheckpoint, readAt time.Time) {
	if t.Complete() {
		return
	}
	if part.Part == 0 {
		t.checkpoint = partialCheckpoint{id: part.ID}
	}
	if part.ID != t.checkpoint.id || part.Part != t.checkpoint.nextPart {
		t.checkpoint = partialCheckpoint{}
		return
	}
	t.checkpoint.nextPart++
	t.checkpoint.claims = append(t.checkpoint.claims, part.Claims...)
	if t.checkpoint.nextPart < part.Parts {
		return
	}
	claims := t.checkpoint.claims
	t.checkpoint = partialCheckpoint{}
	t.merge(claims, readAt)
	if t.gapEnd <= part.Through+1 {
		t.complete = len(t.entries) <= t.bounds.Entries && t.evicted == 0
	}
}

func (t *Table) merge(claims []api.CheckpointClaim, readAt time.Time) {
	for _, claim := range claims {
		known, ok := t.entries[ID(claim.ID)]
		if ok && (known.certain || known.attempt == claim.Attempt) {
			known.certain = true
			continue
		}
		added := &entry{
			fingerprint: claim.Fingerprint, attempt: claim.Attempt, state: claimed,
			certain: true, atMS: claim.AtMS, readAt: readAt,
		}
		if claim.Finished {
			added.state = finished
			added.outcome = &api.Outcome{Status: claim.Status}
		}
		t.put(ID(claim.ID), added)
	}
}
