package benchfleet

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writeSVG plots the bytes that a VM of each role sends and pulls a second, by the size of the fleet.
// It does nothing if file is empty.
func writeSVG(file string, r Report) error {
	if file == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Control traffic of an entry VM by role"
	p.X.Label.Text, p.Y.Label.Text = "entry VMs", "B a second"
	p.Y.Min = 0
	var lines []any
	for _, role := range []Role{Reader, Delegate, Standby} {
		var points plotter.XYs
		for _, row := range r.Rows {
			if row.Steady[role].VMs > 0 {
				points = append(points, plotter.XY{X: float64(row.VMs), Y: row.Steady[role].Bytes})
			}
		}
		if len(points) > 0 {
			lines = append(lines, string(role), points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "benchfleet: plot")
	}
	if err := p.Save(7*vg.Inch, 4.5*vg.Inch, file); err != nil {
		return errors.Wrap(err, "benchfleet: --svg: name an .svg file that can be written")
	}
	return nil
}
