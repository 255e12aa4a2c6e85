package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/operator"
)

// progressPoll is the interval at which a command polls whether a revision is in
// force.
const progressPoll = 200 * time.Millisecond

// waitOptions are the options of the commands that change the document.
type waitOptions struct {
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait until the change is in force; 0 not to wait"`
}

// changeOptions are the options of the commands that change fields.
type changeOptions struct {
	waitOptions
	DryRun bool `long:"dry-run" description:"show the difference and change nothing"`
}

// noteOptions are the options of the commands that record a reason.
type noteOptions struct {
	Note string `long:"note" description:"reason, kept in the history"`
}

// changeResult is the JSON output of a command that changes the document.
type changeResult struct {
	// Unchanged is true if there was nothing to change.
	Unchanged bool `json:"unchanged,omitempty"`
	// Key is a new key, which is not shown again.
	Key      string             `json:"key,omitempty"`
	Change   *edit.Change       `json:"change,omitempty"`
	Progress *operator.Progress `json:"progress,omitempty"`
}

// reportChange prints the result of a change, and waits until the change is in
// force.
func (a *app) reportChange(change *edit.Change, err error, wait time.Duration) error {
	if errors.Is(err, edit.ErrUnchanged) {
		return a.print(changeResult{Unchanged: true}, func(w io.Writer) error {
			_, err := fmt.Fprintln(w, edit.ErrUnchanged)
			return err
		})
	}
	if err != nil {
		return withAdvice(err)
	}
	return a.reportAccepted(changeResult{Change: change}, wait)
}

// reportAccepted prints an accepted change immediately and its progress
// afterwards. With --json it prints both as one object.
func (a *app) reportAccepted(result changeResult, wait time.Duration) error {
	if !a.JSON {
		_, err := fmt.Fprintf(a.out, "change %d was accepted by the store at revision %d\n", result.Change.Number, result.Change.Revision)
		if err != nil {
			return err
		}
	}
	waitErr := a.waitInForce(&result, wait)
	if a.JSON {
		if err := a.print(result, nil); err != nil {
			return err
		}
	}
	return waitErr
}

// waitInForce waits until the change is in force, and prints on how many VMs it
// is in force. A zero wait returns immediately.
func (a *app) waitInForce(result *changeResult, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	progress, err := a.pollProgress(result.Change.Revision, wait)
	if err != nil {
		return &pendingError{fmt.Sprintf("the change is stored, but its progress is unknown: %v; run 'mangomast progress %d' to check again", err, result.Change.Revision)}
	}
	result.Progress = progress
	return a.reportProgress(progress)
}

// reportProgress prints on how many VMs a revision is in force. It returns a
// *pendingError if the revision is not in force everywhere.
func (a *app) reportProgress(progress *operator.Progress) error {
	if !a.JSON {
		if _, err := fmt.Fprintf(a.out, "in force on %d of %d VMs\n", progress.InForce, progress.Total); err != nil {
			return err
		}
	}
	if progress.Accepted {
		return nil
	}
	return &pendingError{fmt.Sprintf("revision %d is stored but not yet in force everywhere; waiting for: %s; run 'mangomast progress %d' to continue waiting",
		progress.Revision, strings.Join(progress.Waiting, ", "), progress.Revision)}
}

// pollProgress polls the progress of a revision until it is in force everywhere
// or the wait time has passed. It returns the last progress received, or an
// error if there was none.
func (a *app) pollProgress(revision int64, wait time.Duration) (*operator.Progress, error) {
	deadline := time.Now().Add(wait)
	var last *operator.Progress
	for {
		progress, err := a.client().Progress(a.ctx, revision)
		if err == nil {
			last = progress
		}
		if last != nil && (last.Accepted || time.Now().After(deadline)) {
			return last, nil
		}
		if time.Now().After(deadline) {
			return nil, err
		}
		select {
		case <-a.ctx.Done():
			return nil, a.ctx.Err()
		case <-time.After(progressPoll):
		}
	}
}

type progressCommand struct {
	app *app
	waitOptions
	Args struct {
		Revision int64 `positional-arg-name:"REVISION" description:"of an accepted change"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *progressCommand) Execute([]string) error {
	progress, err := c.app.pollProgress(c.Args.Revision, c.Wait)
	if err != nil {
		return err
	}
	if c.app.JSON {
		if err := c.app.print(progress, nil); err != nil {
			return err
		}
	}
	return c.app.reportProgress(progress)
}

// preview checks that the edits apply to the current document and prints them.
func (a *app) preview(edits []edit.Edit) error {
	current, err := a.client().Document(a.ctx)
	if err != nil {
		return err
	}
	if _, err := edit.Apply(current.Document, edits); err != nil {
		return withAdvice(err)
	}
	return a.print(edits, func(w io.Writer) error {
		printEdits(w, edits)
		_, err := fmt.Fprintln(w, "nothing was changed (--dry-run)")
		return err
	})
}

func printEdits(w io.Writer, edits []edit.Edit) {
	for _, e := range edits {
		_, _ = fmt.Fprintf(w, "   %s  %s -> %s\n", e.Field, valueOrAbsent(e.Old), valueOrAbsent(e.New))
	}
}

func readDocument(file string) (*config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	return config.Parse(file, data)
}

type validateCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	doc, err := readDocument(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.print(doc, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is valid: %d organisations, %d keys, %d services, %d routes\n", c.Args.File,
			len(doc.Organisations), len(doc.Keys), len(doc.Services), len(doc.Routes))
		return err
	})
}

type applyCommand struct {
	app *app
	noteOptions
	changeOptions
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The change number in the document
// identifies the version that it is based on; changes made since then are
// merged.
func (c *applyCommand) Execute([]string) error {
	doc, err := readDocument(c.Args.File)
	if err != nil {
		return withAdvice(err)
	}
	edits, err := c.app.client().Merge(c.app.ctx, doc)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return c.app.reportChange(nil, edit.ErrUnchanged, 0)
	}
	return c.app.change(c.Note, edits, c.changeOptions)
}

// change commits the edits, or only prints them with --dry-run.
func (a *app) change(note string, edits []edit.Edit, opts changeOptions) error {
	if opts.DryRun {
		return a.preview(edits)
	}
	change, err := a.client().Change(a.ctx, note, edits)
	return a.reportChange(change, err, opts.Wait)
}

type editCommand struct {
	app *app
	noteOptions
	changeOptions
	Old  string `long:"old" value-name:"JSON" description:"the value that you saw; the change is refused if the field has another one"`
	Args struct {
		Field string `positional-arg-name:"FIELD" description:"such as /organisations/beach/rate"`
		Value string `positional-arg-name:"VALUE" description:"JSON, or plain text for a text field; null removes the field or element"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	e := edit.Edit{Field: c.Args.Field, New: parseValue(c.Args.Value), Old: parseValue(c.Old)}
	if c.Old == "" {
		current, err := c.app.client().Document(c.app.ctx)
		if err != nil {
			return err
		}
		if e.Old, err = edit.Value(current.Document, c.Args.Field); err != nil {
			return err
		}
	}
	return c.app.change(c.Note, []edit.Edit{e}, c.changeOptions)
}

// parseValue parses a command-line value as JSON, or as plain text if it is not
// valid JSON.
func parseValue(text string) json.RawMessage {
	if text == "" || text == "null" {
		return nil
	}
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	data, _ := json.Marshal(text)
	return data
}

type showCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	current, err := c.app.client().Document(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(current, func(w io.Writer) error {
		data, err := current.Document.Encode()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "// Revision %d. Edit and put in force with 'mangomast apply FILE'.\n%s\n", current.Revision, data)
		return err
	})
}

type historyCommand struct {
	app  *app
	Last int `long:"last" default:"20" description:"number of changes to list"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	changes, err := c.app.client().History(c.app.ctx)
	if err != nil {
		return err
	}
	changes = changes[:min(len(changes), c.Last)]
	return c.app.print(changes, func(w io.Writer) error {
		for _, change := range changes {
			_, _ = fmt.Fprintf(w, "%d  %s UTC  %s  %s\n", change.Number, change.Time.Format(time.DateTime), change.Author, change.Note)
			printEdits(w, change.Edits)
		}
		return nil
	})
}

func valueOrAbsent(value json.RawMessage) string {
	if len(value) == 0 {
		return "absent"
	}
	return string(value)
}

type undoCommand struct {
	app *app
	changeOptions
	Args struct {
		Number uint64 `positional-arg-name:"NUMBER" description:"of the change in the history"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	if c.DryRun {
		return c.preview()
	}
	change, err := c.app.client().Undo(c.app.ctx, c.Args.Number)
	return c.app.reportChange(change, err, c.Wait)
}

func (c *undoCommand) preview() error {
	changes, err := c.app.client().History(c.app.ctx)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.Number == c.Args.Number {
			return c.app.preview(edit.Invert(change.Edits))
		}
	}
	return errors.Errorf("change %d is not in the history", c.Args.Number)
}
