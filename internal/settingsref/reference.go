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

// modulePath is the import path prefix of this Go module.
const modulePath = "github.com/mangomast/mangomast/"

const header = `# Settings reference

Made from the doc comments of the structs by
` + "`go run ./internal/settingsref > docs/SETTINGS.md`" + `; a test keeps it so.
Fields that turn a mechanism off (` + "`ignore_freshness`, `without_witnesses`, `unbounded`,\n`shared_connection`, `disabled`, `mode`" + `) are for experiments only.
`

// renderPage returns the Markdown page. It reads the source files below root.
func renderPage(root string) (string, error) {
	infos, err := kernel.Registered()
	if err != nil {
		return "", err
	}
	w := &pageWriter{docComments: docComments{root: root}}
	w.text.WriteString(header)
	w.writeSection("The node", reflect.ValueOf(settings.Node{}))
	for _, info := range infos {
		value := reflect.ValueOf(info.New()).Elem()
		if hasSettings(value.Type()) {
			w.writeSection("`modules."+string(info.ID)+"`", value)
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

// fieldName returns the JSON name of the field, or "" if it is not a setting.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return strings.TrimPrefix(name, "-")
}

// pageWriter builds the page.
type pageWriter struct {
	text        strings.Builder
	docComments docComments
	err         error
}

func (w *pageWriter) writeSection(title string, value reflect.Value) {
	fmt.Fprintf(&w.text, "\n## %s\n\n| field | type | default | meaning |\n|---|---|---|---|\n", title)
	w.writeRows("", value)
}

// writeRows writes a table row for each setting of a struct, including nested
// structs. A field without a doc comment gets that of the field before it.
func (w *pageWriter) writeRows(prefix string, value reflect.Value) {
	t := value.Type()
	previousMeaning := ""
	for i := range t.NumField() {
		name := fieldName(t.Field(i))
		if name == "" {
			continue
		}
		meaning, err := w.docComments.lookup(t, t.Field(i).Name)
		if err != nil {
			w.err = err
			return
		}
		if meaning == "" {
			meaning = previousMeaning
		}
		previousMeaning = meaning
		w.writeRow(prefix+name, meaning, value.Field(i))
	}
}

func (w *pageWriter) writeRow(name, meaning string, value reflect.Value) {
	fmt.Fprintf(&w.text, "| `%s` | %s | %s | %s |\n", name, typeName(value.Type()), formatDefault(value), meaning)
	switch {
	case value.Kind() == reflect.Struct:
		w.writeRows(name+".", value)
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		w.writeRows(name+"[].", reflect.Zero(value.Type().Elem()))
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

func formatDefault(value reflect.Value) string {
	switch {
	case value.Kind() == reflect.Struct, value.Kind() == reflect.Map, value.IsZero():
		return ""
	case value.Type() == reflect.TypeFor[jsonc.Duration]():
		return "`" + value.Interface().(jsonc.Duration).Std().String() + "`"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// packageDir returns the directory of a type's package.
func packageDir(root string, t reflect.Type) string {
	return path.Join(root, strings.TrimPrefix(t.PkgPath(), modulePath))
}
