package benchplacement

import (
	"fmt"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 14 * vg.Length(1)
)

// WritePlot draws the worth of each policy as a bar chart, with one group of bars for each scenario.
// The extension of path selects the image format.
func (r Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Worth of simulated days by way of placement, seed %d", r.Seed)
	p.Y.Label.Text = "worth, as a share of what was asked"
	p.Legend.Top = true
	for i, w := range policies {
		bars, err := plotter.NewBarChart(r.worthValues(w.name), barWidth)
		if err != nil {
			return errors.Wrap(err, "bench placement: draw")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(2*i-len(policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(w.name, bars)
	}
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.Name
	}
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "bench placement: --plot: name a file that can be written")
	}
	return nil
}

// worthValues returns the worth of a policy in each scenario, in the order of scenarios.
func (r Report) worthValues(policyName string) plotter.Values {
	var worthValues plotter.Values
	for _, row := range r.Rows {
		if row.Way == policyName {
			worthValues = append(worthValues, row.Worth)
		}
	}
	return worthValues
}
