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

// collectionNames are the document's collections in their order;
// collectionFields are the places of their fields in config.Document.
var collectionNames, collectionFields = collectionsOfDocument()

func collectionsOfDocument() ([]string, []int) {
	var names []string
	var fields []int
	t := reflect.TypeFor[config.Document]()
	for i := range t.NumField() {
		if t.Field(i).Type.Kind() == reflect.Slice {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names, fields = append(names, name), append(fields, i)
		}
	}
	return names, fields
}

func isCollection(name string) bool { return slices.Contains(collectionNames, name) }

// rawElement has an element's fields by name, as the json package reads them.
type rawElement map[string]json.RawMessage

// field is one named value of an element.
type field struct {
	name  string
	value json.RawMessage
}

// element is one entry of a collection. It is taken apart into its fields,
// ordered by name, when one of them is asked for.
type element struct {
	id string
	// typed is the entry as the document has it; the zero value if the element
	// was changed.
	typed  reflect.Value
	fields []field
}

// load takes the element apart.
func (e *element) load() {
	if e.fields != nil || !e.typed.IsValid() {
		return
	}
	// Entries of a document are plain data, which the json package always encodes.
	data, _ := json.Marshal(e.typed.Interface())
	var raw rawElement
	_ = json.Unmarshal(data, &raw)
	e.fields = fieldsOf(raw)
}

func (e *element) get(name string) json.RawMessage {
	e.load()
	for _, f := range e.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// with returns a copy of the element with another value of a field.
func (e *element) with(name string, value json.RawMessage) *element {
	e.load()
	changed := &element{id: e.id}
	for _, f := range e.fields {
		if f.name != name {
			changed.fields = append(changed.fields, f)
		}
	}
	if len(value) > 0 {
		changed.fields = append(changed.fields, field{name: name, value: value})
	}
	sortFields(changed.fields)
	return changed
}

func (e *element) json() json.RawMessage {
	e.load()
	raw := make(rawElement, len(e.fields))
	for _, f := range e.fields {
		raw[f.name] = f.value
	}
	data, _ := json.Marshal(raw)
	return data
}

// fieldsOf returns the fields that are present, ordered by name.
func fieldsOf(raw rawElement) []field {
	var fields []field
	for name, value := range raw {
		if len(value) > 0 {
			fields = append(fields, field{name: name, value: value})
		}
	}
	sortFields(fields)
	return fields
}

func sortFields(fields []field) {
	slices.SortFunc(fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
}

func unionNames(a, b *element) []string {
	var names []string
	for _, e := range []*element{a, b} {
		e.load()
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
	// index has the positions of the elements by id; nil until one is looked
	// for, and again when an element was removed.
	index map[string]int
}

// position returns the place of the element, or -1. Of two with the same id it
// is the first.
func (c *collection) position(id string) int {
	if c.index == nil {
		c.index = make(map[string]int, len(c.elements))
		for i, e := range slices.Backward(c.elements) {
			c.index[e.id] = i
		}
	}
	if i, ok := c.index[id]; ok {
		return i
	}
	return -1
}

func (c *collection) find(id string) *element {
	if i := c.position(id); i >= 0 {
		return c.elements[i]
	}
	return nil
}

// tree is a document taken apart into named elements. The document is not
// changed.
type tree struct {
	collections []collection
	change      config.Change
}

func treeOf(doc *config.Document) *tree {
	t := &tree{change: doc.Change}
	value := reflect.ValueOf(*doc)
	for i, name := range collectionNames {
		c := collection{name: name}
		list := value.Field(collectionFields[i])
		for j := range list.Len() {
			entry := list.Index(j)
			c.elements = append(c.elements, &element{id: entry.FieldByName("ID").String(), typed: entry})
		}
		t.collections = append(t.collections, c)
	}
	return t
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
	at := c.position(p.id)
	if at < 0 {
		return errors.Errorf("%s has no %q", p.collection, p.id)
	}
	if p.field == idField {
		return errors.New("an id cannot be changed; remove the element and add a new one")
	}
	c.elements[at] = c.elements[at].with(p.field, canonical(value))
	return nil
}

func (c *collection) setElement(id string, value json.RawMessage) error {
	at := c.position(id)
	if len(value) == 0 {
		c.elements = slices.Delete(c.elements, at, at+1)
		c.index = nil
		return nil
	}
	var raw rawElement
	if err := json.Unmarshal(value, &raw); err != nil {
		return errors.Errorf("/%s/%s: expected an object", c.name, id)
	}
	raw[idField], _ = json.Marshal(id)
	changed := &element{id: id, fields: fieldsOf(raw)}
	if at >= 0 {
		c.elements[at] = changed
		return nil
	}
	c.index[id] = len(c.elements)
	c.elements = append(c.elements, changed)
	return nil
}

// document puts the tree together and validates it. Elements that were not
// changed are shared with the document that the tree was made of. Findings name
// elements by their id.
func (t *tree) document() (*config.Document, error) {
	doc := &config.Document{}
	value := reflect.ValueOf(doc).Elem()
	findings := &finding.List{}
	for i := range t.collections {
		c := &t.collections[i]
		c.decode(value.Field(collectionFields[i]), findings)
	}
	if findings.Err() == nil {
		doc.Validate(findings)
	}
	doc.Change = t.change
	return doc, t.name(findings)
}

// decode fills a list of the document with the elements.
func (c *collection) decode(list reflect.Value, findings *finding.List) {
	if len(c.elements) == 0 {
		return
	}
	list.Set(reflect.MakeSlice(list.Type(), len(c.elements), len(c.elements)))
	for i, e := range c.elements {
		if e.typed.IsValid() {
			list.Index(i).Set(e.typed)
			continue
		}
		found := &finding.List{}
		jsonc.Decode(e.json(), list.Index(i).Addr().Interface(), found)
		for _, f := range found.Findings() {
			findings.Addf("/"+c.name+"/"+strconv.Itoa(i)+f.Field, "%s", f.Message)
		}
	}
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
