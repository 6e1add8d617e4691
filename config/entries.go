package config

import (
	"encoding/json"
	"maps"

	"github.com/persimmonline/persimmonline/api"
)

// patchEntries applies a patch to the parts that it touches. It is not ok if the full
// configuration must be processed: to report an error, or for a patch that replaces more
// than entries.
func patchEntries(s *State, patch *api.ConfigPatch, rules rules) (patchedConfig, bool) {
	if !s.document.hasExactFieldNames() {
		return patchedConfig{}, false
	}
	parts, patched, ok := patchParts(s.document, patch, rules)
	if !ok || rules.checkPart(patched) != nil {
		return patchedConfig{}, false
	}
	next, ok := s.document.replaceParts(parts, patched)
	if !ok {
		return patchedConfig{}, false
	}
	parsed, err := parseParts(s.Config, parts, next)
	if err != nil || !validateParts(s.Config, parsed, parts) && Validate(parsed) != nil {
		return patchedConfig{}, false
	}
	return patchedConfig{document: next, config: parsed}, true
}

// patchParts returns the parts that a patch touches and their values after the patch.
func patchParts(d *document, patch *api.ConfigPatch, rules rules) ([]partRef, map[string]any, bool) {
	switch patch.Format {
	case api.ConfigPatchFormatMerge:
		return mergeParts(d, patch.Patch)
	case api.ConfigPatchFormatJSON:
		return patchPartsByOperations(d, patch.Patch, rules)
	default:
		return nil, nil, false
	}
}

// patchPartsByOperations applies a JSON Patch to a document of only the touched parts.
func patchPartsByOperations(d *document, patch json.RawMessage, rules rules) ([]partRef, map[string]any, bool) {
	parts, ok := d.partsOfOperations(patch)
	if !ok {
		return nil, nil, false
	}
	subset, err := d.subset(parts)
	if err != nil {
		return nil, nil, false
	}
	raw, err := applyPatch(subset, api.ConfigPatchFormatJSON, patch, rules)
	if err != nil {
		return nil, nil, false
	}
	patched, ok := decodeObject(raw)
	return parts, patched, ok
}

// mergeParts applies a merge patch (RFC 7396) part by part.
func mergeParts(d *document, patch json.RawMessage) ([]partRef, map[string]any, bool) {
	decoded, ok := decodeObject(patch)
	if !ok || hasNullInArray(decoded, false) {
		return nil, nil, false
	}
	parts, ok := d.partsOfMerge(decoded)
	if !ok {
		return nil, nil, false
	}
	patched := map[string]any{}
	for _, ref := range parts {
		change, _ := partOf(decoded, ref)
		entries, _ := patched[ref.field].(map[string]any)
		if ref.name != "" && entries == nil {
			entries = map[string]any{}
			patched[ref.field] = entries
		}
		if change == nil {
			continue
		}
		var before any
		if raw := d.get(ref); raw != nil {
			before, _ = decodeObject(raw)
		}
		if ref.name == "" {
			patched[ref.field] = merge(before, change)
			continue
		}
		entries[ref.name] = merge(before, change)
	}
	return parts, patched, true
}

// merge applies a decoded merge patch to a decoded value. It may modify the value, which must
// not be shared.
func merge(target, patch any) any {
	fields, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged, ok := target.(map[string]any)
	if !ok || merged == nil {
		merged = map[string]any{}
	}
	for name, value := range fields {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = merge(merged[name], value)
	}
	return merged
}

// hasNullInArray reports whether a patch contains a null below an array. The patch library
// and RFC 7396 treat that differently, and the library is authoritative.
func hasNullInArray(value any, inArray bool) bool {
	switch value := value.(type) {
	case nil:
		return inArray
	case []any:
		for _, item := range value {
			if hasNullInArray(item, true) {
				return true
			}
		}
	case map[string]any:
		for _, item := range value {
			if hasNullInArray(item, inArray) {
				return true
			}
		}
	}
	return false
}

// parseParts returns a copy of c in which the given parts are those of d.
func parseParts(c *api.Configuration, parts []partRef, d *document) (*api.Configuration, error) {
	next := *c
	cloned := map[string]bool{}
	for _, ref := range parts {
		if !cloned[ref.field] {
			cloneField(&next, ref.field)
			cloned[ref.field] = true
		}
		if err := parsePart(&next, ref, d.get(ref)); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

// cloneField clones one collection of the configuration before it is modified.
func cloneField(c *api.Configuration, field string) {
	switch field {
	case fieldWorkspaces:
		c.Workspaces = maps.Clone(c.Workspaces)
	case fieldServices:
		c.Services = maps.Clone(c.Services)
	case fieldRoutes:
		c.Routes = maps.Clone(c.Routes)
	case fieldMachineClasses:
		c.MachineClasses = maps.Clone(c.MachineClasses)
	case fieldOperators:
		c.Operators = maps.Clone(c.Operators)
	case fieldHostGroups:
		c.HostGroups = maps.Clone(c.HostGroups)
		if c.HostGroups == nil {
			c.HostGroups = map[string]api.HostGroup{}
		}
	}
}

func parsePart(c *api.Configuration, ref partRef, value json.RawMessage) error {
	switch ref.field {
	case fieldDeployment:
		return parseScalar(&c.Deployment, value)
	case fieldPolicy:
		return parseScalar(&c.Policy, value)
	case fieldWorkspaces:
		return parseEntry(c.Workspaces, ref.name, value)
	case fieldServices:
		return parseEntry(c.Services, ref.name, value)
	case fieldRoutes:
		return parseEntry(c.Routes, ref.name, value)
	case fieldDataCentres:
		return parseScalar(&c.DataCentres, value)
	case fieldMachineClasses:
		return parseEntry(c.MachineClasses, ref.name, value)
	case fieldHostGroups:
		return parseEntry(c.HostGroups, ref.name, value)
	default:
		return parseEntry(c.Operators, ref.name, value)
	}
}

// parseEntry sets one entry, or deletes it if value is nil.
func parseEntry[T any](entries map[string]T, name string, value json.RawMessage) error {
	if value == nil {
		delete(entries, name)
		return nil
	}
	var entry T
	err := decodeStrictly(value, &entry)
	entries[name] = entry
	return err
}

// parseScalar sets one field that is not a collection.
func parseScalar[T any](field *T, value json.RawMessage) error {
	var parsed T
	err := decodeStrictly(value, &parsed)
	*field = parsed
	return err
}
