package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Fields of the configuration.
const (
	fieldDeployment     = "deployment"
	fieldMachineClasses = "machine_classes"
	fieldOperators      = "operators"
	fieldHostGroups     = "host_groups"
	fieldDataCentres    = "data_centres"
	fieldPolicy         = "policy"
	fieldRoutes         = "routes"
	fieldServices       = "services"
	fieldWorkspaces     = "workspaces"
)

// document is a configuration as JSON by field and entry, so that a patch costs what
// it touches and not the size of the configuration. It is immutable.
type document struct {
	// scalars are the fields that are not collections, as canonical JSON.
	scalars map[string]json.RawMessage
	// collections are the fields that hold entries by name, as canonical JSON.
	collections map[string]map[string]json.RawMessage
}

// touched is one part of a document that a patch may change: an entry of a
// collection, or a whole scalar field when name is empty.
type touched struct {
	field, name string
}

func emptyDocument() *document {
	return &document{scalars: map[string]json.RawMessage{}, collections: map[string]map[string]json.RawMessage{}}
}

// newDocument splits a canonical configuration that has been parsed.
func newDocument(canonical json.RawMessage) *document {
	d := emptyDocument()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(canonical, &fields); err != nil {
		return d
	}
	for field, value := range fields {
		var entries map[string]json.RawMessage
		if isCollection(field) && json.Unmarshal(value, &entries) == nil && entries != nil {
			d.collections[field] = entries
			continue
		}
		d.scalars[field] = value
	}
	return d
}

// plain says that every field has its exact name. JSON fields are read regardless of
// case, so that another spelling could change a collection from the side.
func (d *document) plain() bool {
	for field := range d.scalars {
		if !isScalar(field) {
			return false
		}
	}
	return true
}

func isScalar(field string) bool {
	return field == fieldDeployment || field == fieldPolicy || field == fieldDataCentres
}

func isCollection(field string) bool {
	switch field {
	case fieldWorkspaces, fieldServices, fieldRoutes, fieldMachineClasses, fieldOperators, fieldHostGroups:
		return true
	default:
		return false
	}
}

// raw joins the parts to canonical JSON.
func (d *document) raw() (json.RawMessage, error) {
	fields := make(map[string]json.RawMessage, len(d.scalars)+len(d.collections))
	maps.Copy(fields, d.scalars)
	for field, entries := range d.collections {
		encoded, err := json.Marshal(entries)
		if err != nil {
			return nil, err
		}
		fields[field] = encoded
	}
	return json.Marshal(fields)
}

// part returns a document of only the touched parts, for the patch library.
func (d *document) part(parts []touched) (json.RawMessage, error) {
	small := emptyDocument()
	for _, t := range parts {
		if t.name == "" {
			if value, ok := d.scalars[t.field]; ok {
				small.scalars[t.field] = value
			}
			continue
		}
		if small.collections[t.field] == nil {
			small.collections[t.field] = map[string]json.RawMessage{}
		}
		if value, ok := d.collections[t.field][t.name]; ok {
			small.collections[t.field][t.name] = value
		}
	}
	return small.raw()
}

// with returns a document in which the touched parts are those of a decoded one. It
// is not ok when that has other parts, or lacks a field.
func (d *document) with(parts []touched, patched map[string]any) (*document, bool) {
	next := &document{scalars: maps.Clone(d.scalars), collections: maps.Clone(d.collections)}
	cloned := map[string]bool{}
	found := 0
	for _, t := range parts {
		value, has := partOf(patched, t)
		if t.name == "" && !has {
			return nil, false
		}
		if t.name != "" && !cloned[t.field] {
			next.collections[t.field] = maps.Clone(d.collections[t.field])
			cloned[t.field] = true
		}
		if !has {
			delete(next.collections[t.field], t.name)
			continue
		}
		found++
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, false
		}
		next.set(t, encoded)
	}
	return next, found == countParts(patched)
}

func (d *document) set(t touched, value json.RawMessage) {
	if t.name == "" {
		d.scalars[t.field] = value
		return
	}
	d.collections[t.field][t.name] = value
}

// get returns one part; nil when there is none.
func (d *document) get(t touched) json.RawMessage {
	if t.name == "" {
		return d.scalars[t.field]
	}
	return d.collections[t.field][t.name]
}

// partOf returns one part of a decoded document.
func partOf(decoded map[string]any, t touched) (any, bool) {
	value, has := decoded[t.field]
	if t.name == "" {
		return value, has
	}
	entries, _ := value.(map[string]any)
	value, has = entries[t.name]
	return value, has
}

// countParts counts the scalar fields and entries of a decoded document. A field of
// the wrong form counts as one, which then no touched part accounts for.
func countParts(decoded map[string]any) int {
	count := 0
	for field, value := range decoded {
		entries, ok := value.(map[string]any)
		if isCollection(field) && ok {
			count += len(entries)
			continue
		}
		count++
	}
	return count
}

// touchedByMerge returns the parts that a decoded merge patch may change. It is not
// ok when the patch reaches above an entry.
func (d *document) touchedByMerge(patch map[string]any) ([]touched, bool) {
	var parts []touched
	for field, value := range patch {
		if isScalar(field) {
			parts = append(parts, touched{field: field})
			continue
		}
		entries, ok := value.(map[string]any)
		if !ok || d.collections[field] == nil {
			return nil, false
		}
		for name := range entries {
			if name == "" {
				return nil, false
			}
			parts = append(parts, touched{field: field, name: name})
		}
	}
	return parts, len(parts) > 0
}

// touchedByOperations reads the pointers of a JSON Patch. Operations are read as maps,
// since the library takes their members by exact name.
func (d *document) touchedByOperations(patch json.RawMessage) ([]touched, bool) {
	var operations []map[string]json.RawMessage
	if json.Unmarshal(patch, &operations) != nil {
		return nil, false
	}
	set := map[touched]bool{}
	for _, operation := range operations {
		if !d.touchedByPointer(operation["path"], set) {
			return nil, false
		}
		if from, ok := operation["from"]; ok && !d.touchedByPointer(from, set) {
			return nil, false
		}
	}
	return slices.Collect(maps.Keys(set)), len(set) > 0
}

func (d *document) touchedByPointer(encoded json.RawMessage, set map[touched]bool) bool {
	var pointer string
	if json.Unmarshal(encoded, &pointer) != nil {
		return false
	}
	tokens := strings.Split(pointer, "/")
	if len(tokens) < 2 || tokens[0] != "" || strings.Contains(pointer, "~") {
		return false
	}
	field := tokens[1]
	if isScalar(field) {
		set[touched{field: field}] = true
		return true
	}
	if len(tokens) < 3 || tokens[2] == "" || d.collections[field] == nil {
		return false
	}
	set[touched{field: field, name: tokens[2]}] = true
	return true
}
