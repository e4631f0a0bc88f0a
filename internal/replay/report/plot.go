package report

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws one figure over the offered rate, with a line for each policy, into a
// file. The extension of the path selects the format (svg, png).
func Plot(path string, column int, columns []Column, summaries []Summary) error {
	drawing := plot.New()
	drawing.X.Label.Text = "offered requests per second"
	drawing.Y.Label.Text = columns[column].Name
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	points := map[string]plotter.XYs{}
	var order []string
	for _, summary := range summaries {
		if points[summary.Policy] == nil {
			order = append(order, summary.Policy)
		}
		points[summary.Policy] = append(points[summary.Policy], plotter.XY{X: summary.Rate, Y: summary.Mean[column]})
	}
	var lines []any
	for _, policy := range order {
		lines = append(lines, policy, points[policy])
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, path), "save plot")
}
