package edit

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
)

const idField = "id"

// collectionNames are the document's collections in their order.
var collectionNames = namesOfCollections()

func namesOfCollections() []string {
	var names []string
	t := reflect.TypeFor[config.Document]()
	for i := range t.NumField() {
		if t.Field(i).Type.Kind() == reflect.Slice {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}

func isCollection(name string) bool { return slices.Contains(collectionNames, name) }

// rawElement has an element's fields by name, as the json package reads them.
type rawElement map[string]json.RawMessage

// rawDocument has the document's collections by name.
type rawDocument map[string][]rawElement

// field is one named value of an element.
type field struct {
	name  string
	value json.RawMessage
}

// element is one entry of a collection with its fields ordered by name.
type element struct {
	id     string
	fields []field
}

func (e *element) get(name string) json.RawMessage {
	for _, f := range e.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

func (e *element) set(name string, value json.RawMessage) {
	e.fields = slices.DeleteFunc(e.fields, func(f field) bool { return f.name == name })
	if len(value) == 0 {
		return
	}
	e.fields = append(e.fields, field{name: name, value: value})
	slices.SortFunc(e.fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
}

func (e *element) json() json.RawMessage {
	raw := make(rawElement, len(e.fields))
	for _, f := range e.fields {
		raw[f.name] = f.value
	}
	data, _ := json.Marshal(raw)
	return data
}

func newElement(raw rawElement) *element {
	e := &element{}
	for name, value := range raw {
		e.set(name, value)
	}
	_ = json.Unmarshal(raw[idField], &e.id)
	return e
}

func unionNames(a, b *element) []string {
	var names []string
	for _, e := range []*element{a, b} {
		for _, f := range e.fields {
			names = append(names, f.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// collection is one list of the document.
type collection struct {
	name     string
	elements []*element
}

func (c *collection) find(id string) *element {
	for _, e := range c.elements {
		if e.id == id {
			return e
		}
	}
	return nil
}

// tree is a document taken apart into named fields.
type tree struct {
	collections []collection
	change      config.Change
}

func treeOf(doc *config.Document) (*tree, error) {
	t := &tree{change: doc.Change}
	plain := *doc
	plain.Change = config.Change{}
	data, err := json.Marshal(&plain)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, errors.Wrap(err, "take document apart")
	}
	for _, name := range collectionNames {
		c := collection{name: name}
		var elements []rawElement
		if err := json.Unmarshal(orNull(parts[name]), &elements); err != nil {
			return nil, errors.Wrapf(err, "take %s apart", name)
		}
		for _, raw := range elements {
			c.elements = append(c.elements, newElement(raw))
		}
		t.collections = append(t.collections, c)
	}
	return t, nil
}

func orNull(data json.RawMessage) json.RawMessage {
	if data == nil {
		return json.RawMessage("null")
	}
	return data
}

func (t *tree) collection(name string) *collection {
	for i := range t.collections {
		if t.collections[i].name == name {
			return &t.collections[i]
		}
	}
	return &collection{}
}

func (t *tree) value(p path) json.RawMessage {
	e := t.collection(p.collection).find(p.id)
	switch {
	case e == nil:
		return nil
	case p.field == "":
		return e.json()
	}
	return e.get(p.field)
}

func (t *tree) set(p path, value json.RawMessage) error {
	c := t.collection(p.collection)
	if p.field == "" {
		return c.setElement(p.id, value)
	}
	e := c.find(p.id)
	if e == nil {
		return errors.Errorf("%s has no %q", p.collection, p.id)
	}
	if p.field == idField {
		return errors.New("an id cannot be changed; remove the element and add a new one")
	}
	e.set(p.field, canonical(value))
	return nil
}

func (c *collection) setElement(id string, value json.RawMessage) error {
	at := slices.IndexFunc(c.elements, func(e *element) bool { return e.id == id })
	if len(value) == 0 {
		c.elements = slices.Delete(c.elements, at, at+1)
		return nil
	}
	var raw rawElement
	if err := json.Unmarshal(value, &raw); err != nil {
		return errors.Errorf("/%s/%s: expected an object", c.name, id)
	}
	raw[idField], _ = json.Marshal(id)
	if at >= 0 {
		c.elements[at] = newElement(raw)
		return nil
	}
	c.elements = append(c.elements, newElement(raw))
	return nil
}

// document puts the tree together and validates it. Findings name elements by
// their id.
func (t *tree) document() (*config.Document, error) {
	raw := make(rawDocument, len(t.collections))
	for _, c := range t.collections {
		raw[c.name] = []rawElement{}
		for _, e := range c.elements {
			fields := make(rawElement, len(e.fields))
			for _, f := range e.fields {
				fields[f.name] = f.value
			}
			raw[c.name] = append(raw[c.name], fields)
		}
	}
	data, err := json.Marshal(raw)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	doc := &config.Document{}
	findings := &finding.List{}
	jsonc.Decode(data, doc, findings)
	if findings.Err() == nil {
		doc.Validate(findings)
	}
	doc.Change = t.change
	return doc, t.name(findings)
}

// name turns the positions in the findings' fields into ids.
func (t *tree) name(findings *finding.List) error {
	if findings.Err() == nil {
		return nil
	}
	named := make([]finding.Finding, 0, len(findings.Findings()))
	for _, f := range findings.Findings() {
		named = append(named, finding.Finding{Field: t.namedField(f.Field), Message: f.Message})
	}
	return &finding.Error{Findings: named}
}

func (t *tree) namedField(pointer string) string {
	parts := strings.Split(pointer, "/")
	if len(parts) < 3 {
		return pointer
	}
	elements := t.collection(parts[1]).elements
	if index, err := strconv.Atoi(parts[2]); err == nil && index < len(elements) {
		parts[2] = elements[index].id
	}
	return strings.Join(parts, "/")
}
