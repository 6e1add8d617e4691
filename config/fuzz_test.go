package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
)

// FuzzPatch checks that any patch has the same result by entries and on the full
// configuration.
func FuzzPatch(f *testing.F) {
	for _, document := range []string{
		`{"workspaces":{"incident-review":{"weight":7}}}`,
		`{"workspaces":{"incident-review":{"weight":7,"weight":8}},"workspaces":{"shift-summary":{"weight":2}}}`,
		`{"services":{"new":{"kind":"plain","operations":[{"method":"GET","path":"/x","repeatable":true,"hedge":null}]}}}`,
		`{"policy":{"cost_weight":1e400}}`, `{"policy":{"cost_weight":-0.0}}`, `{"policy":null,"deployment":null}`,
		`{"routes":{"\ud800":{}}}`, `{"operators":{"<&>":{"key_hashes":[]}}}`, `{"Policy":{"retry_ratio":1}}`, `[[[]]]`, `"x"`,
	} {
		f.Add(false, 2, []byte(document))
		f.Add(false, 1, []byte(document))
	}
	for _, document := range []string{
		`[{"op":"replace","path":"/workspaces/incident-review/weight","value":3}]`,
		`[{"op":"copy","from":"/workspaces/incident-review","path":"/workspaces/twin"}]`,
		`[{"op":"move","from":"","path":"/policy"}]`, `[{"op":"remove","path":"/services/review/operations/-1"}]`,
		`[{"op":"add","path":"/policy/x","PATH":"/routes/y","value":1}]`, `[{"op":"test","path":"/policy","value":null}]`,
		`[{"op":"add","path":"/workspaces/a~1b","value":{}}]`, `[{"op":"add"}]`, `[null]`, `[{}]`, `{}`,
	} {
		f.Add(true, 2, []byte(document))
	}
	state := base(f)
	f.Fuzz(func(t *testing.T, operations bool, ruleSet int, document []byte) {
		if !json.Valid(document) || !KnownRuleSet(ruleSet) {
			t.Skip()
		}
		format := api.ConfigPatchFormatMerge
		if operations {
			format = api.ConfigPatchFormatJSON
		}
		// Fold a patch under the same rule set first, so that patching by entries is possible.
		ready := fold(t, state, &api.ConfigPatch{
			ID: "ready", BaseVersion: 1, RuleSet: ruleSet, Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(`{"policy":{"cost_weight":2}}`),
		})
		requireSameAsFullPatch(t, ready, &api.ConfigPatch{
			ID: "fuzzed", BaseVersion: 2, RuleSet: ruleSet, Format: format, Patch: document,
		})
	})
}

// FuzzRecord checks that any record is folded, skipped or stops the fold, and that the
// version increases by at most one.
func FuzzRecord(f *testing.F) {
	for _, record := range []string{
		`{"patch":{"id":"a","base_version":1,"rule_set":2,"format":"merge","patch":{"policy":{"cost_weight":2}}}}`,
		`{"patch":{"id":"a","base_version":1,"rule_set":99}}`, `{"patch":{"id":"","base_version":1}}`, `{"patch":null}`,
		`{"patch":{"id":"a","base_version":1,"rule_set":2,"format":"json"}}`, `{"snapshot":{}}`, `7`, ``, `{`, `{"patch":{"id":7}}`,
		`{"patch":{"id":"a","base_version":1,"rule_set":2,"format":"merge"}}`,
	} {
		f.Add([]byte(record))
	}
	state := base(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		next, err := Fold(state, api.StoredRecord{Offset: state.Offset, Data: data})
		if err != nil {
			require.ErrorIs(t, err, ErrUnknownRuleSet)
			require.Same(t, state, next)
			return
		}
		require.Equal(t, state.Offset+1, next.Offset)
		require.LessOrEqual(t, next.Version-state.Version, int64(1))
		again, err := Fold(next, api.StoredRecord{Offset: state.Offset, Data: data})
		require.NoError(t, err)
		require.Same(t, next, again)
	})
}

// FuzzSnapshot checks that any snapshot that is accepted results in the same snapshot again.
func FuzzSnapshot(f *testing.F) {
	snapshot, err := base(f).Snapshot()
	require.NoError(f, err)
	encoded, err := json.Marshal(snapshot)
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte(`{"version":1,"state":{},"hash":""}`))
	f.Add([]byte(`{"version":-1,"offset":-5,"state":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var received api.ConfigSnapshot
		if json.Unmarshal(data, &received) != nil {
			t.Skip()
		}
		state, err := FromSnapshot(received)
		if err != nil {
			return
		}
		again, err := state.Snapshot()
		require.NoError(t, err)
		require.Equal(t, received.Hash, again.Hash)
	})
}
