package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/capacity"
)

// capacityCommand prints the tables of docs/CAPACITY.md.
type capacityCommand struct {
	Measured string `long:"measured" default:"docs/measured.jsonl" value-name:"FILE" description:"last lines of slopes, decisions and added-latency"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Measured)
	if err != nil {
		return errors.Wrap(err, "read result lines")
	}
	results, err := capacity.Parse(data)
	if err != nil {
		return err
	}
	_, err = fmt.Print(results.Markdown())
	return err
}
