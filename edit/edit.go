// Package edit changes individual fields of the configuration document. A
// change that was made against an older revision is applied to the latest one
// if the affected fields still have the values that its author saw. Otherwise
// it fails with a conflict; it never overwrites the other change.
//
// A field is addressed by a path such as /organisations/beach/rate, in which
// the element of the collection is identified by its ID. The path
// /organisations/beach addresses the whole element.
package edit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
)

// elementDepth is the number of slashes in the path of an element.
const elementDepth = 2

// ErrUnchanged is returned if the document already has the requested values.
var ErrUnchanged = errors.New("nothing to change: the document has these values already")

// Edit changes one field, or adds or removes one element.
type Edit struct {
	Field string `json:"field"`
	// Old is the value that the author saw; empty if the field was absent.
	Old json.RawMessage `json:"old,omitempty"`
	// New is the requested value; empty to remove the field or element.
	New json.RawMessage `json:"new,omitempty"`
}

// Conflict is a field that another author changed in the meantime.
type Conflict struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	// Theirs is the field's current value; Yours is the requested value.
	Theirs json.RawMessage `json:"theirs,omitempty"`
	Yours  json.RawMessage `json:"yours,omitempty"`
	// By is the change that last modified the field, without its edits. It is
	// nil if that change is not among the most recent ones.
	By *Change `json:"by,omitempty"`
}

// String describes the conflict and, if known, the change that caused it.
func (c Conflict) String() string {
	text := fmt.Sprintf("%s: is now %s, was %s when you read it, you want %s",
		c.Field, orAbsent(c.Theirs), orAbsent(c.Old), orAbsent(c.Yours))
	if c.IsAddition() {
		text = c.Field + ": exists already; choose another ID"
	}
	if c.By != nil {
		text += fmt.Sprintf(" (changed by %s at %s UTC, change %d)", c.By.Author, c.By.Time.Format(time.DateTime), c.By.Number)
	}
	return text
}

// IsAddition reports whether the edit would add an element that already exists.
func (c Conflict) IsAddition() bool {
	return len(c.Old) == 0 && len(c.Theirs) > 0 && strings.Count(c.Field, "/") == elementDepth
}

// ConflictError contains all conflicts of a change.
type ConflictError struct {
	Conflicts []Conflict
}

// HasField reports whether the field has a conflict.
func (e *ConflictError) HasField(field string) bool {
	return slices.ContainsFunc(e.Conflicts, func(c Conflict) bool { return c.Field == field })
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

func orAbsent(value json.RawMessage) string {
	if len(value) == 0 {
		return "absent"
	}
	return string(value)
}

// Apply returns a copy of the document with the edits applied. It returns a
// *ConflictError if the value of a field equals neither Old nor New of its
// edit, and a *finding.Error if the resulting document is invalid.
func Apply(doc *config.Document, edits []Edit) (*config.Document, error) {
	tree := newTree(doc)
	var conflicts []Conflict
	for _, e := range edits {
		path, err := parsePath(e.Field)
		if err != nil {
			return nil, err
		}
		current := tree.value(path)
		if equalJSON(current, e.New) {
			continue
		}
		if !equalJSON(current, e.Old) {
			conflicts = append(conflicts, Conflict{Field: e.Field, Old: e.Old, Theirs: current, Yours: e.New})
			continue
		}
		if err := tree.set(path, e.New); err != nil {
			return nil, err
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	return tree.document()
}

// unchanged reports whether the document already has the values of the edits.
// It returns false if there are no edits.
func unchanged(doc *config.Document, edits []Edit) (bool, error) {
	reader := NewReader(doc)
	for _, e := range edits {
		value, err := reader.Value(e.Field)
		if err != nil || !equalJSON(value, e.New) {
			return false, err
		}
	}
	return len(edits) > 0, nil
}

// Value returns the value of a field or element, or nil if it is absent.
func Value(doc *config.Document, field string) (json.RawMessage, error) {
	return NewReader(doc).Value(field)
}

// Reader reads fields of one document, which it splits into elements only once.
type Reader struct {
	tree *tree
}

// NewReader returns a reader for the document.
func NewReader(doc *config.Document) *Reader {
	return &Reader{tree: newTree(doc)}
}

// Value returns the value of a field or element, or nil if it is absent.
func (r *Reader) Value(field string) (json.RawMessage, error) {
	path, err := parsePath(field)
	if err != nil {
		return nil, err
	}
	return r.tree.value(path), nil
}

// IDs returns the IDs of a collection's elements in document order.
func (r *Reader) IDs(collectionName string) []string {
	var ids []string
	for _, e := range r.tree.collection(collectionName).elements {
		ids = append(ids, e.id)
	}
	return ids
}

// Diff returns the edits that turn one document into another. Elements that
// are present in both are compared field by field.
func Diff(from, to *config.Document) []Edit {
	before, after := newTree(from), newTree(to)
	var edits []Edit
	for i := range before.collections {
		edits = append(edits, diffCollection(&before.collections[i], &after.collections[i])...)
	}
	return edits
}

func diffCollection(before, after *collection) []Edit {
	var edits []Edit
	for _, old := range before.elements {
		pointer := "/" + before.name + "/" + old.id
		if changed := after.find(old.id); changed != nil {
			edits = append(edits, diffElement(pointer, old, changed)...)
			continue
		}
		edits = append(edits, Edit{Field: pointer, Old: old.json()})
	}
	for _, added := range after.elements {
		if before.find(added.id) == nil {
			edits = append(edits, Edit{Field: "/" + after.name + "/" + added.id, New: added.json()})
		}
	}
	return edits
}

func diffElement(pointer string, before, after *element) []Edit {
	if before.typed.IsValid() && after.typed.IsValid() && reflect.DeepEqual(before.typed.Interface(), after.typed.Interface()) {
		return nil
	}
	var edits []Edit
	for _, name := range unionFieldNames(before, after) {
		old, changed := before.get(name), after.get(name)
		if !equalJSON(old, changed) {
			edits = append(edits, Edit{Field: pointer + "/" + name, Old: old, New: changed})
		}
	}
	return edits
}

// Invert returns the edits that revert the given ones.
func Invert(edits []Edit) []Edit {
	inverse := make([]Edit, len(edits))
	for i, e := range edits {
		inverse[len(edits)-1-i] = Edit{Field: e.Field, Old: e.New, New: e.Old}
	}
	return inverse
}

// equalJSON reports whether two JSON values are semantically equal. Empty and
// null values are equal to an absent one.
func equalJSON(a, b json.RawMessage) bool {
	return bytes.Equal(canonical(a), canonical(b))
}

// canonical returns a JSON value without whitespace and with sorted names.
func canonical(value json.RawMessage) json.RawMessage {
	if len(value) == 0 || string(value) == "null" {
		return nil
	}
	var decoded any
	if err := json.Unmarshal(value, &decoded); err != nil {
		return value
	}
	data, err := json.Marshal(decoded)
	if err != nil {
		return value
	}
	return data
}

// path addresses a field or, if field is empty, an element.
type path struct {
	collection, id, field string
}

func parsePath(text string) (path, error) {
	parts := strings.Split(text, "/")
	if len(parts) < 3 || len(parts) > 4 || parts[0] != "" || parts[1] == "" || parts[2] == "" {
		return path{}, errors.Errorf("%q is not a field; write it as /organisations/ID/rate or /organisations/ID", text)
	}
	p := path{collection: parts[1], id: parts[2]}
	if len(parts) == 4 {
		p.field = parts[3]
	}
	if !isCollection(p.collection) {
		return path{}, errors.Errorf("%q is not a part of the document; it has %s", p.collection, strings.Join(collectionNames, ", "))
	}
	return p, nil
}

// NewAddition returns the edit that adds an element to a collection.
func NewAddition(collection, id string, value any) (Edit, error) {
	data, err := json.Marshal(value)
	return Edit{Field: "/" + collection + "/" + id, New: data}, errors.Wrap(err, "encode element")
}
