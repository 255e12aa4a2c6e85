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

// collectionNames lists the document's collections in order. collectionFields
// has the index of each collection's field in config.Document.
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

// rawElement maps the names of an element's fields to their encoded values.
type rawElement map[string]json.RawMessage

// field is a named value of an element.
type field struct {
	name  string
	value json.RawMessage
}

// element is an entry of a collection. It is split into fields lazily, when
// they are first accessed.
type element struct {
	id string
	// typed is the struct in the document; the zero reflect.Value if the
	// element was changed.
	typed reflect.Value
	// fields is ordered by name.
	fields []field
}

// loadFields splits the element into its fields, unless that is done already.
func (e *element) loadFields() {
	if e.fields != nil || !e.typed.IsValid() {
		return
	}
	// Entries of a document are plain data, so encoding them cannot fail.
	data, _ := json.Marshal(e.typed.Interface())
	var raw rawElement
	_ = json.Unmarshal(data, &raw)
	e.fields = fieldsOf(raw)
}

func (e *element) get(name string) json.RawMessage {
	e.loadFields()
	for _, f := range e.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// withField returns a copy of the element in which the field has the given
// value, or is absent if the value is empty.
func (e *element) withField(name string, value json.RawMessage) *element {
	e.loadFields()
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
	e.loadFields()
	raw := make(rawElement, len(e.fields))
	for _, f := range e.fields {
		raw[f.name] = f.value
	}
	data, _ := json.Marshal(raw)
	return data
}

// fieldsOf returns the fields that have a value, ordered by name.
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

func unionFieldNames(a, b *element) []string {
	var names []string
	for _, e := range []*element{a, b} {
		e.loadFields()
		for _, f := range e.fields {
			names = append(names, f.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// collection is a list of elements in the document.
type collection struct {
	name     string
	elements []*element
	// index maps the IDs of the elements to their positions. It is built at
	// the first lookup and reset to nil when an element is removed.
	index map[string]int
}

// position returns the index of the element, or -1 if there is none. If
// several elements have the same ID, it returns the first.
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

// tree is a document split into collections of elements with IDs. Changes of
// the tree do not modify the document.
type tree struct {
	collections []collection
	change      config.Change
}

func newTree(doc *config.Document) *tree {
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
	pos := c.position(p.id)
	if pos < 0 {
		return errors.Errorf("%s has no %q", p.collection, p.id)
	}
	if p.field == idField {
		return errors.New("an id cannot be changed; remove the element and add a new one")
	}
	c.elements[pos] = c.elements[pos].withField(p.field, canonical(value))
	return nil
}

func (c *collection) setElement(id string, value json.RawMessage) error {
	pos := c.position(id)
	if len(value) == 0 {
		c.elements = slices.Delete(c.elements, pos, pos+1)
		c.index = nil
		return nil
	}
	var raw rawElement
	if err := json.Unmarshal(value, &raw); err != nil {
		return errors.Errorf("/%s/%s: expected an object", c.name, id)
	}
	raw[idField], _ = json.Marshal(id)
	changed := &element{id: id, fields: fieldsOf(raw)}
	if pos >= 0 {
		c.elements[pos] = changed
		return nil
	}
	c.index[id] = len(c.elements)
	c.elements = append(c.elements, changed)
	return nil
}

// document converts the tree to a document and validates it. Unchanged elements
// are shared with the document that the tree was created from. Findings
// identify elements by their ID.
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
	return doc, t.errorWithIDs(findings)
}

// decode stores the elements in a list of the document.
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
		elementFindings := &finding.List{}
		jsonc.Decode(e.json(), list.Index(i).Addr().Interface(), elementFindings)
		for _, f := range elementFindings.Findings() {
			findings.Addf("/"+c.name+"/"+strconv.Itoa(i)+f.Field, "%s", f.Message)
		}
	}
}

// errorWithIDs returns the findings as an error in which the fields identify
// elements by ID in place of index. It returns nil if there are no findings.
func (t *tree) errorWithIDs(findings *finding.List) error {
	if findings.Err() == nil {
		return nil
	}
	findingsWithIDs := make([]finding.Finding, 0, len(findings.Findings()))
	for _, f := range findings.Findings() {
		findingsWithIDs = append(findingsWithIDs, finding.Finding{Field: t.fieldWithID(f.Field), Message: f.Message})
	}
	return &finding.Error{Findings: findingsWithIDs}
}

// fieldWithID replaces the index of the element in the pointer by its ID.
func (t *tree) fieldWithID(pointer string) string {
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
