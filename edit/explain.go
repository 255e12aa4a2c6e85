package edit

import (
	"context"
	"strings"

	"github.com/pkg/errors"
)

// explainedChanges is the number of past changes among which the author of a
// conflicting one is looked for.
const explainedChanges = 20

// Preview checks edits against the latest document. Its errors are those of
// Commit.
func (e *Editor) Preview(ctx context.Context, edits []Edit) error {
	current, err := e.Read(ctx)
	if err != nil {
		return err
	}
	_, err = Apply(current.Document, edits)
	return e.explain(ctx, err, current)
}

// explain adds to each conflict who made the change that stands against it. A
// change that cannot be read is left out.
func (e *Editor) explain(ctx context.Context, err error, current *Current) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	last := current.Document.Change.Number
	missing := len(conflict.Conflicts)
	for number := last; missing > 0 && number > 0 && last-number < explainedChanges; number-- {
		change, err := e.change(ctx, number)
		if err != nil {
			break
		}
		missing -= conflict.attribute(change)
	}
	return conflict
}

// attribute notes the change on the conflicts whose field it touched and
// returns their number.
func (e *ConflictError) attribute(change *Change) int {
	by := *change
	by.Edits = nil
	count := 0
	for i := range e.Conflicts {
		c := &e.Conflicts[i]
		if c.By == nil && change.touches(c.Field) {
			c.By = &by
			count++
		}
	}
	return count
}

// touches reports whether the change wrote the field, the element that it is
// part of, or a field of it.
func (c *Change) touches(field string) bool {
	for _, e := range c.Edits {
		if e.Field == field || strings.HasPrefix(field, e.Field+"/") || strings.HasPrefix(e.Field, field+"/") {
			return true
		}
	}
	return false
}
