package direct

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot/plotter"

	"rosedale.dev/rosedale/internal/chart"
)

// curvePoint is a load with what it yields with and without admission and the choice by speed.
type curvePoint struct {
	load          float64
	with, without goodput
}

// goodput is what a burst yields, a second where it is a rate.
type goodput struct{ worth, urgent, openings float64 }

func measureGoodput(load float64, length time.Duration, without MechanismSet) goodput {
	r := newMarketWithout(7, []int{29}, []int{40}, true, without)
	opened := 0
	r.after(simQuiet, func() { opened = -r.opened })
	r.after(simQuiet+length, func() { opened += r.opened })
	r.burst(length, constant(load))
	earned, _ := r.market.earned()
	dues := r.market.routes[1].total()
	return goodput{earned / length.Seconds(), dues.share(dues.inGoal), float64(opened) / length.Seconds()}
}

func measureCurve(loads []float64, length time.Duration) []curvePoint {
	points := make([]curvePoint, len(loads))
	var group errgroup.Group
	group.SetLimit(4)
	for i, load := range loads {
		points[i].load = load
		group.Go(func() error {
			points[i].with = measureGoodput(load, length, 0)
			points[i].without = measureGoodput(load, length, 1<<Admission|1<<SpeedPlacement)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return points
}

// Guards against admission that yields less than none, at the slots and beyond them. With
// LOAD_CURVE_DIR it measures more loads for longer and writes them to goodput.csv and goodput.svg
// in that folder.
func TestLoadCurve(t *testing.T) {
	loads, length := []float64{1, 3}, time.Second
	dir := os.Getenv("LOAD_CURVE_DIR")
	if dir != "" {
		loads, length = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4}, 6*time.Second
	}
	points := measureCurve(loads, length)
	for _, p := range points {
		t.Logf("load %.2f: with %.3f, without %.3f", p.load, p.with, p.without)
		if p.load >= 1 && p.with.worth < p.without.worth {
			t.Errorf("load %.2f: worth a second %.0f with admission, %.0f without", p.load, p.with.worth, p.without.worth)
		}
	}
	if dir != "" {
		writeCurve(t, dir, points)
	}
}

func writeCurve(t *testing.T, dir string, points []curvePoint) {
	t.Helper()
	rows := [][]string{{"load", "worth_per_s_with", "worth_per_s_without", "urgent_in_goal_with", "urgent_in_goal_without", "openings_per_s_with", "openings_per_s_without"}}
	with, without := chart.Series{Name: "with admission"}, chart.Series{Name: "without"}
	for _, p := range points {
		a, b := p.with, p.without
		rows = append(rows, []string{fmt.Sprint(p.load), fmt.Sprintf("%.0f", a.worth), fmt.Sprintf("%.0f", b.worth), fmt.Sprintf("%.4f", a.urgent), fmt.Sprintf("%.4f", b.urgent), fmt.Sprintf("%.0f", a.openings), fmt.Sprintf("%.0f", b.openings)})
		with.Points = append(with.Points, plotter.XY{X: p.load, Y: a.worth})
		without.Points = append(without.Points, plotter.XY{X: p.load, Y: b.worth})
	}
	f, err := os.Create(filepath.Join(dir, "goodput.csv"))
	if err != nil {
		t.Fatal(err)
	}
	if err := csv.NewWriter(f).WriteAll(rows); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if err := chart.DrawLines(filepath.Join(dir, "goodput.svg"), "Goodput of 29 balancers and 40 targets", "demand, times the slots", "worth/s", with, without); err != nil {
		t.Fatal(err)
	}
}
