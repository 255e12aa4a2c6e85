// Package bench contains the experiments of mangomast-bench. Each case
// registers itself, runs real processes through package rig and reports whether
// the guarantee it tests was met.
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

// Env contains the parameters of a case run.
type Env struct {
	Seed uint64
	// Duration is the length of the case's load or fault; 0 selects the
	// case's default. Cases without such a length ignore it.
	Duration time.Duration
	// Plot is the file that the figures are plotted into; empty disables
	// plotting.
	Plot string
	// Progress receives human-readable progress lines.
	Progress io.Writer
}

// Logf writes one progress line.
func (e *Env) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", args...)
}

// Report is the result of a case.
type Report struct {
	// Holds reports whether the case's guarantee was met.
	Holds bool
	// Header and Rows form a human-readable table.
	Header []string
	Rows   [][]string
	// Figures is a struct whose fields are merged into the case's JSON object.
	Figures any
}

// Case is one experiment.
type Case struct {
	Name string
	Help string
	// Run blocks until the case is done; it must return without outside
	// intervention.
	Run func(ctx context.Context, env *Env) (*Report, error)
	// Plots reports whether the case supports plotting its figures.
	Plots bool
}

var cases = map[string]Case{}

// Register adds a case. It must be called from an init function.
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

// FindCase returns the case with the given name.
func FindCase(name string) (Case, error) {
	c, ok := cases[name]
	if !ok {
		return c, errors.Errorf("no case %q; run 'mangomast-bench list'", name)
	}
	return c, nil
}

// WriteTable writes the report's table to w, aligned in columns.
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

// WriteJSON writes the report as a JSON object on a single line.
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
