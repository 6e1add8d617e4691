package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
)

// Use a fixed seed, so that random tests are reproducible; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

// base returns the state after the first patch of a deployment.
func base(t require.TestingT) *State {
	raw, err := os.ReadFile("../examples/falaj/deployment.json")
	require.NoError(t, err)
	var deployment api.Deployment
	require.NoError(t, json.Unmarshal(raw, &deployment))
	state := fold(t, Empty(), &api.ConfigPatch{
		ID: "first", RuleSet: CurrentRuleSet, Format: api.ConfigPatchFormatMerge, Patch: deployment.Configuration,
	})
	require.EqualValues(t, 1, state.Version, "%v", state.Verdicts())
	return state
}

func fold(t require.TestingT, s *State, patch *api.ConfigPatch) *State {
	data, err := json.Marshal(api.Record{Patch: patch})
	require.NoError(t, err)
	next, err := Fold(s, api.StoredRecord{Offset: s.Offset, Data: data})
	require.NoError(t, err)
	return next
}

// values holds valid and invalid values that a patch may set.
var values = []string{
	`1`, `2.50`, `0`, `-1`, `null`, `"x"`, `true`, `{}`, `[]`, `[null]`, `{"weight":3}`, `{"weight":null,"burst":4}`,
	`{"key_hashes":[],"weight":1,"requests_per_second":0,"burst":0,"concurrency":0,"tokens_per_second":0}`,
	`{"workspace":"incident-review","service":"review","priority":1}`,
	`{"kind":"plain","operations":[{"method":"GET","path":"/x","repeatable":true}]}`,
	`{"kind":"plain","operations":[{"method":"GET","path":"/x","repeatable":true,"hedge":null}]}`,
	`{"key_hashes":["8296472c"]}`, `"incident-review"`, `["nizwa"]`, `{"WEIGHT":7}`,
}

var (
	fieldNames = []string{"workspaces", "services", "routes", "machine_classes", "operators", "policy", "deployment", "Workspaces", "extra"}
	entryNames = []string{"incident-review", "review", "rakes", "new", "New", "incident-review-review", "spot-a", "on-call", ""}
	leafNames  = []string{"weight", "burst", "priority", "first_token_target_ms", "kind", "key_hashes", "operations", "latency_weight", "wieght", "Weight", "service"}
)

func drawMerge(t *rapid.T) json.RawMessage {
	fields := map[string]any{}
	for range rapid.IntRange(1, 2).Draw(t, "fields") {
		field := rapid.SampledFrom(fieldNames).Draw(t, "field")
		value := json.RawMessage(rapid.SampledFrom(values).Draw(t, "value"))
		entry := rapid.SampledFrom(entryNames).Draw(t, "entry")
		switch rapid.IntRange(0, 4).Draw(t, "depth") {
		case 0:
			fields[field] = value
		case 1:
			fields[field] = map[string]any{entry: value}
		default:
			fields[field] = map[string]any{entry: map[string]any{rapid.SampledFrom(leafNames).Draw(t, "leaf"): value}}
		}
	}
	encoded, err := json.Marshal(fields)
	require.NoError(t, err)
	return encoded
}

func drawOperations(t *rapid.T) json.RawMessage {
	pointer := func(label string) string {
		path := "/" + rapid.SampledFrom(fieldNames).Draw(t, label+" field")
		depth := rapid.IntRange(0, 4).Draw(t, label+" depth")
		if depth > 0 {
			path += "/" + rapid.SampledFrom(entryNames).Draw(t, label+" entry")
		}
		if depth > 1 {
			path += "/" + rapid.SampledFrom(leafNames).Draw(t, label+" leaf")
		}
		return path
	}
	var operations []map[string]any
	for range rapid.IntRange(1, 3).Draw(t, "operations") {
		operation := map[string]any{
			"op":   rapid.SampledFrom([]string{"add", "replace", "remove", "copy", "move", "test"}).Draw(t, "op"),
			"path": pointer("path"), "value": json.RawMessage(rapid.SampledFrom(values).Draw(t, "value")),
		}
		if rapid.Bool().Draw(t, "has from") {
			operation["from"] = rapid.SampledFrom([]string{"", pointer("from")}).Draw(t, "from")
		}
		operations = append(operations, operation)
	}
	encoded, err := json.Marshal(operations)
	require.NoError(t, err)
	return encoded
}

func drawPatch(t *rapid.T, s *State, n int) *api.ConfigPatch {
	patch := &api.ConfigPatch{
		ID: fmt.Sprint("patch-", n), BaseVersion: s.Version,
		RuleSet: rapid.SampledFrom([]int{RuleSet1, RuleSet2, RuleSet2, RuleSet2}).Draw(t, "rule set"),
		Format:  rapid.SampledFrom([]api.ConfigPatchFormat{"merge", "merge", "json", "other"}).Draw(t, "format"),
	}
	patch.Patch = drawMerge(t)
	if patch.Format == api.ConfigPatchFormatJSON {
		patch.Patch = drawOperations(t)
	}
	return patch
}

// requireSameAsFullPatch folds a patch and compares the result with that of patching the
// full configuration.
func requireSameAsFullPatch(t require.TestingT, s *State, patch *api.ConfigPatch) *State {
	before, err := s.CanonicalJSON()
	require.NoError(t, err)
	full, fullErr := patchDocument(before, patch.Format, patch.Patch, ruleSets[patch.RuleSet])
	next := fold(t, s, patch)
	verdict, known := next.Verdict(patch.ID)
	require.True(t, known)
	got, err := next.CanonicalJSON()
	require.NoError(t, err)
	if fullErr != nil {
		require.Equal(t, api.PatchVerdictVerdictInvalid, verdict.Verdict, "%s: %v", patch.Patch, fullErr)
		require.Equal(t, fullErr.Error(), verdict.Reason)
		require.Equal(t, string(before), string(got))
		return next
	}
	require.Equal(t, api.PatchVerdictVerdictAccepted, verdict.Verdict, "%s: %s", patch.Patch, verdict.Reason)
	want, err := full.document.raw()
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	parsed, err := Parse(got)
	require.NoError(t, err)
	require.Equal(t, parsed, next.Config)
	after, err := s.CanonicalJSON()
	require.NoError(t, err)
	require.Equal(t, string(before), string(after), "the older state is shared and must not change")
	return next
}

func TestFoldByEntriesEqualsTheFoldOfTheWhole(t *testing.T) {
	first := base(t)
	rapid.Check(t, func(t *rapid.T) {
		state := first
		for n := range rapid.IntRange(1, 6).Draw(t, "patches") {
			state = requireSameAsFullPatch(t, state, drawPatch(t, state, n))
		}
	})
}

func TestUsualPatchesTakeTheQuickWay(t *testing.T) {
	state := base(t)
	for format, document := range map[api.ConfigPatchFormat]string{
		api.ConfigPatchFormatMerge: `{"workspaces":{"incident-review":{"weight":7}},"policy":{"cost_weight":2}}`,
		api.ConfigPatchFormatJSON:  `[{"op":"replace","path":"/workspaces/incident-review/weight","value":7}]`,
	} {
		_, ok := patchEntries(state, &api.ConfigPatch{Format: format, Patch: json.RawMessage(document)}, ruleSets[RuleSet2])
		require.True(t, ok, format)
	}
}

func TestEveryFieldOfTheSchemaIsScalarOrCollection(t *testing.T) {
	configuration := reflect.TypeFor[api.Configuration]()
	for i := range configuration.NumField() {
		name, _, _ := strings.Cut(configuration.Field(i).Tag.Get("json"), ",")
		isMap := configuration.Field(i).Type.Kind() == reflect.Map
		require.Equal(t, isMap, isCollection(name), name)
		require.Equal(t, !isMap, isScalar(name), name)
	}
}

func TestVerdictWindowEqualsAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &window{}
		var list []api.PatchVerdict
		for i := range rapid.IntRange(1, maxVerdicts+3*chunkVerdicts).Draw(t, "verdicts") {
			verdict := api.PatchVerdict{ID: fmt.Sprint(i), Offset: int64(i)}
			w = w.append(verdict)
			list = append(list, verdict)
		}
		list = list[max(0, len(list)-maxVerdicts):]
		require.Equal(t, list, w.list())
		require.Equal(t, list, windowOf(w.list()).list())
		for _, verdict := range []api.PatchVerdict{list[0], list[len(list)/2], list[len(list)-1]} {
			found, ok := w.find(verdict.ID)
			require.True(t, ok)
			require.Equal(t, verdict, found)
		}
		_, ok := w.find(fmt.Sprint(list[0].Offset - 1))
		require.False(t, ok)
	})
}

// TestOddPatchesEqualTheFoldOfTheWhole covers cases that random patches rarely produce.
func TestOddPatchesEqualTheFoldOfTheWhole(t *testing.T) {
	state := base(t)
	key := `{"key_hashes":["` + HashKey("one key") + `"]}`
	documents := []string{
		`{"policy":{"cost_weight":2}}`,
		`{"workspaces":{"incident-review":` + key + `}}`,
		`{"workspaces":{"debris-check":` + key + `}}`,
		`{"services":{"new":{"kind":"plain","operations":[{"method":"GET","path":"/x","repeatable":true,"hedge":null}]}}}`,
		`{"workspaces":{"incident-review":null}}`,
		`{"services":{"review":null}}`,
		`{"routes":{"twin":{"workspace":"incident-review","service":"review","priority":1}}}`,
		`{"routes":{"incident-review-review":{"service":"nowhere"}}}`,
		`{"operators":null}`,
		`{"policy":null}`,
		`{"policy":{"retry_ratio":2}}`,
		`[]`, `null`, `7`, `{}`, `{"workspaces":7}`, `{"workspaces":{}}`,
		`{"Workspaces":{"shadow":{"key_hashes":[],"weight":1,"requests_per_second":0,"burst":0,"concurrency":0,"tokens_per_second":0}}}`,
		`{"workspaces":{"shadow":{"key_hashes":[],"weight":2,"requests_per_second":0,"burst":0,"concurrency":0,"tokens_per_second":0}}}`,
		`{"workspaces":{"shadow":null}}`,
	}
	for i, document := range documents {
		state = requireSameAsFullPatch(t, state, &api.ConfigPatch{
			ID: fmt.Sprint("odd-", i), BaseVersion: state.Version, RuleSet: RuleSet1,
			Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(document),
		})
	}
}

func TestRuleSet2NamesTheWholePathOfAFault(t *testing.T) {
	state := base(t)
	for document, want := range map[string]string{
		`{"workspaces":{"incident-review":{"wieght":1}}}`:  "workspaces.incident-review.wieght: is not a field of the configuration",
		`{"workspaces":{"incident-review":{"Weight":1}}}`:  "workspaces.incident-review.Weight: is not a field",
		`{"workspaces":{"new":{"weight":1}}}`:              "workspaces.new.burst: is missing",
		`{"routes":{"r":{"workspace":"x","service":"y"}}}`: "routes.r.priority: is missing",
		`{"policy":null}`:                      "policy: is missing",
		`{"extra":1}`:                          "extra: is not a field",
		`{"workspaces":{"incident-review":7}}`: "workspaces.incident-review: must be an object",
	} {
		state = fold(t, state, &api.ConfigPatch{
			ID: document, BaseVersion: 1, RuleSet: RuleSet2, Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(document),
		})
		verdict, _ := state.Verdict(document)
		require.Equal(t, api.PatchVerdictVerdictInvalid, verdict.Verdict)
		require.Contains(t, verdict.Reason, want)
	}
	require.EqualValues(t, 1, state.Version)
}

func TestUnknownRuleSetHoldsTheFold(t *testing.T) {
	state := base(t)
	data, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{ID: "new", BaseVersion: 1, RuleSet: CurrentRuleSet + 1}})
	require.NoError(t, err)
	unchanged, err := Fold(state, api.StoredRecord{Offset: state.Offset, Data: data})
	require.ErrorIs(t, err, ErrUnknownRuleSet)
	require.Same(t, state, unchanged)
}

func TestCopyOperationsAreBounded(t *testing.T) {
	state := base(t)
	operations := `[{"op":"add","path":"/extra","value":{"a":"` + strings.Repeat("x", 1000) + `"}}`
	for i := range 30 {
		operations += fmt.Sprintf(`,{"op":"copy","from":"/extra","path":"/extra/c%d"}`, i)
	}
	next := fold(t, state, &api.ConfigPatch{
		ID: "bomb", BaseVersion: 1, RuleSet: RuleSet2, Format: api.ConfigPatchFormatJSON, Patch: json.RawMessage(operations + "]"),
	})
	verdict, _ := next.Verdict("bomb")
	require.Equal(t, api.PatchVerdictVerdictInvalid, verdict.Verdict)
	require.Contains(t, verdict.Reason, "size")
}

func TestServiceThatAHostGroupKeepsStaysPlain(t *testing.T) {
	state := base(t)
	patch := &api.ConfigPatch{
		ID: "kind", BaseVersion: state.Version, RuleSet: CurrentRuleSet, Format: api.ConfigPatchFormatMerge,
		Patch: json.RawMessage(`{"services":{"rakes":{"kind":"model"}}}`),
	}
	verdict, known := requireSameAsFullPatch(t, state, patch).Verdict("kind")
	require.True(t, known)
	require.Equal(t, api.PatchVerdictVerdictInvalid, verdict.Verdict)
	require.Contains(t, verdict.Reason, "host_groups.rakes.service")
}
