package main

import (
	"fmt"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter

	// minMillis is drawn in place of shorter times, because a logarithmic axis
	// cannot show zero.
	minMillis = 0.01
)

// plot writes a PNG file with the cumulative distributions of the waiting and
// end-to-end times of each kind, over all teams.
func (r *report) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Waiting (solid) and end-to-end (dashed) times, load %016x", r.digest)
	p.X.Label.Text = "milliseconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "fraction of answers"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, key := range r.keys() {
		if key.team != allTeams {
			continue
		}
		kind, _ := r.rowNames(key)
		for i, h := range []*hdrhistogram.Histogram{r.rows[key].waited, r.rows[key].endToEnd} {
			if h.TotalCount() == 0 {
				continue
			}
			if err := addCurve(p, h, kind, key.kind, i); err != nil {
				return err
			}
			drawn++
		}
	}
	if drawn == 0 {
		return fmt.Errorf("no answers to plot")
	}
	return p.Save(plotWidth, plotHeight, file)
}

// addCurve adds the distribution of one kind. A nonzero dashes draws it as
// end-to-end times, dashed.
func addCurve(p *plot.Plot, h *hdrhistogram.Histogram, kind string, color, dashes int) error {
	line, err := plotter.NewLine(cumulativePoints(h))
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(color)
	line.Width = vg.Points(1)
	if dashes > 0 {
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
	}
	p.Add(line)
	if dashes == 0 || h.TotalCount() > 0 {
		p.Legend.Add([]string{kind + " waiting", kind + " end to end"}[dashes], line)
	}
	return nil
}

// cumulativePoints converts a histogram of microseconds to the points of its
// cumulative distribution: milliseconds and fraction of answers.
func cumulativePoints(h *hdrhistogram.Histogram) plotter.XYs {
	points := plotter.XYs{{X: minMillis, Y: 0}}
	for _, b := range h.CumulativeDistribution() {
		x := float64(b.ValueAt) / 1000
		points = append(points, plotter.XY{X: max(x, minMillis), Y: b.Quantile / 100})
	}
	return points
}
