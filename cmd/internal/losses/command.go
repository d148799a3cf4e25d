package losses

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Bounds of the options.
const (
	shortestWindow = time.Second // entry VMs write one line of sums a second
	usualWindow    = 2 * time.Second
	usualWorst     = 12
)

// options are the choices of a run.
type options struct {
	logs   []string
	window time.Duration
	worst  int
	json   bool
	plot   string
}

// Command returns the subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "losses",
		Summary: "say where callers lose and why, from the logs of entry VMs on the users' platform",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			o := &options{window: usualWindow, worst: usualWorst}
			sub.StringSlice(&o.logs, "l", "log", "log of an entry VM, or - for standard input; several by repeats")
			sub.Duration(&o.window, "w", "window", "length of the windows that requests are added up by, 1s or more")
			sub.Int(&o.worst, "n", "worst", "how many of the windows that lost most are shown")
			sub.Bool(&o.json, "j", "json", "print everything as one JSON object")
			sub.String(&o.plot, "p", "plot", "draw requests over time into this file (.svg, .png, .pdf)")
			return func(_ context.Context, out command.IO) error { return run(o, out) }
		},
	}
}

func (o *options) check() error {
	switch {
	case len(o.logs) == 0:
		return command.Failf(command.Usage, "give one or more with --log", "no log named")
	case o.window < shortestWindow:
		return command.Failf(command.Usage, "give 1s or more", "--window %v is too short", o.window)
	case o.worst < 0:
		return command.Failf(command.Usage, "give 0 or more", "--worst %d", o.worst)
	}
	return nil
}

func run(o *options, out command.IO) error {
	if err := o.check(); err != nil {
		return err
	}
	read := newReading(o.window)
	progress := func(done int) {
		if out.Terminal {
			fmt.Fprintf(out.Err, "\r%d of %d logs read", done, len(o.logs))
		}
	}
	err := read.files(o.logs, out.In, progress)
	if out.Terminal {
		fmt.Fprintln(out.Err)
	}
	if err != nil {
		return err
	}
	report := read.report()
	if o.plot != "" {
		if err := report.writePlot(o.plot); err != nil {
			return err
		}
	}
	if !o.json {
		return report.write(out.Out, o.worst)
	}
	encoder := json.NewEncoder(out.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return errors.Wrap(err, "losses: write")
	}
	return nil
}
