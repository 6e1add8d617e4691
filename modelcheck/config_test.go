package modelcheck_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/examples"
)

// foldRecords returns competing records: two initial patches, two that build on version 1
// and of which one is invalid, and a record that is not a patch.
func foldRecords(t *testing.T) []json.RawMessage {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	patch := func(id string, base int64, body string) json.RawMessage {
		encoded, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{
			ID: id, BaseVersion: base, RuleSet: config.CurrentRuleSet,
			Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(body), Author: id,
		}})
		require.NoError(t, err)
		return encoded
	}
	return []json.RawMessage{
		patch("a", 0, string(deployment.Configuration)),
		patch("b", 0, string(deployment.Configuration)),
		patch("c", 1, `{"deployment":"c"}`),
		patch("d", 1, `{"no_such_field":1}`),
		json.RawMessage(`{"lease":null}`),
	}
}

// TestFoldExhaustive folds every log of 4 records at one node in order, and at another
// that reads the log again from the start after each record.
func TestFoldExhaustive(t *testing.T) {
	t.Parallel()
	records := foldRecords(t)
	logs := 0
	var extend func(log []json.RawMessage)
	extend = func(log []json.RawMessage) {
		if len(log) == 4 {
			logs++
			checkFold(t, log)
			return
		}
		for _, record := range records {
			extend(append(log[:len(log):len(log)], record))
		}
	}
	extend(nil)
	t.Logf("%d logs", logs)
}

func checkFold(t *testing.T, log []json.RawMessage) {
	t.Helper()
	inOrder, rereading := config.Empty(), config.Empty()
	accepted := map[int64]bool{}
	verdicts := map[string]api.PatchVerdict{}
	for offset, data := range log {
		stored := api.StoredRecord{Offset: int64(offset), Data: data}
		before := inOrder.Version
		inOrder = fold(t, inOrder, stored)
		require.GreaterOrEqual(t, inOrder.Version, before)
		require.LessOrEqual(t, inOrder.Version, before+1)
		for earlier := range offset + 1 {
			rereading = fold(t, rereading, api.StoredRecord{Offset: int64(earlier), Data: log[earlier]})
		}
		for _, verdict := range inOrder.Verdicts() {
			known, seen := verdicts[verdict.ID]
			require.True(t, !seen || known == verdict, "a verdict changed")
			verdicts[verdict.ID] = verdict
		}
	}
	require.Equal(t, inOrder, rereading)
	for _, verdict := range inOrder.Verdicts() {
		if verdict.Verdict == api.PatchVerdictVerdictAccepted {
			require.False(t, accepted[verdict.Version], "two patches were accepted for one version")
			accepted[verdict.Version] = true
		}
	}
}

func fold(t *testing.T, s *config.State, stored api.StoredRecord) *config.State {
	t.Helper()
	next, err := config.Fold(s, stored)
	require.NoError(t, err)
	return next
}
