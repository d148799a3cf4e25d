package load

import (
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotFormats are the file name extensions of the supported plot formats.
var plotFormats = []string{".svg", ".png"}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// quantiles are the quantiles that the plot shows, in percent.
var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.99}

// WritePlot plots the latency of each service by quantile. The extension of path
// selects the format.
func (r *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: latency at %.0f requests a second, seed %d", r.Deployment, r.RateAsked, r.Seed)
	p.X.Label.Text = "share of answers faster (percent)"
	p.Y.Label.Text = "latency (ms)"
	p.X.Tick.Marker = quantileTicks()
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, service := range slices.Sorted(maps.Keys(r.histograms)) {
		lines = append(lines, service, quantileCurve(r.histograms[service]))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("load: --plot: %w; name a file that can be written", err)
	}
	return nil
}

// quantileCurve returns one point for each quantile. The points are evenly spaced, so
// that the tail of the distribution is as wide as its middle.
func quantileCurve(h *hdrhistogram.Histogram) plotter.XYs {
	points := make(plotter.XYs, len(quantiles))
	for i, q := range quantiles {
		points[i].X = float64(i)
		points[i].Y = max(float64(h.ValueAtQuantile(q))/1000, 0.001)
	}
	return points
}

func quantileTicks() plot.ConstantTicks {
	ticks := make(plot.ConstantTicks, len(quantiles))
	for i, q := range quantiles {
		ticks[i] = plot.Tick{Value: float64(i), Label: fmt.Sprintf("%g", q)}
	}
	return ticks
}
