// Package config folds the config stream of the platform's log into numbered
// versions of the configuration. The verdict on a patch is a function of the log
// alone, so every node and every build agrees on it.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/persimmonline/persimmonline/api"
)

// RuleSet1 is the first set of validation rules. A change to what Validate accepts,
// or to the schema of the configuration, needs a new number.
const RuleSet1 = 1

// CurrentRuleSet is the rule set that this build writes into new patches.
const CurrentRuleSet = RuleSet1

// maxVerdicts bounds the verdicts that a state remembers. A repeat of an accepted
// patch that is older than this is stale all the same, by its base version.
const maxVerdicts = 4096

// ErrUnknownRuleSet says that a record needs a newer build. The fold must stop
// before it, since guessing would make builds disagree.
var ErrUnknownRuleSet = errors.New("record needs a rule set that this build does not know")

// State is the fold of the config stream up to Offset. It is immutable.
type State struct {
	// Offset of the next record to fold.
	Offset int64
	// Version of the configuration; 0 means that there is none yet.
	Version int64
	// Raw is the configuration as canonical JSON.
	Raw json.RawMessage
	// Config is the configuration; nil at version 0.
	Config *api.Configuration
	// Verdicts of recent patches, oldest first.
	Verdicts []api.PatchVerdict
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{Raw: json.RawMessage(`{}`)}
}

// Verdict returns the verdict on a patch id, if it is remembered.
func (s *State) Verdict(id string) (api.PatchVerdict, bool) {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].ID == id {
			return s.Verdicts[i], true
		}
	}
	return api.PatchVerdict{}, false
}

// Fold returns the state after one stored record of the config stream. A record
// below the state's offset changes nothing. Records that are not patches, or that
// can't be read, are passed over. The only error is ErrUnknownRuleSet.
func Fold(s *State, stored api.StoredRecord) (*State, error) {
	if stored.Offset < s.Offset {
		return s, nil
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
	if patch.RuleSet != RuleSet1 {
		return s, fmt.Errorf("fold offset %d, rule set %d: %w", stored.Offset, patch.RuleSet, ErrUnknownRuleSet)
	}
	verdict := decide(&next, patch)
	verdict.ID = patch.ID
	verdict.Author = patch.Author
	verdict.Offset = stored.Offset
	verdict.Version = next.Version
	next.Verdicts = appendVerdict(s.Verdicts, verdict)
	return &next, nil
}

// readPatch returns the patch of a record; nil when there is none that can be read.
func readPatch(data json.RawMessage) *api.ConfigPatch {
	var record api.Record
	if err := json.Unmarshal(data, &record); err != nil {
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
	raw, parsed, err := Apply(next.Raw, patch.Format, patch.Patch)
	if err != nil {
		return api.PatchVerdict{Verdict: api.PatchVerdictVerdictInvalid, Reason: err.Error()}
	}
	next.Version++
	next.Raw = raw
	next.Config = parsed
	return api.PatchVerdict{Verdict: api.PatchVerdictVerdictAccepted}
}

// Apply returns the configuration after a patch, as canonical JSON and parsed.
// The error names the field at fault.
func Apply(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage) (json.RawMessage, *api.Configuration, error) {
	changed, err := applyPatch(raw, format, patch)
	if err != nil {
		return nil, nil, fmt.Errorf("apply %s patch: %w", format, err)
	}
	canonical, err := canonicalJSON(changed)
	if err != nil {
		return nil, nil, fmt.Errorf("read patched configuration: %w", err)
	}
	parsed, err := Parse(canonical)
	if err != nil {
		return nil, nil, err
	}
	if err := Validate(parsed); err != nil {
		return nil, nil, err
	}
	return canonical, parsed, nil
}

// Parse reads a configuration and refuses fields that the schema does not have.
func Parse(raw json.RawMessage) (*api.Configuration, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var parsed api.Configuration
	if err := decoder.Decode(&parsed); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return &parsed, nil
}

func applyPatch(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage) ([]byte, error) {
	switch format {
	case api.ConfigPatchFormatMerge:
		return jsonpatch.MergePatch(raw, patch)
	case api.ConfigPatchFormatJSON:
		operations, err := jsonpatch.DecodePatch(patch)
		if err != nil {
			return nil, err
		}
		return operations.Apply(raw)
	default:
		return nil, fmt.Errorf("format: %q is not merge or json", format)
	}
}

// canonicalJSON sorts keys and keeps numbers as they are written.
func canonicalJSON(raw []byte) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// appendVerdict copies, since older states share the slice.
func appendVerdict(verdicts []api.PatchVerdict, verdict api.PatchVerdict) []api.PatchVerdict {
	if len(verdicts) >= maxVerdicts {
		verdicts = verdicts[len(verdicts)-maxVerdicts+1:]
	}
	copied := make([]api.PatchVerdict, len(verdicts), len(verdicts)+1)
	copy(copied, verdicts)
	return append(copied, verdict)
}
