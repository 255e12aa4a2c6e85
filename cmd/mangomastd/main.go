// Command mangomastd is the node that runs beside an upstream.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/node"
	_ "github.com/mangomast/mangomast/plugin/standard"
	"github.com/mangomast/mangomast/settings"
)

const (
	// gcPercent lets the heap grow to several times its live part before it is
	// collected; the live part of a node is small.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent near a node's budget
	// of 256 MB.
	memoryLimitBytes = 200 << 20
)

type options struct {
	Settings      string `long:"settings" value-name:"FILE" description:"run the node with the settings in FILE"`
	CheckSettings string `long:"check-settings" value-name:"FILE" description:"print every finding in FILE and exit; 1 if there are any"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := execute(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func execute(opts options) error {
	if opts.CheckSettings != "" {
		return check(opts.CheckSettings)
	}
	if opts.Settings == "" {
		return errors.New("no settings: run 'mangomastd --settings FILE', or --help for more")
	}
	if err := check(opts.Settings); err != nil {
		return err
	}
	parsed, _, err := settings.Load(opts.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return node.Run(ctx, parsed, os.Stderr)
}

// check reports the findings in the settings and in each module's part.
func check(file string) error {
	parsed, findings, err := settings.Load(file)
	if parsed == nil {
		return err
	}
	if err := kernel.Check(parsed, findings); err != nil {
		return err
	}
	return findings.Err()
}
