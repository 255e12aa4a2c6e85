package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/operator"
)

type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status, err := c.app.client().Status(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(status, func(w io.Writer) error {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintf(table, "VM\tregion\tfailure domain\tservice\tstate\tstream revision\n")
		for _, m := range status.Members {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", m.VM, m.Region, m.FailureDomain, m.Service, m.State, m.ConfigRevision)
		}
		if err := table.Flush(); err != nil {
			return err
		}
		_, err := fmt.Fprintf(w, "%d VMs; seen by %s, which has the document of revision %d and the stream up to %d, known to be in force everywhere up to %d; fresh: %t\n",
			len(status.Members), status.VM, status.Revision, status.Stream, status.Accepted, status.Fresh)
		return err
	})
}

type keyGrantCommand struct {
	app *app
	noteOptions
	waitOptions
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION"`
		ID           string `positional-arg-name:"KEY-ID" description:"name of the key, unique in the document"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *keyGrantCommand) Execute([]string) error {
	request := operator.KeyRequest{ID: c.Args.ID, Organisation: c.Args.Organisation, Note: c.Note}
	granted, err := c.app.client().GrantKey(c.app.ctx, request)
	var unknown *operator.OutcomeUnknownError
	switch {
	case errors.As(err, &unknown):
		return errors.WithMessagef(err, "if 'mangomast show' lists %s, its key is %s", c.Args.ID, granted.Key)
	case err != nil:
		return withAdvice(err)
	}
	if !c.app.JSON {
		if _, err := fmt.Fprintf(c.app.out, "key %s of %s, shown this once: %s\n", c.Args.ID, c.Args.Organisation, granted.Key); err != nil {
			return err
		}
	}
	return c.app.reportAccepted(changeResult{Key: granted.Key, Change: &granted.Change}, c.Wait)
}

type keyWithdrawCommand struct {
	app *app
	waitOptions
	Args struct {
		ID string `positional-arg-name:"KEY-ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdrawCommand) Execute([]string) error {
	change, err := c.app.client().WithdrawKey(c.app.ctx, c.Args.ID)
	return c.app.reportChange(change, err, c.Wait)
}

type operatorNewCommand struct{ app *app }

// tokenResult is the JSON output of 'operator new'.
type tokenResult struct {
	Token string `json:"token"`
	Hash  string `json:"hash"`
}

// Execute implements flags.Commander.
func (c *operatorNewCommand) Execute([]string) error {
	var result tokenResult
	result.Token, result.Hash = operator.NewToken()
	return c.app.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "token, for the operator alone: %s\nhash, for the settings (modules.operator.operators) or the document (operators): %s\n", result.Token, result.Hash)
		return err
	})
}
