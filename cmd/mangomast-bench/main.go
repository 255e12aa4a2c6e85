// Command mangomast-bench runs benchmark cases, which apply load and faults to
// real processes and check a pass criterion. Its emulator simulates load against
// a model of upstreams.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/bench"
	"github.com/mangomast/mangomast/internal/rig"
)

// caseTimeout cancels a case that does not finish.
const caseTimeout = 5 * time.Minute

var errCriterionNotMet = errors.New("the pass criterion of the case was not met")

type runOptions struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the case's random choices"`
	Duration time.Duration `long:"for" value-name:"DURATION" description:"length of the load; the case's default if absent"`
	Plot     string        `long:"plot" value-name:"FILE" description:"draw the figures into a .png or .svg file; cases that cannot refuse it"`
	JSON     bool          `long:"json" description:"print only the JSON object"`
}

// caseCommand runs one case.
type caseCommand struct {
	runOptions
	benchCase bench.Case
}

// Execute implements flags.Commander.
func (c *caseCommand) Execute([]string) error {
	if c.Plot != "" && !c.benchCase.Plots {
		return errors.Errorf("case %s does not support --plot", c.benchCase.Name)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	defer rig.RemoveBuild()
	env := &bench.Env{Seed: c.Seed, Duration: c.Duration, Plot: c.Plot, Progress: os.Stdout}
	if c.JSON {
		env.Progress = io.Discard
	}
	report, err := c.benchCase.Run(ctx, env)
	if err != nil {
		return errors.Wrap(err, c.benchCase.Name)
	}
	if err := report.WriteTable(env.Progress); err != nil {
		return err
	}
	if err := report.WriteJSON(os.Stdout, c.benchCase.Name, c.Seed); err != nil {
		return err
	}
	if !report.Holds {
		return errCriterionNotMet
	}
	return nil
}

// listCommand prints the names and descriptions of the cases.
type listCommand struct{}

// Execute implements flags.Commander.
func (*listCommand) Execute([]string) error {
	for _, c := range bench.Cases() {
		if _, err := fmt.Printf("%-16s %s\n", c.Name, c.Help); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	parser := flags.NewNamedParser("mangomast-bench", flags.Default)
	addCommand(parser, "list", "list the cases", &listCommand{})
	addCommand(parser, "capacity", "work out the tables of docs/CAPACITY.md from measured figures", &capacityCommand{})
	addCommand(parser, "emulate", "play load from a file against a model of upstreams, in virtual time", &emulateCommand{})
	addCommand(parser, "standin-store", "run a stand-in for the platform's store", &storeCommand{})
	addCommand(parser, "standin-upstream", "run a stand-in for an upstream", &upstreamCommand{})
	for _, c := range bench.Cases() {
		addCommand(parser, c.Name, c.Help, &caseCommand{benchCase: c})
	}
	_, err := parser.Parse()
	switch {
	case err == nil, flags.WroteHelp(err):
		return
	case errors.Is(err, errCriterionNotMet):
		os.Exit(1)
	default:
		os.Exit(2)
	}
}

func addCommand(parser *flags.Parser, name, help string, command any) {
	if _, err := parser.AddCommand(name, help, "", command); err != nil {
		panic(err)
	}
}
