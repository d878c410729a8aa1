package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot/plotter"

	"rosedale.dev/rosedale/internal/chart"
)

// plotCapacity draws the measured rows as points joined by lines.
func plotCapacity(dir string, fleet, cat []capacityRow) error {
	for _, p := range []struct {
		file, title, x, y string
		rows              []capacityRow
		fx, fy            func(capacityRow) float64
	}{
		{"fleet-control.svg", "Control traffic of one daemon", "daemons", "bytes/s, in and out", fleet,
			func(r capacityRow) float64 { return float64(r.Daemons) }, func(r capacityRow) float64 { return r.ControlBS }},
		{"fleet-memory.svg", "Memory of one daemon", "daemons", "MB resident", fleet,
			func(r capacityRow) float64 { return float64(r.Daemons) }, func(r capacityRow) float64 { return r.RSS }},
		{"fleet-cpu.svg", "Processor time of one daemon, no traffic", "daemons", "% of a core", fleet,
			func(r capacityRow) float64 { return float64(r.Daemons) }, func(r capacityRow) float64 { return 100 * r.CPU }},
		{"catalogue-memory.svg", "Memory of one daemon", "endpoints", "MB resident", cat,
			func(r capacityRow) float64 { return float64(r.Endpoints) }, func(r capacityRow) float64 { return r.RSS }},
	} {
		if err := drawLine(filepath.Join(dir, p.file), p.title, p.x, p.y, p.rows, p.fx, p.fy); err != nil {
			return err
		}
	}
	return nil
}

func drawLine(file, title, x, y string, rows []capacityRow, fx, fy func(capacityRow) float64) error {
	var xy plotter.XYs
	for _, r := range rows {
		xy = append(xy, plotter.XY{X: fx(r), Y: fy(r)})
	}
	return chart.DrawLines(file, title, x, y, chart.Series{Points: xy})
}
