package losses

import (
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"heatherlock/cmd/internal/command"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

var plotFormats = []string{".svg", ".png", ".pdf"}

// curve is one line of the plot: a count taken from each window.
type curve struct {
	name  string
	color color.Color
	count func(Group) int
}

var curves = []curve{
	{"asked", color.RGBA{R: 120, G: 120, B: 120, A: 255}, func(p Group) int { return p.Asked }},
	{"in aim", color.RGBA{G: 140, B: 60, A: 255}, func(p Group) int { return p.InAim }},
	{"late", color.RGBA{R: 220, G: 150, A: 255}, func(p Group) int { return sumCounts(p.Late) }},
	{"refused", color.RGBA{B: 200, A: 255}, func(p Group) int { return sumCounts(p.Refused) }},
	{"failed", color.RGBA{R: 200, A: 255}, func(p Group) int { return sumCounts(p.Failed) }},
}

// writePlot plots the outcomes of requests over time into file, whose extension selects the
// format.
func (r Report) writePlot(file string) error {
	if !slices.Contains(plotFormats, filepath.Ext(file)) {
		return command.Failf(command.Usage, "name a file that ends in .svg, .png or .pdf", "--plot: %s has no format that is known", file)
	}
	p := plot.New()
	p.Title.Text = "Requests by window, as entry VMs answered them"
	p.X.Label.Text = "seconds from the first window"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	for _, c := range curves {
		points := make(plotter.XYs, len(r.Windows))
		for n, w := range r.Windows {
			points[n].X = w.At.Sub(r.Windows[0].At).Seconds()
			points[n].Y = float64(c.count(w))
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return command.Failf(command.Other, "report this as a fault of the program", "plot: %v", err)
		}
		l.Color = c.color
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return command.Failf(command.Usage, "name a file that can be written", "--plot: %v", err)
	}
	return nil
}
