package benchcapacity

import (
	"fmt"
	"image/color"
	"math"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// seriesColors are the colors of the series.
var seriesColors = []color.RGBA{{R: 0x1f, G: 0x77, B: 0xb4, A: 255}, {R: 0xd6, G: 0x27, B: 0x28, A: 255}, {R: 0x2c, G: 0xa0, B: 0x2c, A: 255},
	{R: 0x94, G: 0x67, B: 0xbd, A: 255}}

// plottedMetrics are the indexes in metrics of the metrics to plot. These have limits that apply to
// one entry VM or to a configuration change, not to the platform.
var plottedMetrics = []int{0, 2, 3, 4}

// writeSVG plots each metric as a percentage of its limit, with its fitted line extended to the
// design size. It does nothing if file is empty.
func writeSVG(file string, r Report) error {
	if file == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Control cost of one entry VM"
	p.X.Label.Text = "entry VMs"
	p.Y.Label.Text = "% of the limit"
	p.X.Min, p.X.Max, p.Y.Min = 0, designNodes, 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, index := range plottedMetrics {
		if err := addSeries(p, metrics[index], r.Fits[index], r.Rows, seriesColors[i]); err != nil {
			return errors.Wrap(err, "benchcapacity: plot")
		}
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "benchcapacity: name an .svg file that can be written")
	}
	return nil
}

func addSeries(p *plot.Plot, f metric, line Fit, rows []Row, seriesColor color.Color) error {
	share := func(v float64) float64 { return 100 * v / f.limit }
	var points plotter.XYs
	for _, row := range rows {
		points = append(points, plotter.XY{X: float64(row.Nodes), Y: share(f.value(row))})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: share(line.Intercept)}, {X: designNodes, Y: share(line.At)}})
	if err != nil {
		return err
	}
	scatter.Color, fitted.Color = seriesColor, seriesColor
	p.Add(scatter, fitted)
	p.Legend.Add(fmt.Sprintf("%s: %.3g of %.3g", f.name, line.At, f.limit), scatter)
	p.Y.Max = math.Max(p.Y.Max, share(line.At))
	return nil
}
