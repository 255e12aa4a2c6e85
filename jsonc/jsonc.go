// Package jsonc decodes JSON with comments strictly: unknown fields, wrong
// types and repeated names are all collected with their line and column.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/mangomast/mangomast/finding"
)

// MaxBytes bounds the size of a document. It leaves room for a fleet's whole
// configuration, which the store keeps in parts.
const MaxBytes = 16 << 20

// Document is a parsed JSON document that remembers where its fields stand.
type Document struct {
	data []byte
	root hujson.Value
}

// Parse reads JSON with comments. A syntax error is added to findings, and
// the returned document is nil.
func Parse(data []byte, findings *finding.List) *Document {
	if len(data) > MaxBytes {
		findings.Addf("", "document has %d bytes; at most %d are accepted", len(data), MaxBytes)
		return nil
	}
	root, err := hujson.Parse(data)
	if err != nil {
		findings.Addf("", "syntax error: %v", err)
		return nil
	}
	return &Document{data: data, root: root}
}

// Locate returns the line and column of the field with the JSON pointer.
// If the field is absent, the place of its nearest parent is returned.
func (d *Document) Locate(pointer string) (line, column int) {
	for {
		if v := d.root.Find(pointer); v != nil {
			return d.place(v.StartOffset)
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 0, 0
		}
		pointer = pointer[:cut]
	}
}

func (d *Document) place(offset int) (line, column int) {
	before := d.data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// Decode stores the document in the struct that target points to and adds
// every mismatch to findings.
func (d *Document) Decode(target any, findings *finding.List) {
	dec := decoder{doc: d, findings: findings}
	dec.value(&d.root, reflect.ValueOf(target).Elem(), "")
}

// Decode parses data into target and sets the locator of findings.
func Decode(data []byte, target any, findings *finding.List) {
	doc := Parse(data, findings)
	if doc == nil {
		return
	}
	findings.Locate = doc.Locate
	doc.Decode(target, findings)
}

type decoder struct {
	doc      *Document
	findings *finding.List
}

func (d *decoder) add(v *hujson.Value, pointer, format string, args ...any) {
	line, column := d.doc.place(v.StartOffset)
	d.findings.AddAt(line, column, pointer, format, args...)
}

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawMessageType  = reflect.TypeFor[json.RawMessage]()
)

// value decodes v into target. A null leaves the target as it is.
func (d *decoder) value(v *hujson.Value, target reflect.Value, pointer string) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return
	}
	if target.Type() == rawMessageType || reflect.PointerTo(target.Type()).Implements(unmarshalerType) {
		d.leaf(v, target, pointer)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		d.value(v, fresh.Elem(), pointer)
		target.Set(fresh)
	case reflect.Struct:
		d.object(v, target, pointer)
	case reflect.Slice:
		d.array(v, target, pointer)
	case reflect.Map:
		d.mapping(v, target, pointer)
	default:
		d.leaf(v, target, pointer)
	}
}

func (d *decoder) leaf(v *hujson.Value, target reflect.Value, pointer string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target.Addr().Interface()); err != nil {
		d.add(v, pointer, "%s", leafMessage(err))
	}
}

func leafMessage(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return "expected " + kindName(wrong.Type) + ", found " + foundName(wrong.Value)
	}
	return err.Error()
}

// kindName says which values a type takes.
func kindName(t reflect.Type) string {
	switch kind := t.Kind(); {
	case kind == reflect.String:
		return "a string"
	case kind == reflect.Bool:
		return "true or false"
	case kind == reflect.Float32, kind == reflect.Float64:
		return "a number"
	case kind >= reflect.Uint && kind < reflect.Uint64 && t.Bits() < strconv.IntSize:
		return fmt.Sprintf("a number from 0 to %d without fraction", 1<<t.Bits()-1)
	case kind >= reflect.Int && kind <= reflect.Uint64:
		return "a number without fraction"
	}
	return "a value of type " + t.String()
}

// foundName says what kind of value the json package found; a number that does
// not fit is given as it is.
func foundName(value string) string {
	if number, ok := strings.CutPrefix(value, "number "); ok {
		return number
	}
	switch value {
	case "array", "object":
		return "an " + value
	}
	return "a " + value
}

func (d *decoder) object(v *hujson.Value, target reflect.Value, pointer string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v, pointer, "expected an object")
		return
	}
	fields := fieldsByName(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + escape(name)
		index, known := fields[name]
		switch {
		case !known:
			d.add(&member.Name, at, "unknown field %q", name)
		case seen[name]:
			d.add(&member.Name, at, "field %q is given twice", name)
		default:
			d.value(&member.Value, target.Field(index), at)
		}
		seen[name] = true
	}
}

func (d *decoder) array(v *hujson.Value, target reflect.Value, pointer string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(v, pointer, "expected an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], slice.Index(i), pointer+"/"+strconv.Itoa(i))
	}
	target.Set(slice)
}

func (d *decoder) mapping(v *hujson.Value, target reflect.Value, pointer string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v, pointer, "expected an object")
		return
	}
	filled := reflect.MakeMapWithSize(target.Type(), len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(&member.Value, element, pointer+"/"+escape(name))
		filled.SetMapIndex(reflect.ValueOf(name), element)
	}
	target.Set(filled)
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// escape encodes a name for use in a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
