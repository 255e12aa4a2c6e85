package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/operator"
)

type quarantineListCommand struct {
	app     *app
	Service string `long:"service" value-name:"SERVICE" description:"list one service only"`
}

// Execute implements flags.Commander.
func (c *quarantineListCommand) Execute([]string) error {
	list, err := c.app.client().Quarantine(c.app.ctx, c.Service)
	if err != nil {
		return err
	}
	return c.app.print(list, func(w io.Writer) error { return writeQuarantine(w, list) })
}

func writeQuarantine(w io.Writer, list *operator.QuarantineResponse) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(list.Records) > 0 {
		_, _ = fmt.Fprintln(table, "ID\tkind\tservice\troute\torganisation\tcrashes\ton VMs\tsince\tends in")
	}
	for _, r := range list.Records {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s ago\t%s\n", r.Fingerprint, r.Kind, r.Service, r.Route,
			r.Organisation, r.Crashes, strings.Join(r.VMs, ","), secondsToDuration(r.SinceSeconds), secondsToDuration(r.LeftSeconds))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(list.Unheard) > 0 {
		_, _ = fmt.Fprintf(w, "no VM answered for: %s\n", strings.Join(list.Unheard, ", "))
	}
	_, err := fmt.Fprintf(w, "%d requests are suspected or quarantined\n", len(list.Records))
	return err
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second)
}

type quarantineLiftCommand struct {
	app  *app
	Args struct {
		ID string `positional-arg-name:"ID" description:"as 'mangomast quarantine list' shows it; its first digits do if only one request has them"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineLiftCommand) Execute([]string) error {
	client := c.app.client()
	list, err := client.Quarantine(c.app.ctx, "")
	if err != nil {
		return err
	}
	record, err := findQuarantined(list, c.Args.ID)
	if err != nil {
		return err
	}
	if err := client.LiftQuarantine(c.app.ctx, record.Service, record.Fingerprint); err != nil {
		return err
	}
	return c.app.print(record, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "lifted: VMs of %s run request %s again\n", record.Service, record.Fingerprint)
		return err
	})
}

// findQuarantined returns the only record whose fingerprint starts with the
// prefix, or an error if there is none or more than one.
func findQuarantined(list *operator.QuarantineResponse, prefix string) (*operator.QuarantineRecord, error) {
	var found *operator.QuarantineRecord
	for i := range list.Records {
		if !strings.HasPrefix(list.Records[i].Fingerprint, strings.ToLower(prefix)) {
			continue
		}
		if found != nil {
			return nil, errors.Errorf("several requests begin with %s; give more digits", prefix)
		}
		found = &list.Records[i]
	}
	if found == nil {
		return nil, errors.Errorf("no suspected or quarantined request begins with %s; 'mangomast quarantine list' shows them", prefix)
	}
	return found, nil
}
