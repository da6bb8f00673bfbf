package main

import (
	"errors"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter

	// rateWindow is the time over which the plotted rate is averaged.
	rateWindow = time.Second
)

var errNoSamples = errors.New("no samples to plot")

// timeline plots values over the time of the run, with a vertical line at the
// start of each phase.
type timeline struct {
	plot      *plot.Plot
	readings  []reading
	lineCount int
}

func newTimeline(title, unit string, readings []reading) (*timeline, error) {
	if len(readings) < 2 {
		return nil, errNoSamples
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return &timeline{plot: p, readings: readings}, nil
}

// seconds returns the time of a sample from the first sample on.
func (t *timeline) seconds(r reading) float64 { return r.at.Sub(t.readings[0].at).Seconds() }

// add draws a curve; value returns its height at the sample with the index.
func (t *timeline) add(name string, value func(int) float64) error {
	points := make(plotter.XYs, 0, len(t.readings))
	for i, r := range t.readings {
		points = append(points, plotter.XY{X: t.seconds(r), Y: value(i)})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(t.lineCount)
	t.lineCount++
	t.plot.Add(line)
	t.plot.Legend.Add(name, line)
	return nil
}

// save adds the lines and names of the phases and writes the PNG file.
func (t *timeline) save(file string, phases []phase) error {
	top := t.plot.Y.Max
	for _, p := range phases {
		x := t.seconds(p.first())
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 128}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top}}, Labels: []string{p.name}})
		if err != nil {
			return err
		}
		t.plot.Add(line, label)
	}
	return t.plot.Save(plotWidth, plotHeight, file)
}

// plotPacking plots the used fractions of the slots and of the dominant
// resource.
func plotPacking(file string, readings []reading, phases []phase) error {
	t, err := newTimeline("Packing", "used part of the cell", readings)
	if err != nil {
		return err
	}
	err = errors.Join(
		t.add("slots", func(i int) float64 { return readings[i].slotUse() }),
		t.add("dominant resource", func(i int) float64 { return readings[i].dominantUse() }))
	if err != nil {
		return err
	}
	t.plot.Y.Max = 1.1
	return t.save(file, phases)
}

// plotEnded plots the completed tasks per second.
func plotEnded(file string, readings []reading, phases []phase) error {
	t, err := newTimeline("Work done", "completed tasks per second", readings)
	if err != nil {
		return err
	}
	if err := t.add("completed", func(i int) float64 { return rateAt(readings, i) }); err != nil {
		return err
	}
	return t.save(file, phases)
}

// rateAt returns the completed tasks per second over the rateWindow that ends
// at the sample with the index.
func rateAt(readings []reading, i int) float64 {
	first := i
	for first > 0 && readings[i].at.Sub(readings[first].at) < rateWindow {
		first--
	}
	seconds := readings[i].at.Sub(readings[first].at).Seconds()
	return frac(float64(readings[i].doneTasks()-readings[first].doneTasks()), seconds)
}

// plotTeams plots the fraction of the slots that each team uses.
func plotTeams(file string, readings []reading, phases []phase) error {
	t, err := newTimeline("Running tasks per team", "used part of the slots", readings)
	if err != nil {
		return err
	}
	for _, team := range teamNames(readings) {
		err := t.add(string(team), func(i int) float64 {
			return frac(float64(readings[i].totals.Teams[team].Running), float64(readings[i].totals.Slots))
		})
		if err != nil {
			return err
		}
	}
	return t.save(file, phases)
}
