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

// document is a configuration as JSON, split by field and entry, so that the cost of a
// patch depends on the parts it touches and not on the size of the configuration. It is
// immutable.
type document struct {
	// scalars holds the fields that are not collections, as canonical JSON.
	scalars map[string]json.RawMessage
	// collections holds the entries of the other fields by name, as canonical JSON.
	collections map[string]map[string]json.RawMessage
}

// partRef refers to one part of a document that a patch may change: an entry of a
// collection, or a scalar field if name is empty.
type partRef struct {
	field, name string
}

func emptyDocument() *document {
	return &document{scalars: map[string]json.RawMessage{}, collections: map[string]map[string]json.RawMessage{}}
}

// newDocument splits a canonical configuration that was parsed successfully.
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

// hasExactFieldNames reports whether every field has its exact name. JSON fields are decoded
// regardless of case, so a different spelling could change a collection unnoticed.
func (d *document) hasExactFieldNames() bool {
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

// raw returns the document as canonical JSON.
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

// subset returns a document of only the given parts, as input for the patch library.
func (d *document) subset(parts []partRef) (json.RawMessage, error) {
	subset := emptyDocument()
	for _, ref := range parts {
		if ref.name == "" {
			if value, ok := d.scalars[ref.field]; ok {
				subset.scalars[ref.field] = value
			}
			continue
		}
		if subset.collections[ref.field] == nil {
			subset.collections[ref.field] = map[string]json.RawMessage{}
		}
		if value, ok := d.collections[ref.field][ref.name]; ok {
			subset.collections[ref.field][ref.name] = value
		}
	}
	return subset.raw()
}

// replaceParts returns a document in which the given parts are replaced by those of a
// decoded document. It is not ok if that has other parts or is missing a scalar field.
func (d *document) replaceParts(parts []partRef, patched map[string]any) (*document, bool) {
	next := &document{scalars: maps.Clone(d.scalars), collections: maps.Clone(d.collections)}
	cloned := map[string]bool{}
	encodedParts := 0
	for _, ref := range parts {
		value, present := partOf(patched, ref)
		if ref.name == "" && !present {
			return nil, false
		}
		if ref.name != "" && !cloned[ref.field] {
			next.collections[ref.field] = maps.Clone(d.collections[ref.field])
			cloned[ref.field] = true
		}
		if !present {
			delete(next.collections[ref.field], ref.name)
			continue
		}
		encodedParts++
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, false
		}
		next.set(ref, encoded)
	}
	return next, encodedParts == countParts(patched)
}

func (d *document) set(ref partRef, value json.RawMessage) {
	if ref.name == "" {
		d.scalars[ref.field] = value
		return
	}
	d.collections[ref.field][ref.name] = value
}

// get returns one part; nil if it does not exist.
func (d *document) get(ref partRef) json.RawMessage {
	if ref.name == "" {
		return d.scalars[ref.field]
	}
	return d.collections[ref.field][ref.name]
}

// partOf returns one part of a decoded document.
func partOf(decoded map[string]any, ref partRef) (any, bool) {
	value, ok := decoded[ref.field]
	if ref.name == "" {
		return value, ok
	}
	entries, _ := value.(map[string]any)
	value, ok = entries[ref.name]
	return value, ok
}

// countParts counts the scalar fields and entries of a decoded document. A field of the
// wrong type counts as one, so that the count differs from that of the touched parts.
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

// partsOfMerge returns the parts that a decoded merge patch may change. It is not ok if the
// patch changes more than single entries and scalar fields.
func (d *document) partsOfMerge(patch map[string]any) ([]partRef, bool) {
	var parts []partRef
	for field, value := range patch {
		if isScalar(field) {
			parts = append(parts, partRef{field: field})
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
			parts = append(parts, partRef{field: field, name: name})
		}
	}
	return parts, len(parts) > 0
}

// partsOfOperations returns the parts referenced by the pointers of a JSON Patch. Operations
// are decoded as maps, since the library matches their members by exact name.
func (d *document) partsOfOperations(patch json.RawMessage) ([]partRef, bool) {
	var operations []map[string]json.RawMessage
	if json.Unmarshal(patch, &operations) != nil {
		return nil, false
	}
	parts := map[partRef]bool{}
	for _, operation := range operations {
		if !d.addPartOfPointer(operation["path"], parts) {
			return nil, false
		}
		if from, ok := operation["from"]; ok && !d.addPartOfPointer(from, parts) {
			return nil, false
		}
	}
	return slices.Collect(maps.Keys(parts)), len(parts) > 0
}

func (d *document) addPartOfPointer(encoded json.RawMessage, parts map[partRef]bool) bool {
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
		parts[partRef{field: field}] = true
		return true
	}
	if len(tokens) < 3 || tokens[2] == "" || d.collections[field] == nil {
		return false
	}
	parts[partRef{field: field, name: tokens[2]}] = true
	return true
}
