package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// ErrSnapshotHash is returned for a corrupt snapshot.
var ErrSnapshotHash = errors.New("snapshot hash does not match its content")

// Snapshot returns the state as a snapshot from which a new node can start.
func (s *State) Snapshot() (api.ConfigSnapshot, error) {
	raw, err := s.CanonicalJSON()
	if err != nil {
		return api.ConfigSnapshot{}, fmt.Errorf("encode configuration: %w", err)
	}
	snapshot := api.ConfigSnapshot{
		Offset:   s.Offset,
		Version:  s.Version,
		State:    raw,
		Verdicts: s.Verdicts(),
	}
	hash, err := snapshotHash(snapshot)
	if err != nil {
		return api.ConfigSnapshot{}, err
	}
	snapshot.Hash = hash
	return snapshot, nil
}

// FromSnapshot verifies the hash and the configuration of a snapshot and returns its state.
func FromSnapshot(snapshot api.ConfigSnapshot) (*State, error) {
	hash, err := snapshotHash(snapshot)
	if err != nil {
		return nil, err
	}
	if hash != snapshot.Hash {
		return nil, fmt.Errorf("snapshot of version %d: %w", snapshot.Version, ErrSnapshotHash)
	}
	state := &State{
		Offset:   snapshot.Offset,
		Version:  snapshot.Version,
		document: newDocument(snapshot.State),
		verdicts: windowOf(snapshot.Verdicts),
	}
	if state.Version == 0 {
		return state, nil
	}
	state.Config, err = Parse(snapshot.State)
	if err != nil {
		return nil, fmt.Errorf("snapshot of version %d: %w", snapshot.Version, err)
	}
	return state, nil
}

// Newer returns the state that has folded more of the stream; the version never decreases.
// A late snapshot of a writer that was paused is older and thus has no effect.
func Newer(a, b *State) *State {
	if b.Offset > a.Offset && b.Version >= a.Version {
		return b
	}
	return a
}

func snapshotHash(snapshot api.ConfigSnapshot) (string, error) {
	snapshot.Hash = ""
	state, _, err := canonicalJSON(snapshot.State)
	if err != nil {
		return "", fmt.Errorf("read state of snapshot: %w", err)
	}
	snapshot.State = state
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return "", fmt.Errorf("encode snapshot: %w", err)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:]), nil
}

// snapshotRecords is the number of records after which a snapshot is due.
const snapshotRecords = 256

// SnapshotMark describes the newest snapshot in the log.
type SnapshotMark struct {
	// Offset of the first record that is not in the snapshot.
	Offset int64
	// At is when the snapshot was written.
	At time.Time
}

// SnapshotDue reports whether a snapshot of the state should be written: after a number of
// records, and after an interval even without records, since snapshots expire too.
func SnapshotDue(s *State, last SnapshotMark, now time.Time, interval time.Duration) bool {
	if s.Version == 0 {
		return false
	}
	return s.Offset-last.Offset >= snapshotRecords || now.Sub(last.At) >= interval
}

// ApplyTransfer returns the state after a transfer from a peer. Records are folded like
// those of the log. A snapshot is verified by its hash; an older one has no effect.
func ApplyTransfer(s *State, transfer api.ConfigTransfer) (*State, error) {
	if transfer.Snapshot != nil {
		received, err := FromSnapshot(*transfer.Snapshot)
		if err != nil {
			return s, err
		}
		return Newer(s, received), nil
	}
	for _, stored := range transfer.Records {
		next, err := Fold(s, stored)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}
