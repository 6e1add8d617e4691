// Package config folds the config stream of the platform's log into numbered
// versions of the configuration. The verdict on a patch is a function of the log
// alone, so every node and every build agrees on it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/persimmonline/persimmonline/api"
)

// ErrUnknownRuleSet says that a record needs a newer build. The fold must stop
// before it, since guessing would make builds disagree.
var ErrUnknownRuleSet = errors.New("record needs a rule set that this build does not know")

// ErrGap says that records between the state and a record are missing. The offsets of
// a stream are consecutive, so the fold must not go on without them.
var ErrGap = errors.New("records of the config stream are missing")

// State is the fold of the config stream up to Offset. It is immutable.
type State struct {
	// Offset of the next record to fold.
	Offset int64
	// Version of the configuration; 0 means that there is none yet.
	Version int64
	// Config is the configuration; nil at version 0.
	Config *api.Configuration

	document *document
	verdicts *window
	// rules is the rule set that accepted the document whole; 0 when that is not known.
	rules int
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{document: emptyDocument(), verdicts: &window{}}
}

// CanonicalJSON returns the configuration as canonical JSON: keys sorted, numbers as written.
func (s *State) CanonicalJSON() (json.RawMessage, error) { return s.document.raw() }

// Verdict returns the verdict on a patch id, if it is remembered.
func (s *State) Verdict(id string) (api.PatchVerdict, bool) { return s.verdicts.find(id) }

// Verdicts returns the remembered verdicts, oldest first.
func (s *State) Verdicts() []api.PatchVerdict { return s.verdicts.list() }

// Fold returns the state after one stored record of the config stream. A record
// below the state's offset was folded before and changes nothing. Records that are
// not patches, or that can't be read, are passed over. The errors are ErrGap and
// ErrUnknownRuleSet; the state is then unchanged.
func Fold(s *State, stored api.StoredRecord) (*State, error) {
	if stored.Offset < s.Offset {
		return s, nil
	}
	if stored.Offset > s.Offset {
		return s, fmt.Errorf("fold offset %d after offset %d: %w", stored.Offset, s.Offset-1, ErrGap)
	}
	next := *s
	next.Offset = stored.Offset + 1
	patch := readPatch(stored.Data)
	if patch == nil {
		return &next, nil
	}
	if _, seen := s.Verdict(patch.ID); seen {
		return &next, nil
	}
	if !KnownRuleSet(patch.RuleSet) {
		return s, fmt.Errorf("fold offset %d, rule set %d: %w", stored.Offset, patch.RuleSet, ErrUnknownRuleSet)
	}
	verdict := decide(&next, patch)
	verdict.ID = patch.ID
	verdict.Author = patch.Author
	verdict.Offset = stored.Offset
	verdict.Version = next.Version
	next.verdicts = s.verdicts.append(verdict)
	return &next, nil
}

// readPatch returns the patch of a record; nil when there is none that can be read.
func readPatch(data json.RawMessage) *api.ConfigPatch {
	var record api.Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil
	}
	if record.Patch == nil || record.Patch.ID == "" {
		return nil
	}
	return record.Patch
}

// decide applies the patch to next if it is accepted.
func decide(next *State, patch *api.ConfigPatch) api.PatchVerdict {
	if patch.BaseVersion != next.Version {
		reason := fmt.Sprintf("patch is against version %d, version %d is in force", patch.BaseVersion, next.Version)
		return api.PatchVerdict{Verdict: api.PatchVerdictVerdictStale, Reason: reason}
	}
	changed, err := change(next, patch)
	if err != nil {
		return api.PatchVerdict{Verdict: api.PatchVerdictVerdictInvalid, Reason: err.Error()}
	}
	next.Version++
	next.document = changed.document
	next.Config = changed.config
	next.rules = patch.RuleSet
	return api.PatchVerdict{Verdict: api.PatchVerdictVerdictAccepted}
}

// changed is a configuration after a patch.
type changed struct {
	document *document
	config   *api.Configuration
}

// change applies a patch to the entries that it touches and, where that is not
// possible or finds a fault, to the whole configuration. Both give the same
// configuration; the whole one words the faults.
func change(s *State, patch *api.ConfigPatch) (changed, error) {
	rules := ruleSets[patch.RuleSet]
	if s.rules == patch.RuleSet {
		if quick, ok := changeEntries(s, patch, rules); ok {
			return quick, nil
		}
	}
	raw, err := s.CanonicalJSON()
	if err != nil {
		return changed{}, fmt.Errorf("read configuration: %w", err)
	}
	return changeWhole(raw, patch.Format, patch.Patch, rules)
}

// Check returns the faults that the current rules find in a patch of a raw
// configuration, without folding it. The error names the fields at fault.
func Check(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage) error {
	_, err := changeWhole(raw, format, patch, ruleSets[CurrentRuleSet])
	return err
}

// changeWhole applies a patch to the whole configuration.
func changeWhole(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage, rules rules) (changed, error) {
	patched, err := applyPatch(raw, format, patch, rules)
	if err != nil {
		return changed{}, fmt.Errorf("apply %s patch: %w", format, err)
	}
	canonical, value, err := canonicalJSON(patched)
	if err != nil {
		return changed{}, fmt.Errorf("read patched configuration: %w", err)
	}
	if err := rules.checkForm(canonical, value); err != nil {
		return changed{}, err
	}
	parsed, err := Parse(canonical)
	if err != nil {
		return changed{}, err
	}
	if err := Validate(parsed); err != nil {
		return changed{}, err
	}
	return changed{document: newDocument(canonical), config: parsed}, nil
}
