// Package jsonc decodes JSON with comments strictly: it reports all unknown
// fields, wrong types and duplicate fields together, with line and column.
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

// MaxBytes is the maximum size of a document. It allows for the complete
// configuration of a fleet, which is stored in several values.
const MaxBytes = 16 << 20

// Document is a parsed JSON document with the positions of its fields.
type Document struct {
	data []byte
	root hujson.Value
}

// Parse parses JSON with comments. If the data is too large or has a syntax
// error, it adds a finding and returns nil.
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

// Locate returns the line and column of the field with the given JSON pointer,
// or of its nearest ancestor if the field is absent.
func (d *Document) Locate(pointer string) (line, column int) {
	for {
		if v := d.root.Find(pointer); v != nil {
			return d.position(v.StartOffset)
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 0, 0
		}
		pointer = pointer[:cut]
	}
}

// position converts a byte offset to a line and column, both counted from 1.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// Decode decodes the document into the struct that target points to and adds
// all mismatches to findings.
func (d *Document) Decode(target any, findings *finding.List) {
	dec := decoder{doc: d, findings: findings}
	dec.value(&d.root, reflect.ValueOf(target).Elem(), "")
}

// Decode parses data, sets the locator of findings and decodes the document
// into the struct that target points to.
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

func (d *decoder) addf(v *hujson.Value, pointer, format string, args ...any) {
	line, column := d.doc.position(v.StartOffset)
	d.findings.AddAt(line, column, pointer, format, args...)
}

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawMessageType  = reflect.TypeFor[json.RawMessage]()
)

// value decodes v into target. A null leaves the target unchanged.
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
		allocated := reflect.New(target.Type().Elem())
		d.value(v, allocated.Elem(), pointer)
		target.Set(allocated)
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

// leaf decodes a value with the json package.
func (d *decoder) leaf(v *hujson.Value, target reflect.Value, pointer string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target.Addr().Interface()); err != nil {
		d.addf(v, pointer, "%s", leafMessage(err))
	}
}

func leafMessage(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "expected " + describeExpected(typeErr.Type) + ", found " + describeFound(typeErr.Value)
	}
	return err.Error()
}

// describeExpected describes the values that a type accepts.
func describeExpected(t reflect.Type) string {
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

// describeFound describes the value in an error of the json package: a number
// that is out of range by its digits, any other value by its kind.
func describeFound(value string) string {
	if number, ok := strings.CutPrefix(value, "number "); ok {
		return number
	}
	switch value {
	case "array", "object":
		return "an " + value
	}
	return "a " + value
}

// object decodes an object into a struct.
func (d *decoder) object(v *hujson.Value, target reflect.Value, pointer string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addf(v, pointer, "expected an object")
		return
	}
	fields := fieldsByName(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + escape(name)
		index, known := fields[name]
		switch {
		case !known:
			d.addf(&member.Name, memberPointer, "unknown field %q", name)
		case seen[name]:
			d.addf(&member.Name, memberPointer, "field %q is given twice", name)
		default:
			d.value(&member.Value, target.Field(index), memberPointer)
		}
		seen[name] = true
	}
}

// array decodes an array into a slice.
func (d *decoder) array(v *hujson.Value, target reflect.Value, pointer string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addf(v, pointer, "expected an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], slice.Index(i), pointer+"/"+strconv.Itoa(i))
	}
	target.Set(slice)
}

// mapping decodes an object into a map.
func (d *decoder) mapping(v *hujson.Value, target reflect.Value, pointer string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addf(v, pointer, "expected an object")
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(&member.Value, element, pointer+"/"+escape(name))
		result.SetMapIndex(reflect.ValueOf(name), element)
	}
	target.Set(result)
}

// fieldsByName maps the JSON names of a struct's fields to their indexes.
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
