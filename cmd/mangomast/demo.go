package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/demo"
)

type demoCommand struct {
	app *app
	For time.Duration `long:"for" description:"end after this time; until Ctrl-C if absent"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithCancel(c.app.ctx)
	defer cancel()
	if c.For > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	return errors.Wrap(demo.Run(ctx, demo.Options{Out: c.app.out}), "demo")
}
