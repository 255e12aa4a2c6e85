package bench

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // draws .png
	_ "gonum.org/v1/plot/vg/vgsvg" // draws .svg
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	plotGap    = 5 * vg.Millimeter
)

// slopePanel is one chart: one or more figures plotted against the number of
// nodes.
type slopePanel struct {
	title string
	lines []slopeLine
}

type slopeLine struct {
	name  string
	value func(slopeRow) float64
}

func slopePanels() [][]slopePanel {
	relayAndOther := func(title string, value func(nodeCost) float64) slopePanel {
		return slopePanel{title: title, lines: []slopeLine{
			{name: "relay", value: func(r slopeRow) float64 { return value(r.Relay) }},
			{name: "other node", value: func(r slopeRow) float64 { return value(r.Other) }},
		}}
	}
	return [][]slopePanel{
		{
			relayAndOther("control bytes a second", func(c nodeCost) float64 { return c.BytesPerSecond }),
			relayAndOther("cores", func(c nodeCost) float64 { return c.Cores }),
		},
		{
			relayAndOther("memory, MB", func(c nodeCost) float64 { return c.ResidentMB }),
			{title: "store calls a minute, whole fleet", lines: []slopeLine{
				{name: "calls", value: func(r slopeRow) float64 { return r.StoreCallsPerMinute }},
			}},
		},
	}
}

// checkPlotFile returns an error if the extension of the file is not a format
// that plotSlopes supports. An empty name disables plotting and is valid.
func checkPlotFile(file string) error {
	if file == "" {
		return nil
	}
	_, err := newCanvas(file)
	return err
}

func newCanvas(file string) (vg.CanvasWriterTo, error) {
	format := strings.TrimPrefix(filepath.Ext(file), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	return canvas, errors.Wrapf(err, "create plot canvas for %s", file)
}

// plotSlopes plots the fleets without configuration changes into a file, whose
// extension determines the format.
func plotSlopes(rows []slopeRow, file string) error {
	panels := slopePanels()
	plots := make([][]*plot.Plot, len(panels))
	for i, plotRow := range panels {
		for _, panel := range plotRow {
			chart, err := panel.draw(rows)
			if err != nil {
				return err
			}
			plots[i] = append(plots[i], chart)
		}
	}
	canvas, err := newCanvas(file)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: len(plots[0]), PadX: plotGap, PadY: plotGap}
	for i, plotRow := range plot.Align(plots, tiles, draw.New(canvas)) {
		for j, tile := range plotRow {
			plots[i][j].Draw(tile)
		}
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	if _, err := canvas.WriteTo(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "write plot")
	}
	return errors.Wrap(out.Close(), "write plot")
}

func (p slopePanel) draw(rows []slopeRow) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.X.Label.Text = "nodes in four failure domains, or in one"
	chart.Y.Min = 0
	var lines []any
	for _, domains := range []int{len(placements), 1} {
		for _, line := range p.lines {
			name := line.name
			if domains == 1 {
				name += ", one domain"
			}
			if points := line.points(rows, domains); len(points) > 0 {
				lines = append(lines, name, points)
			}
		}
	}
	return chart, errors.Wrap(plotutil.AddLinePoints(chart, lines...), p.title)
}

// points returns the values for the fleets with the given number of failure
// domains and no configuration changes.
func (l slopeLine) points(rows []slopeRow, domains int) plotter.XYs {
	var points plotter.XYs
	for _, row := range rows {
		if row.Domains == domains && row.ChangesPerSecond == 0 {
			points = append(points, plotter.XY{X: float64(row.Nodes), Y: l.value(row)})
		}
	}
	return points
}
