package node

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
)

const (
	// gcPercent lets the heap grow to 2.5 times the live heap before it is
	// collected, which is acceptable because a node's live heap is small.
	gcPercent = 150
	// memoryLimitFraction is the fraction of the process's memory at which garbage is
	// collected more often. The rest is for what the runtime does not count.
	memoryLimitFraction = 0.7
)

type options struct {
	Settings      string `long:"settings" value-name:"FILE" description:"run the node with the settings in FILE"`
	CheckSettings string `long:"check-settings" value-name:"FILE" description:"print every finding in FILE and exit; 1 if there are any"`
}

// Main is the main function of a program that runs a node with the modules
// linked into it. It returns the exit status. Logs are written to logs; errors
// in the command line and in the settings are written to standard error.
func Main(args []string, logs io.Writer) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if err := execute(opts, logs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func execute(opts options, logs io.Writer) error {
	if opts.CheckSettings != "" {
		_, err := load(opts.CheckSettings)
		return err
	}
	if opts.Settings == "" {
		return errors.New("no settings: run with --settings FILE, or --help for more")
	}
	hangups := keepRunningOnSignals()
	nodeSettings, err := load(opts.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(nodeSettings.Limits.Memory())))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	writer := newLogWriter(logs)
	defer writer.close()
	logger := newLogger(nodeSettings, writer)
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log: logger})
	go recheckOnHangup(hangups, opts.Settings, logger)
	return run(ctx, nodeSettings, logger)
}

// load reads and validates the settings of the node and its modules.
func load(file string) (*settings.Node, error) {
	nodeSettings, findings, err := settings.Load(file)
	if nodeSettings == nil {
		return nil, err
	}
	if err := kernel.Check(nodeSettings, findings); err != nil {
		return nil, err
	}
	return nodeSettings, findings.Err()
}

// keepRunningOnSignals replaces the default action of SIGHUP and SIGPIPE, which
// would end the process, and returns the channel of hangups. It is never undone: a
// node that drains must finish its requests too. SIGPIPE is raised when the reader
// of the log goes away.
func keepRunningOnSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// recheckOnHangup validates the settings file at each SIGHUP without applying
// it. Addresses and names are fixed for the lifetime of the process, so changes
// take effect at the next start. An invalid file is logged, so that it can be
// corrected before then.
func recheckOnHangup(hangups <-chan os.Signal, file string, logger log.Interface) {
	for range hangups {
		if _, err := load(file); err != nil {
			logger.WithError(err).Error("settings file is invalid; continuing with the settings loaded at start")
			continue
		}
		logger.Info("settings file is valid; changes take effect at the next start")
	}
}
