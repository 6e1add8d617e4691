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

// ErrUnknownRuleSet is returned for a record that needs a newer build. The fold must stop
// before it, since builds would otherwise disagree on the result.
var ErrUnknownRuleSet = errors.New("record needs a rule set that this build does not know")

// ErrGap is returned if records between the state and a record are missing. The offsets of
// a stream are consecutive, so the fold must not continue without them.
var ErrGap = errors.New("records of the config stream are missing")

// State is the fold of the config stream up to Offset. It is immutable.
type State struct {
	// Offset of the next record to fold.
	Offset int64
	// Version of the configuration; 0 if there is none yet.
	Version int64
	// Config is the configuration; nil at version 0.
	Config *api.Configuration

	document *document
	verdicts *window
	// ruleSet is the rule set under which the full document is valid; 0 if unknown.
	ruleSet int
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{document: emptyDocument(), verdicts: &window{}}
}

// CanonicalJSON returns the configuration as canonical JSON: keys sorted, numbers as written.
func (s *State) CanonicalJSON() (json.RawMessage, error) { return s.document.raw() }

// Verdict returns the verdict on a patch id, if it is still retained.
func (s *State) Verdict(id string) (api.PatchVerdict, bool) { return s.verdicts.find(id) }

// Verdicts returns the retained verdicts, oldest first.
func (s *State) Verdicts() []api.PatchVerdict { return s.verdicts.list() }

// Fold returns the state after one stored record of the config stream. A record below the
// state's offset was folded before and has no effect. Records that are not patches or
// can't be decoded are skipped. On ErrGap and ErrUnknownRuleSet, the only errors, the
// state is returned unchanged.
func Fold(s *State, stored api.StoredRecord) (*State, error) {
	if stored.Offset < s.Offset {
		return s, nil
	}
	if stored.Offset > s.Offset {
		return s, fmt.Errorf("fold offset %d after offset %d: %w", stored.Offset, s.Offset-1, ErrGap)
	}
	next := *s
	next.Offset = stored.Offset + 1
	patch := decodePatch(stored.Data)
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

// decodePatch returns the patch of a record; nil if there is no valid one.
func decodePatch(data json.RawMessage) *api.ConfigPatch {
	var record api.Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil
	}
	if record.Patch == nil || record.Patch.ID == "" {
		return nil
	}
	return record.Patch
}

// decide returns the verdict on a patch, and applies the patch to next if it is accepted.
func decide(next *State, patch *api.ConfigPatch) api.PatchVerdict {
	if patch.BaseVersion != next.Version {
		reason := fmt.Sprintf("patch is against version %d, version %d is in force", patch.BaseVersion, next.Version)
		return api.PatchVerdict{Verdict: api.PatchVerdictVerdictStale, Reason: reason}
	}
	changed, err := patchConfig(next, patch)
	if err != nil {
		return api.PatchVerdict{Verdict: api.PatchVerdictVerdictInvalid, Reason: err.Error()}
	}
	next.Version++
	next.document = changed.document
	next.Config = changed.config
	next.ruleSet = patch.RuleSet
	return api.PatchVerdict{Verdict: api.PatchVerdictVerdictAccepted}
}

// patchedConfig is the result of applying a patch.
type patchedConfig struct {
	document *document
	config   *api.Configuration
}

// patchConfig applies a patch to the entries that it touches or, if that is not possible or
// fails, to the full configuration. Both ways give the same result; the errors are always
// those of the latter.
func patchConfig(s *State, patch *api.ConfigPatch) (patchedConfig, error) {
	rules := ruleSets[patch.RuleSet]
	if s.ruleSet == patch.RuleSet {
		if result, ok := patchEntries(s, patch, rules); ok {
			return result, nil
		}
	}
	raw, err := s.CanonicalJSON()
	if err != nil {
		return patchedConfig{}, fmt.Errorf("read configuration: %w", err)
	}
	return patchDocument(raw, patch.Format, patch.Patch, rules)
}

// CheckPatch applies a patch to a raw configuration under the current rule set, without folding
// it, and returns the error. The error names the invalid fields.
func CheckPatch(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage) error {
	_, err := patchDocument(raw, format, patch, ruleSets[CurrentRuleSet])
	return err
}

// patchDocument applies a patch to the full configuration.
func patchDocument(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage, rules rules) (patchedConfig, error) {
	patched, err := applyPatch(raw, format, patch, rules)
	if err != nil {
		return patchedConfig{}, fmt.Errorf("apply %s patch: %w", format, err)
	}
	canonical, value, err := canonicalJSON(patched)
	if err != nil {
		return patchedConfig{}, fmt.Errorf("read patched configuration: %w", err)
	}
	if err := rules.checkForm(canonical, value); err != nil {
		return patchedConfig{}, err
	}
	parsed, err := Parse(canonical)
	if err != nil {
		return patchedConfig{}, err
	}
	if err := Validate(parsed); err != nil {
		return patchedConfig{}, err
	}
	return patchedConfig{document: newDocument(canonical), config: parsed}, nil
}
