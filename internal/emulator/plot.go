package emulator

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Draw plots the share served in each window to a file. The file name's
// extension selects the format.
func (r *Result) Draw(file string) error {
	p := plot.New()
	p.X.Label.Text = "first attempt, s"
	p.Y.Label.Text = "share of the worth served within the objective"
	p.Y.Min, p.Y.Max = 0, 1
	points := make(plotter.XYs, len(r.Windows))
	for i, share := range r.Windows {
		points[i] = plotter.XY{X: float64(i) * windowLength.Seconds(), Y: share}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "draw windows")
	}
	p.Add(line)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}
