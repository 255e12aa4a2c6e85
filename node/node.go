// Package node runs a node from its settings. The node consists of the modules
// that are linked into the program.
package node

import (
	"context"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
)

// Run runs a node until the context ends and its modules have drained. Logs are
// written as JSON lines.
func Run(ctx context.Context, nodeSettings *settings.Node, logs io.Writer) error {
	return run(ctx, nodeSettings, newLogger(nodeSettings, logs))
}

func run(ctx context.Context, nodeSettings *settings.Node, logger log.Interface) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	k, err := kernel.New(kernel.Options{
		Node:     nodeSettings,
		Clock:    clockwork.NewRealClock(),
		Log:      logger,
		Registry: registry,
	})
	if err != nil {
		return err
	}
	return k.Run(ctx)
}

func newLogger(nodeSettings *settings.Node, logs io.Writer) log.Interface {
	level, err := log.ParseLevel(nodeSettings.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	logger := &log.Logger{Handler: json.New(logs), Level: level}
	return logger.WithField("vm", nodeSettings.VM)
}
