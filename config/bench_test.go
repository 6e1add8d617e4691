package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/examples"
)

// patchesPerDay is the number of configuration changes per day at the design size.
const patchesPerDay = 18_000

// replayTarget bounds the time to replay one day of patches.
const replayTarget = time.Second

// record returns a stored patch.
func record(t testing.TB, offset int64, patch api.ConfigPatch) api.StoredRecord {
	t.Helper()
	data, err := json.Marshal(api.Record{Patch: &patch})
	require.NoError(t, err)
	return api.StoredRecord{Offset: offset, Data: data}
}

// mergePatch returns a merge patch with the current rule set.
func mergePatch(id string, base int64, document string) api.ConfigPatch {
	return api.ConfigPatch{
		ID: id, BaseVersion: base, RuleSet: config.CurrentRuleSet, Format: api.ConfigPatchFormatMerge,
		Patch: json.RawMessage(document), Author: "operator",
	}
}

// firstPatch returns the patch that creates version 1 of a deployment.
func firstPatch(t testing.TB) api.ConfigPatch {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	return mergePatch("first", 0, string(deployment.Configuration))
}

// dayOfPatches returns the records of one day: one patch in ten is stale, the others change
// the weight of a workspace or the first-token target of a service.
func dayOfPatches(t testing.TB) []api.StoredRecord {
	t.Helper()
	records := []api.StoredRecord{record(t, 0, firstPatch(t))}
	version := int64(1)
	for i := 1; i <= patchesPerDay; i++ {
		patch := fmt.Sprintf(`{"workspaces":{"incident-review":{"weight":%d}}}`, i%50+1)
		if i%3 == 0 {
			patch = fmt.Sprintf(`{"services":{"review":{"first_token_target_ms":%d}}}`, 900+i%100)
		}
		base := version
		if i%10 == 0 {
			base--
		} else {
			version++
		}
		records = append(records, record(t, int64(i), mergePatch(fmt.Sprintf("patch-%d", i), base, patch)))
	}
	return records
}

func BenchmarkReplayOfADay(b *testing.B) {
	records := dayOfPatches(b)
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
		require.Equal(b, int64(1+patchesPerDay*9/10), state.Version, "%v", state.Verdicts()[0])
	}
	perReplay := b.Elapsed() / time.Duration(b.N)
	b.ReportMetric(float64(perReplay.Microseconds())/patchesPerDay, "us/patch")
	if perReplay > replayTarget {
		b.Errorf("a day's patches take %v, the target is %v", perReplay, replayTarget)
	}
}

// BenchmarkFoldByWorkspaces measures the cost of one patch at different sizes of the
// configuration.
func BenchmarkFoldByWorkspaces(b *testing.B) {
	for _, workspaces := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			state := manyWorkspaces(b, workspaces)
			stored := record(b, state.Offset, mergePatch("next", state.Version, `{"workspaces":{"w-1":{"weight":7}}}`))
			b.ReportAllocs()
			for b.Loop() {
				next, err := config.Fold(state, stored)
				if err != nil || next.Version != state.Version+1 {
					b.Fatal(err, next.Version)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the cost of a snapshot with a full window of verdicts.
func BenchmarkSnapshot(b *testing.B) {
	state := config.Empty()
	for _, stored := range dayOfPatches(b)[:5000] {
		next, err := config.Fold(state, stored)
		require.NoError(b, err)
		state = next
	}
	bytes := 0
	for b.Loop() {
		snapshot, err := state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		encoded, err := json.Marshal(api.Record{Snapshot: &snapshot})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(encoded)
	}
	b.ReportMetric(float64(bytes), "bytes")
}

// manyWorkspaces returns a state with count additional workspaces.
func manyWorkspaces(b *testing.B, count int) *config.State {
	b.Helper()
	state, err := config.Fold(config.Empty(), record(b, 0, firstPatch(b)))
	require.NoError(b, err)
	workspaces := map[string]api.Workspace{}
	for i := range count {
		workspaces[fmt.Sprint("w-", i)] = api.Workspace{Weight: 1, KeyHashes: []string{config.HashKey(fmt.Sprint(i))}}
	}
	document, err := json.Marshal(map[string]any{"workspaces": workspaces})
	require.NoError(b, err)
	state, err = config.Fold(state, record(b, 1, mergePatch("many", 1, string(document))))
	require.NoError(b, err)
	require.EqualValues(b, 2, state.Version, "%v", state.Verdicts())
	return state
}
