package edit

import (
	"context"
	"strings"

	"github.com/pkg/errors"
)

// attributionLookback is the maximum number of past changes that are searched
// for the author of a conflicting change.
const attributionLookback = 20

// Preview checks edits against the latest document without writing it. It
// returns the same errors as Commit.
func (e *Editor) Preview(ctx context.Context, edits []Edit) error {
	current, err := e.Read(ctx)
	if err != nil {
		return err
	}
	_, err = Apply(current.Document, edits)
	return e.attributeConflicts(ctx, err, current)
}

// attributeConflicts sets the change that caused each conflict, if err is a
// *ConflictError. The search ends at the first change that cannot be read.
func (e *Editor) attributeConflicts(ctx context.Context, err error, current *StoredDocument) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	last := current.Document.Change.Number
	missing := len(conflict.Conflicts)
	for number := last; missing > 0 && number > 0 && last-number < attributionLookback; number-- {
		change, err := e.change(ctx, number)
		if err != nil {
			break
		}
		missing -= conflict.attribute(change)
	}
	return conflict
}

// attribute sets By of the conflicts whose field the change affects, unless it
// is set already, and returns the number of these conflicts.
func (e *ConflictError) attribute(change *Change) int {
	by := *change
	by.Edits = nil
	count := 0
	for i := range e.Conflicts {
		c := &e.Conflicts[i]
		if c.By == nil && change.affects(c.Field) {
			c.By = &by
			count++
		}
	}
	return count
}

// affects reports whether the change wrote the field, the element that
// contains it, or a field within it.
func (c *Change) affects(field string) bool {
	for _, e := range c.Edits {
		if e.Field == field || strings.HasPrefix(field, e.Field+"/") || strings.HasPrefix(e.Field, field+"/") {
			return true
		}
	}
	return false
}
