package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/examples"
)

// patchesADay is the number of configuration changes on a day at the size to design for.
const patchesADay = 18_000

// record returns a stored patch.
func record(t testing.TB, offset int64, patch api.ConfigPatch) api.StoredRecord {
	t.Helper()
	data, err := json.Marshal(api.Record{Patch: &patch})
	require.NoError(t, err)
	return api.StoredRecord{Offset: offset, Data: data}
}

// mergePatch returns a merge patch under the current rules.
func mergePatch(id string, base int64, document string) api.ConfigPatch {
	return api.ConfigPatch{
		ID: id, BaseVersion: base, RuleSet: config.CurrentRuleSet, Format: api.ConfigPatchFormatMerge,
		Patch: json.RawMessage(document), Author: "operator",
	}
}

// firstPatch returns the patch that makes version 1 of a deployment.
func firstPatch(t testing.TB) api.ConfigPatch {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	return mergePatch("first", 0, string(deployment.Configuration))
}

// day returns the records of a day: one patch in ten is stale, the rest change a
// workspace's weight or a route's priority.
func day(t testing.TB) []api.StoredRecord {
	t.Helper()
	records := []api.StoredRecord{record(t, 0, firstPatch(t))}
	version := int64(1)
	for i := 1; i <= patchesADay; i++ {
		document := fmt.Sprintf(`{"workspaces":{"incident-review":{"weight":%d}}}`, i%50+1)
		if i%3 == 0 {
			document = fmt.Sprintf(`{"services":{"review":{"first_token_target_ms":%d}}}`, 900+i%100)
		}
		base := version
		if i%10 == 0 {
			base--
		} else {
			version++
		}
		records = append(records, record(t, int64(i), mergePatch(fmt.Sprintf("patch-%d", i), base, document)))
	}
	return records
}

func BenchmarkReplayOfADay(b *testing.B) {
	records := day(b)
	b.ReportAllocs()
	for b.Loop() {
		state := config.Empty()
		for _, stored := range records {
			next, err := config.Fold(state, stored)
			if err != nil {
				b.Fatal(err)
			}
			state = next
		}
		require.Equal(b, int64(1+patchesADay*9/10), state.Version, "%v", state.Verdicts()[0])
	}
}
