// Package bench has the experiments of mangomast-bench. Each case registers
// itself, runs real processes through package rig, and says whether its
// promise held.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Env is what a case runs with.
type Env struct {
	Seed uint64
	// Duration scales the case's load; 0 for its default.
	Duration time.Duration
	// Plot is the file to draw the figures into; empty for none.
	Plot string
	// Progress receives lines for people.
	Progress io.Writer
}

// Logf writes one line of progress.
func (e *Env) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", args...)
}

// Report is the outcome of a case.
type Report struct {
	Holds bool
	// Header and Rows are a table for people.
	Header []string
	Rows   [][]string
	// Figures is a struct that becomes part of the case's JSON object.
	Figures any
}

// Case is one experiment.
type Case struct {
	Name string
	Help string
	// Run blocks until the case is done; it must end by itself.
	Run func(ctx context.Context, env *Env) (*Report, error)
	// Plots is true if the case can draw its figures.
	Plots bool
}

var cases = map[string]Case{}

// Register adds a case. It is called from init.
func Register(c Case) { cases[c.Name] = c }

// Cases returns the registered cases, ordered by name.
func Cases() []Case {
	list := make([]Case, 0, len(cases))
	for _, c := range cases {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Find returns the case with the name.
func Find(name string) (Case, error) {
	c, ok := cases[name]
	if !ok {
		return c, errors.Errorf("no case %q; run 'mangomast-bench list'", name)
	}
	return c, nil
}

// WriteTable writes the report's table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{r.Header}, r.Rows...) {
		for _, cell := range row {
			if _, err := fmt.Fprint(table, cell, "\t"); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(table); err != nil {
			return err
		}
	}
	return table.Flush()
}

// WriteJSON writes the report as one JSON object on a line.
func (r *Report) WriteJSON(w io.Writer, name string, seed uint64) error {
	start, err := json.Marshal(struct {
		Case  string `json:"case"`
		Holds bool   `json:"holds"`
		Seed  uint64 `json:"seed"`
	}{name, r.Holds, seed})
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	figures, err := json.Marshal(r.Figures)
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	if inner := bytes.TrimPrefix(figures, []byte("{")); len(inner) > 1 {
		start = append(append(start[:len(start)-1], ','), inner...)
	}
	_, err = fmt.Fprintf(w, "%s\n", start)
	return err
}
