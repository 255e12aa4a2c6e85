package main

import (
	"fmt"
	"path"
	"reflect"
	"strings"

	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
)

// modulePath is the path of this Go module.
const modulePath = "github.com/mangomast/mangomast/"

const header = `# Settings reference

Made from the doc comments of the structs by
` + "`go run ./internal/settingsref > docs/SETTINGS.md`" + `; a test keeps it so.
Fields that turn a mechanism off (` + "`ignore_freshness`, `without_witnesses`, `unbounded`,\n`shared_connection`, `disabled`, `mode`" + `) are for experiments only.
`

// reference returns the page. Sources are read below root.
func reference(root string) (string, error) {
	infos, err := kernel.Registered()
	if err != nil {
		return "", err
	}
	w := &writer{comments: comments{root: root}}
	w.text.WriteString(header)
	w.section("The node", reflect.ValueOf(settings.Node{}))
	for _, info := range infos {
		value := reflect.ValueOf(info.New()).Elem()
		if hasSettings(value.Type()) {
			w.section("`modules."+string(info.ID)+"`", value)
		}
	}
	return w.text.String(), w.err
}

func hasSettings(t reflect.Type) bool {
	for i := range t.NumField() {
		if fieldName(t.Field(i)) != "" {
			return true
		}
	}
	return false
}

// fieldName is the field's name in the settings; empty if it is none.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return strings.TrimPrefix(name, "-")
}

// writer writes the page.
type writer struct {
	text     strings.Builder
	comments comments
	err      error
}

func (w *writer) section(title string, value reflect.Value) {
	fmt.Fprintf(&w.text, "\n## %s\n\n| field | type | default | meaning |\n|---|---|---|---|\n", title)
	w.rows("", value)
}

// rows writes a row for each field of a struct, and for those of the structs in
// it.
func (w *writer) rows(prefix string, value reflect.Value) {
	t := value.Type()
	earlier := ""
	for i := range t.NumField() {
		name := fieldName(t.Field(i))
		if name == "" {
			continue
		}
		meaning, err := w.comments.of(t, t.Field(i).Name)
		if err != nil {
			w.err = err
			return
		}
		if meaning == "" {
			meaning = earlier
		}
		earlier = meaning
		w.row(prefix+name, meaning, value.Field(i))
	}
}

func (w *writer) row(name, meaning string, value reflect.Value) {
	fmt.Fprintf(&w.text, "| `%s` | %s | %s | %s |\n", name, typeName(value.Type()), defaultOf(value), meaning)
	switch {
	case value.Kind() == reflect.Struct:
		w.rows(name+".", value)
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		w.rows(name+"[].", reflect.Zero(value.Type().Elem()))
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[jsonc.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "object"
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Float64:
		return "number"
	}
	return t.Kind().String()
}

func defaultOf(value reflect.Value) string {
	switch {
	case value.Kind() == reflect.Struct, value.Kind() == reflect.Map, value.IsZero():
		return ""
	case value.Type() == reflect.TypeFor[jsonc.Duration]():
		return "`" + value.Interface().(jsonc.Duration).Std().String() + "`"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// folder returns the folder of a type's package.
func folder(root string, t reflect.Type) string {
	return path.Join(root, strings.TrimPrefix(t.PkgPath(), modulePath))
}
