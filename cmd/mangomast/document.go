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

// progressPoll is how often a command asks whether its change is in force.
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

// noteOptions are the options of the commands whose reason is given.
type noteOptions struct {
	Note string `long:"note" description:"reason, kept in the history"`
}

// changeResult is what a command prints of a change.
type changeResult struct {
	// Unchanged is true if there was nothing to change.
	Unchanged bool `json:"unchanged,omitempty"`
	// Key is a new key, shown this once.
	Key      string             `json:"key,omitempty"`
	Change   *edit.Change       `json:"change,omitempty"`
	Progress *operator.Progress `json:"progress,omitempty"`
}

// changed reports what a command that changes something came to, and waits
// until the change is in force.
func (a *app) changed(change *edit.Change, err error, wait time.Duration) error {
	if errors.Is(err, edit.ErrUnchanged) {
		return a.print(changeResult{Unchanged: true}, func(w io.Writer) error {
			_, err := fmt.Fprintln(w, edit.ErrUnchanged)
			return err
		})
	}
	if err != nil {
		return explain(err)
	}
	return a.follow(changeResult{Change: change}, wait)
}

// follow prints an accepted change at once and then its progress; as JSON, both
// together.
func (a *app) follow(result changeResult, wait time.Duration) error {
	if !a.JSON {
		_, err := fmt.Fprintf(a.out, "change %d was accepted by the store at revision %d\n", result.Change.Number, result.Change.Revision)
		if err != nil {
			return err
		}
	}
	pending := a.await(&result, wait)
	if a.JSON {
		if err := a.print(result, nil); err != nil {
			return err
		}
	}
	return pending
}

// await waits until the change is in force and prints how far it is.
func (a *app) await(result *changeResult, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	progress, err := a.poll(result.Change.Revision, wait)
	if err != nil {
		return &pendingError{fmt.Sprintf("the change is stored, but it is not known how far it is in force: %v; 'mangomast progress %d' asks again", err, result.Change.Revision)}
	}
	result.Progress = progress
	return a.reportProgress(progress)
}

// reportProgress prints how far a revision is in force. It returns a
// *pendingError if that is not everywhere.
func (a *app) reportProgress(progress *operator.Progress) error {
	if !a.JSON {
		if _, err := fmt.Fprintf(a.out, "in force on %d of %d VMs\n", progress.InForce, progress.Total); err != nil {
			return err
		}
	}
	if progress.Accepted {
		return nil
	}
	return &pendingError{fmt.Sprintf("revision %d is stored but not yet in force everywhere; waiting for: %s; 'mangomast progress %d' waits on",
		progress.Revision, strings.Join(progress.Waiting, ", "), progress.Revision)}
}

// poll asks for the progress of a revision until it is accepted. It returns
// the last answer, or an error if there was none.
func (a *app) poll(revision int64, wait time.Duration) (*operator.Progress, error) {
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
	progress, err := c.app.poll(c.Args.Revision, c.Wait)
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

// preview prints the difference that edits make, if the document allows them.
func (a *app) preview(edits []edit.Edit) error {
	answer, err := a.client().Document(a.ctx)
	if err != nil {
		return err
	}
	if _, err := edit.Apply(answer.Document, edits); err != nil {
		return explain(err)
	}
	return a.print(edits, func(w io.Writer) error {
		printEdits(w, edits)
		_, err := fmt.Fprintln(w, "nothing was changed (--dry-run)")
		return err
	})
}

func printEdits(w io.Writer, edits []edit.Edit) {
	for _, e := range edits {
		_, _ = fmt.Fprintf(w, "   %s  %s -> %s\n", e.Field, orAbsent(e.Old), orAbsent(e.New))
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

// Execute implements flags.Commander. The document's change number says which
// version it was made from; what others changed since then is kept.
func (c *applyCommand) Execute([]string) error {
	doc, err := readDocument(c.Args.File)
	if err != nil {
		return explain(err)
	}
	edits, err := c.app.client().Merge(c.app.ctx, doc)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return c.app.changed(nil, edit.ErrUnchanged, 0)
	}
	return c.app.change(c.Note, edits, c.changeOptions)
}

// change makes edits, or shows them only.
func (a *app) change(note string, edits []edit.Edit, opts changeOptions) error {
	if opts.DryRun {
		return a.preview(edits)
	}
	change, err := a.client().Change(a.ctx, note, edits)
	return a.changed(change, err, opts.Wait)
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
	e := edit.Edit{Field: c.Args.Field, New: jsonValue(c.Args.Value), Old: jsonValue(c.Old)}
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

// jsonValue reads a command-line value: JSON, or else plain text.
func jsonValue(text string) json.RawMessage {
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
	answer, err := c.app.client().Document(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(answer, func(w io.Writer) error {
		data, err := answer.Document.Encode()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "// Revision %d. Edit and put in force with 'mangomast apply FILE'.\n%s\n", answer.Revision, data)
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

func orAbsent(value json.RawMessage) string {
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
	return c.app.changed(change, err, c.Wait)
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
