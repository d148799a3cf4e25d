package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"
)

// SimOptions holds the options of a simulation.
type SimOptions struct {
	Seed uint64
	// For is the simulated duration over which each run is measured.
	For time.Duration
	// JSONFile receives the report as JSON. It is not written if the name is empty.
	JSONFile string
	// PlotFile receives the plot of a simulation that has one. It is not written if the
	// name is empty.
	PlotFile string
}

// SimDefaults returns the default options.
func SimDefaults() SimOptions { return SimOptions{Seed: 1, For: 20 * time.Second} }

// Check returns an error if an option is out of bounds.
func (o SimOptions) Check() error {
	if o.For < time.Second || o.For > 10*time.Minute {
		return fmt.Errorf("bench: --for %s is out of bounds; give 1s to 10m", o.For)
	}
	return nil
}

// SimReport is the result of a simulation.
type SimReport interface {
	WriteText(w io.Writer)
	WriteJSON(file string) error
}

// SimPlot is a report that can be plotted.
type SimPlot interface {
	SimReport
	WritePlot(file string) error
}

// Simulation returns a subcommand that runs a simulation and prints its report.
func Simulation(name, summary string, run func(SimOptions) SimReport) Command {
	return simulation(name, summary, false, run)
}

// PlottedSimulation is like Simulation, for a report that can be plotted.
func PlottedSimulation(name, summary string, run func(SimOptions) SimPlot) Command {
	return simulation(name, summary, true, func(o SimOptions) SimReport { return run(o) })
}

func simulation(name, summary string, plotted bool, run func(SimOptions) SimReport) Command {
	return Command{Name: name, Summary: summary, Declare: func(sub *flaggy.Subcommand) Run {
		o := SimDefaults()
		seed := int(o.Seed)
		sub.Int(&seed, "s", "seed", "seed of arrivals and service times")
		sub.Duration(&o.For, "f", "for", "simulated time of each run")
		sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
		if plotted {
			sub.String(&o.PlotFile, "p", "plot", "draw the report into this file, .svg or .png")
		}
		return func(_ context.Context, io IO) error {
			o.Seed = uint64(seed)
			if err := o.Check(); err != nil {
				return Failf(Usage, "see `heatherlock bench "+name+" --help`", "%v", err)
			}
			report := run(o)
			report.WriteText(io.Out)
			if o.JSONFile != "" {
				if err := report.WriteJSON(o.JSONFile); err != nil {
					return err
				}
			}
			if plot, plottable := report.(SimPlot); plottable && o.PlotFile != "" {
				return plot.WritePlot(o.PlotFile)
			}
			return nil
		}
	}}
}
