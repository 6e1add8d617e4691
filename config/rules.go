package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/persimmonline/persimmonline/api"
)

// Rule sets. A patch names the rule set that is applied to it, so that builds of different
// versions agree on the verdict. Any change to what is accepted needs a new rule set; the
// existing ones stay unchanged.
const (
	// RuleSet1 is the first set of rules.
	RuleSet1 = 1
	// RuleSet2 also requires all mandatory fields and the exact spelling of field names,
	// reports errors with the full path, and limits the size.
	RuleSet2 = 2
)

// CurrentRuleSet is the rule set that this build writes into new patches.
const CurrentRuleSet = RuleSet2

const (
	// maxConfigurationBytes bounds the size of a configuration as canonical JSON.
	maxConfigurationBytes = 4 << 20
	// maxPatchCopyBytes bounds the bytes that the copy operations of one JSON Patch may add.
	maxPatchCopyBytes = 1 << 20
)

// rules holds the checks of one rule set before a configuration is parsed and validated.
type rules struct {
	// maxCopyBytes bounds the bytes that copy operations may add; 0 means no limit.
	maxCopyBytes int64
	// strict requires exact field names, all mandatory fields and a limited size.
	strict bool
}

var ruleSets = map[int]rules{
	RuleSet1: {},
	RuleSet2: {maxCopyBytes: maxPatchCopyBytes, strict: true},
}

// KnownRuleSet reports whether this build supports a rule set.
func KnownRuleSet(number int) bool {
	_, ok := ruleSets[number]
	return ok
}

// checkForm checks the fields and the size of a full configuration.
func (r rules) checkForm(canonical json.RawMessage, value any) error {
	if !r.strict {
		return nil
	}
	if len(canonical) > maxConfigurationBytes {
		return fmt.Errorf("the configuration would have %d bytes, at most %d are allowed", len(canonical), maxConfigurationBytes)
	}
	return checkFields(value, reflect.TypeFor[api.Configuration](), true)
}

// checkPart checks the fields of a part of a configuration.
func (r rules) checkPart(value any) error {
	if !r.strict {
		return nil
	}
	return checkFields(value, reflect.TypeFor[api.Configuration](), false)
}

// checkFields compares a decoded JSON document with the fields of a type, by exact name.
// With requireAll set, the mandatory fields of the type itself must be present too.
func checkFields(value any, t reflect.Type, requireAll bool) error {
	c := &fieldChecker{}
	c.value("", value, t, requireAll)
	return errors.Join(c.errs...)
}

// fieldChecker collects errors of field names. Errors of type are left to Parse.
type fieldChecker struct {
	errs []error
}

func (c *fieldChecker) value(path string, value any, t reflect.Type, requireAll bool) {
	switch t.Kind() {
	case reflect.Struct:
		if fields, ok := value.(map[string]any); ok {
			c.object(path, fields, t, requireAll)
		} else {
			c.addError(path, "must be an object")
		}
	case reflect.Map:
		if entries, ok := value.(map[string]any); ok {
			for _, name := range slices.Sorted(maps.Keys(entries)) {
				c.value(join(path, name), entries[name], t.Elem(), true)
			}
		} else {
			c.addError(path, "must be an object")
		}
	case reflect.Slice:
		items, _ := value.([]any)
		for i, item := range items {
			c.value(join(path, fmt.Sprint(i)), item, t.Elem(), true)
		}
	default:
		if value == nil {
			c.addError(path, "must not be null")
		}
	}
}

func (c *fieldChecker) object(path string, fields map[string]any, t reflect.Type, requireAll bool) {
	names := map[string]bool{}
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name, options, _ := strings.Cut(tag.Get("json"), ",")
		optional := strings.Contains(options, "omitempty")
		names[name] = true
		value, present := fields[name]
		switch {
		case present:
			c.value(join(path, name), value, t.Field(i).Type, true)
		case requireAll && !optional:
			c.addError(join(path, name), "is missing")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !names[name] {
			c.addError(join(path, name), "is not a field of the configuration")
		}
	}
}

func (c *fieldChecker) addError(path, message string) {
	c.errs = append(c.errs, &FieldError{Field: path, Message: message})
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
