package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
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
	Note string        `long:"note" description:"reason, kept in the history"`
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait until the change is in force; 0 not to wait"`
}

// changed reports a change and waits until it is in force.
func (a *app) changed(change *edit.Change, wait time.Duration) error {
	progress, err := a.follow(change.Revision, wait)
	if err != nil {
		return err
	}
	result := struct {
		Change   *edit.Change       `json:"change"`
		Progress *operator.Progress `json:"progress,omitempty"`
	}{change, progress}
	err = a.print(result, func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "change %d was accepted by the store at revision %d\n", change.Number, change.Revision); err != nil {
			return err
		}
		if progress == nil {
			return nil
		}
		_, err := fmt.Fprintf(w, "in force on %d of %d VMs\n", progress.InForce, progress.Total)
		return err
	})
	if err == nil && progress != nil && !progress.Accepted {
		return errors.Errorf("the change is stored but not yet in force everywhere; waiting for %v; see 'mangomast status'", progress.Waiting)
	}
	return err
}

// follow asks for the progress of a revision until it is accepted.
func (a *app) follow(revision int64, wait time.Duration) (*operator.Progress, error) {
	if wait == 0 {
		return nil, nil
	}
	deadline := time.Now().Add(wait)
	for {
		progress, err := a.client().Progress(a.ctx, revision)
		if err == nil && progress.Accepted || time.Now().After(deadline) {
			return progress, err
		}
		select {
		case <-a.ctx.Done():
			return progress, a.ctx.Err()
		case <-time.After(progressPoll):
		}
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
	waitOptions
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The document's change number says which
// version it was made from; what others changed since then is kept.
func (c *applyCommand) Execute([]string) error {
	doc, err := readDocument(c.Args.File)
	if err != nil {
		return findingsOf(err)
	}
	edits, err := c.app.client().Merge(c.app.ctx, doc)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		_, err := fmt.Fprintln(c.app.out, "the document is in force already; nothing to change")
		return err
	}
	change, err := c.app.client().Change(c.app.ctx, c.Note, edits)
	if err != nil {
		return findingsOf(err)
	}
	return c.app.changed(change, c.Wait)
}

type editCommand struct {
	app *app
	waitOptions
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
	change, err := c.app.client().Change(c.app.ctx, c.Note, []edit.Edit{e})
	if err != nil {
		return findingsOf(err)
	}
	return c.app.changed(change, c.Wait)
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
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, change := range changes {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", change.Number, change.Time.Format(time.DateTime), change.Author, change.Note)
			for _, e := range change.Edits {
				_, _ = fmt.Fprintf(table, "\t%s\t%s\t-> %s\n", e.Field, orAbsent(e.Old), orAbsent(e.New))
			}
		}
		return table.Flush()
	})
}

func orAbsent(value json.RawMessage) string {
	if len(value) == 0 {
		return "absent"
	}
	return string(value)
}

type undoCommand struct {
	app  *app
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait until the change is in force; 0 not to wait"`
	Args struct {
		Number uint64 `positional-arg-name:"NUMBER" description:"of the change in the history"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	change, err := c.app.client().Undo(c.app.ctx, c.Args.Number)
	if err != nil {
		return err
	}
	return c.app.changed(change, c.Wait)
}
