package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/bench"
	"github.com/mangomast/mangomast/internal/emulator"
)

// emulateCommand simulates a load plan in virtual time.
type emulateCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the random choices; the same seed gives the same result"`
	Plot string `long:"plot" value-name:"FILE" description:"draw the windows into a .png or .svg file"`
	JSON bool   `long:"json" description:"print only the JSON object"`
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"file with the plan, JSON with comments"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *emulateCommand) Execute([]string) error {
	plan, err := emulator.Load(c.Args.Plan)
	if err != nil {
		return err
	}
	result := emulator.Simulate(plan, c.Seed)
	if c.Plot != "" {
		if err := result.Draw(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(result), "write result")
	}
	return newReport(result).WriteTable(os.Stdout)
}

// newReport converts the result to a report with a human-readable table.
func newReport(result *emulator.Result) *bench.Report {
	report := &bench.Report{Header: []string{"kind", "asked", "in time", "late", "refused", "failed", "share in time"}}
	for _, k := range result.Kinds {
		report.Rows = append(report.Rows, []string{
			k.Kind, fmt.Sprint(k.Asked), fmt.Sprint(k.InTime), fmt.Sprint(k.Late), fmt.Sprint(k.Refused), fmt.Sprint(k.Failed), fmt.Sprintf("%.4f", k.InTimeShare()),
		})
	}
	report.Rows = append(report.Rows, []string{"worst window", "", "", "", "", "", fmt.Sprintf("%.4f", result.Worst)})
	return report
}
