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

// fieldKey identifies a struct field of the package in dir.
type fieldKey struct {
	dir, structName, field string
}

// docComments reads the doc comments of struct fields from the source files
// below root, and caches them by package directory.
type docComments struct {
	root   string
	texts  map[fieldKey]string
	parsed map[string]bool
}

// lookup returns the field's doc comment on one line, or "" if it has none.
func (c *docComments) lookup(t reflect.Type, field string) (string, error) {
	dir := packageDir(c.root, t)
	if c.texts == nil {
		c.texts, c.parsed = map[fieldKey]string{}, map[string]bool{}
	}
	if !c.parsed[dir] {
		if err := c.parse(dir); err != nil {
			return "", err
		}
		c.parsed[dir] = true
	}
	return c.texts[fieldKey{dir, t.Name(), field}], nil
}

func (c *docComments) parse(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return errors.Wrap(err, "list source files")
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return errors.Wrap(err, "parse source file")
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				c.record(dir, spec)
			}
			return true
		})
	}
	return nil
}

func (c *docComments) record(dir string, spec *ast.TypeSpec) {
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
