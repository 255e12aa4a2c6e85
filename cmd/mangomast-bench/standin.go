package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/standin"
)

const readHeaderTimeout = 5 * time.Second

// crashExitCode is the exit code of a stand-in upstream that a request crashes.
const crashExitCode = 3

// storeCommand runs a stand-in for the platform's store.
type storeCommand struct {
	Listen string `long:"listen" required:"true" value-name:"IP:PORT"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return serve(c.Listen, standin.NewStore())
}

// upstreamCommand runs a stand-in for an upstream, which announces itself to the
// node beside it.
type upstreamCommand struct {
	Listen      string `long:"listen" required:"true" value-name:"IP:PORT"`
	Egress      string `long:"egress" required:"true" value-name:"URL"`
	Service     string `long:"service" required:"true"`
	Slots       int    `long:"slots" default:"10"`
	Connections int    `long:"connections" default:"100"`
	Behaviour   string `long:"behaviour" default:"{}" value-name:"JSON"`
	Journal     string `long:"journal" value-name:"FILE" description:"append the test ID of each run to FILE"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	var behaviour standin.Behaviour
	if err := json.Unmarshal([]byte(c.Behaviour), &behaviour); err != nil {
		return errors.Wrap(err, "parse --behaviour")
	}
	journal, err := c.openJournal()
	if err != nil {
		return err
	}
	announcer := &standin.Announcer{
		Egress: c.Egress, Service: c.Service, Address: c.Listen, Slots: c.Slots, Connections: c.Connections,
		Health: behaviour.AnnouncedHealth, Load: behaviour.AnnouncedLoad,
	}
	upstream := standin.NewUpstream(standin.UpstreamOptions{
		Slots: c.Slots, Egress: c.Egress, Behaviour: behaviour, Journal: journal,
		Leave: func() { _ = announcer.Leave(context.Background()) },
		Crash: func() { os.Exit(crashExitCode) },
	})
	go func() { _ = announcer.Run(context.Background()) }()
	return serve(c.Listen, upstream)
}

func (c *upstreamCommand) openJournal() (io.Writer, error) {
	if c.Journal == "" {
		return io.Discard, nil
	}
	file, err := os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errors.Wrap(err, "open journal")
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}
