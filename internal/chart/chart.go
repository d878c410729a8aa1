// Package chart draws measurements as SVG files.
package chart

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 12 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// Series is a line through points. Without a name it is not in the legend.
type Series struct {
	Name   string
	Points plotter.XYs
}

// DrawLines draws series as points joined by lines, on axes that begin at 0.
func DrawLines(file, title, x, y string, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	var lines []any
	for _, s := range series {
		lines = append(lines, s.Name, s.Points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(width, height, file), "plot")
}
