package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// fieldKey names a field of a struct in a folder.
type fieldKey struct {
	folder, structName, field string
}

// comments reads the doc comments of fields from their sources.
type comments struct {
	root  string
	texts map[fieldKey]string
	read  map[string]bool
}

// of returns the field's comment on one line; empty if it has none.
func (c *comments) of(t reflect.Type, field string) (string, error) {
	dir := folder(c.root, t)
	if c.texts == nil {
		c.texts, c.read = map[fieldKey]string{}, map[string]bool{}
	}
	if !c.read[dir] {
		if err := c.parse(dir); err != nil {
			return "", err
		}
		c.read[dir] = true
	}
	return c.texts[fieldKey{dir, t.Name(), field}], nil
}

func (c *comments) parse(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return errors.Wrap(err, "list sources")
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return errors.Wrap(err, "parse source")
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				c.note(dir, spec)
			}
			return true
		})
	}
	return nil
}

func (c *comments) note(dir string, spec *ast.TypeSpec) {
	structure, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			text := strings.Join(strings.Fields(field.Doc.Text()), " ")
			c.texts[fieldKey{dir, spec.Name.Name, name.Name}] = strings.ReplaceAll(text, "|", "\\|")
		}
	}
}
