package console

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/jsonc"
)

// inputKind is the kind of input element of a field.
type inputKind string

const (
	inputText   inputKind = "text"
	inputNumber inputKind = "number"
	inputBool   inputKind = "checkbox"
	inputList   inputKind = "list"
)

// fieldSpec describes one input of a form.
type fieldSpec struct {
	Name string
	Help string
	Kind inputKind
	// Optional fields are omitted from the document when they are empty.
	Optional bool
}

// Label returns the field's display name.
func (f fieldSpec) Label() string { return strings.ReplaceAll(f.Name, "_", " ") }

// collectionSpec describes one collection of the configuration document, such
// as the routes.
type collectionSpec struct {
	Name   string
	Title  string
	Fields []fieldSpec
}

// collections are the collections that the console shows, in display order.
var collections = []collectionSpec{
	newCollection[config.Organisation]("organisations", "Organisations"),
	newCollection[config.Key]("keys", "Keys"),
	newCollection[config.Route]("routes", "Routes"),
	newCollection[config.Service]("services", "Services"),
	newCollection[config.FailureDomain]("failure_domains", "Failure domains"),
	newCollection[config.Operator]("operators", "Operators"),
}

// fieldHelp has the help texts of fields by name.
var fieldHelp = []fieldSpec{
	{Name: "weight", Help: "share under overload, relative to others"},
	{Name: "rate", Help: "requests a second over all VMs together"},
	{Name: "burst", Help: "requests accepted at once above the rate"},
	{Name: "serve_when_cut_off", Help: "how long a region cut off from the store goes on serving, such as 30s"},
	{Name: "suspended", Help: "refuse all requests of the organisation"},
	{Name: "method", Help: "such as GET, or * for any"},
	{Name: "path", Help: "a path, or a prefix if it ends in /"},
	{Name: "idempotent", Help: "may run more than once; leave off for charges and orders"},
	{Name: "open_to", Help: "organisations with commas between, or all"},
	{Name: "internal", Help: "for upstreams' own calls only, never for callers"},
	{Name: "importance", Help: "1 is shed first, 9 last"},
	{Name: "deadline", Help: "time to the whole answer, such as 2s"},
	{Name: "retry_budget", Help: "retries for one request over the whole chain"},
	{Name: "hash", Help: "SHA-256 in hexadecimal; the key or token itself is never kept"},
}

func newCollection[T any](name, title string) collectionSpec {
	spec := collectionSpec{Name: name, Title: title}
	t := reflect.TypeFor[T]()
	for i := range t.NumField() {
		// Fields without a JSON name are not edited by operators.
		if field := newField(t.Field(i)); field.Name != "-" {
			spec.Fields = append(spec.Fields, field)
		}
	}
	return spec
}

func newField(structField reflect.StructField) fieldSpec {
	name, options, _ := strings.Cut(structField.Tag.Get("json"), ",")
	spec := fieldSpec{Name: name, Optional: strings.Contains(options, "omitempty")}
	if i := slices.IndexFunc(fieldHelp, func(f fieldSpec) bool { return f.Name == name }); i >= 0 {
		spec.Help = fieldHelp[i].Help
	}
	switch kind := structField.Type.Kind(); {
	case structField.Type == reflect.TypeFor[jsonc.Duration](), kind == reflect.String:
		spec.Kind = inputText
	case kind == reflect.Bool:
		spec.Kind = inputBool
	case kind == reflect.Slice:
		spec.Kind = inputList
	default:
		spec.Kind = inputNumber
	}
	return spec
}

func findCollection(name string) (collectionSpec, bool) {
	i := slices.IndexFunc(collections, func(c collectionSpec) bool { return c.Name == name })
	if i < 0 {
		return collectionSpec{}, false
	}
	return collections[i], true
}

// encode returns the entered text as the field's JSON value, or nil if the field
// is absent. Invalid numbers are encoded as strings, so that validation reports
// them.
func (f fieldSpec) encode(text string) json.RawMessage {
	text = strings.TrimSpace(text)
	switch f.Kind {
	case inputBool:
		if text == "" && f.Optional {
			return nil
		}
		return mustMarshal(text != "")
	case inputList:
		return mustMarshal(splitList(text))
	case inputNumber:
		var number json.Number
		if text == "" && f.Optional {
			return nil
		}
		if json.Unmarshal([]byte(text), &number) == nil {
			return json.RawMessage(text)
		}
	}
	if text == "" && f.Optional {
		return nil
	}
	return mustMarshal(text)
}

func splitList(text string) []string {
	list := []string{}
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// mustMarshal encodes a value whose type cannot fail to encode: strings,
// booleans, lists of strings and rawFields.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// decode returns a field's JSON value as the text of its input.
func (f fieldSpec) decode(value json.RawMessage) string {
	if len(value) == 0 {
		return ""
	}
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(value, &list) == nil {
		return strings.Join(list, ", ")
	}
	if string(value) == "false" {
		return ""
	}
	return string(value)
}

// input is one field of a form with its entered value.
type input struct {
	fieldSpec
	Value string
	// Old is the JSON value at the time when the form was opened.
	Old      string
	Problem  string
	ReadOnly bool
	// First is true for the first field with a problem, which gets the focus.
	First bool
	// Choices are the suggested values of the field.
	Choices []string
}

// form is the content of a form page.
type form struct {
	Collection collectionSpec
	ID         string
	New        bool
	Note       string
	Inputs     []input
	// Other has the findings that do not belong to a field of the form.
	Other []string
	// Conflicts are the fields that another operator changed after the form was
	// opened.
	Conflicts []edit.Conflict
}

// field returns the document path of a field of the form's element.
func (f *form) field(name string) string {
	return "/" + f.Collection.Name + "/" + f.ID + "/" + name
}

// setChoices sets the suggested values of fields from the document, and marks
// the field that gets the focus.
func (f *form) setChoices(doc *config.Document) {
	first := true
	for i := range f.Inputs {
		in := &f.Inputs[i]
		in.First = first && in.Problem != ""
		first = first && in.Problem == ""
		switch in.Name {
		case "organisation":
			for _, org := range doc.Organisations {
				in.Choices = append(in.Choices, org.ID)
			}
		case "service":
			for _, service := range doc.Services {
				in.Choices = append(in.Choices, service.ID)
			}
		}
	}
}

// openForm returns the form for an element of the document. If id is empty, it
// returns an empty form for a new element and does not use the reader.
func openForm(spec collectionSpec, id string, reader *edit.Reader) (form, error) {
	f := form{Collection: spec, ID: id, New: id == ""}
	for _, field := range spec.Fields {
		in := input{fieldSpec: field}
		if !f.New {
			value, err := reader.Value("/" + spec.Name + "/" + id + "/" + field.Name)
			if err != nil {
				return f, err
			}
			in.Old, in.Value = string(value), field.decode(value)
			in.ReadOnly = field.Name == "id"
		}
		f.Inputs = append(f.Inputs, in)
	}
	return f, nil
}

// edits returns the edits that the entered values amount to.
func (f *form) edits() []edit.Edit {
	if f.New {
		return []edit.Edit{f.newElementEdit()}
	}
	var edits []edit.Edit
	for _, in := range f.Inputs {
		encoded := in.encode(in.Value)
		if in.ReadOnly || string(encoded) == in.Old {
			continue
		}
		e := edit.Edit{Field: f.field(in.Name), New: encoded}
		if in.Old != "" {
			e.Old = json.RawMessage(in.Old)
		}
		edits = append(edits, e)
	}
	return edits
}

// rawFields are the JSON values of an element's fields by name.
type rawFields map[string]json.RawMessage

func (f *form) newElementEdit() edit.Edit {
	fields := rawFields{}
	for _, in := range f.Inputs {
		if value := in.encode(in.Value); value != nil {
			fields[in.Name] = value
		}
	}
	return edit.Edit{Field: "/" + f.Collection.Name + "/" + f.ID, New: mustMarshal(fields)}
}
