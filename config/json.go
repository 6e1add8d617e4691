package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/persimmonline/persimmonline/api"
)

// errPanic is returned when the patch library panics on a patch.
var errPanic = errors.New("the patch can't be applied")

// Parse decodes a configuration and rejects fields that are not in the schema.
func Parse(raw json.RawMessage) (*api.Configuration, error) {
	var parsed api.Configuration
	if err := decodeStrictly(raw, &parsed); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return &parsed, nil
}

func decodeStrictly(raw json.RawMessage, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

// applyPatch returns a document after a patch. A panic of the library makes the patch
// invalid; otherwise it would crash every node that folds the record, and again at each
// restart.
func applyPatch(raw json.RawMessage, format api.ConfigPatchFormat, patch json.RawMessage, rules rules) (patched []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			patched, err = nil, errPanic
		}
	}()
	switch format {
	case api.ConfigPatchFormatMerge:
		return jsonpatch.MergePatch(raw, patch)
	case api.ConfigPatchFormatJSON:
		operations, err := jsonpatch.DecodePatch(patch)
		if err != nil {
			return nil, err
		}
		options := jsonpatch.NewApplyOptions()
		options.AccumulatedCopySizeLimit = rules.maxCopyBytes
		return operations.ApplyWithOptions(raw, options)
	default:
		return nil, fmt.Errorf("format: %q is not merge or json", format)
	}
}

// canonicalJSON sorts keys and preserves the notation of numbers. It also returns the
// decoded value.
func canonicalJSON(raw []byte) (json.RawMessage, any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, nil, err
	}
	canonical, err := json.Marshal(value)
	return canonical, value, err
}

// decodeObject decodes a JSON object and preserves the notation of numbers.
func decodeObject(raw []byte) (map[string]any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	err := decoder.Decode(&object)
	return object, err == nil && object != nil
}
