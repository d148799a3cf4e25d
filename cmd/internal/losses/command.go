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

// Bounds and defaults of the flags.
const (
	minWindow           = time.Second // entry VMs write one line of sums per second
	defaultWindow       = 2 * time.Second
	defaultWorstWindows = 12
)

// options holds the values of the flags.
type options struct {
	logs         []string
	window       time.Duration
	worstWindows int
	json         bool
	plotFile     string
}

// Command returns the losses subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "losses",
		Summary: "say where callers lose and why, from the logs of entry VMs on the users' platform",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			o := &options{window: defaultWindow, worstWindows: defaultWorstWindows}
			sub.StringSlice(&o.logs, "l", "log", "log of an entry VM, or - for standard input; several by repeats")
			sub.Duration(&o.window, "w", "window", "length of the windows that requests are added up by, 1s or more")
			sub.Int(&o.worstWindows, "n", "worst", "how many of the windows that lost most are shown")
			sub.Bool(&o.json, "j", "json", "print everything as one JSON object")
			sub.String(&o.plotFile, "p", "plot", "draw requests over time into this file (.svg, .png, .pdf)")
			return func(_ context.Context, out command.IO) error { return run(o, out) }
		},
	}
}

func (o *options) validate() error {
	switch {
	case len(o.logs) == 0:
		return command.Failf(command.Usage, "give one or more with --log", "no log named")
	case o.window < minWindow:
		return command.Failf(command.Usage, "give 1s or more", "--window %v is too short", o.window)
	case o.worstWindows < 0:
		return command.Failf(command.Usage, "give 0 or more", "--worst %d", o.worstWindows)
	}
	return nil
}

func run(o *options, out command.IO) error {
	if err := o.validate(); err != nil {
		return err
	}
	totals := newLogTotals(o.window)
	progress := func(done int) {
		if out.Terminal {
			fmt.Fprintf(out.Err, "\r%d of %d logs read", done, len(o.logs))
		}
	}
	err := totals.readFiles(o.logs, out.In, progress)
	if out.Terminal {
		fmt.Fprintln(out.Err)
	}
	if err != nil {
		return err
	}
	report := totals.report()
	if o.plotFile != "" {
		if err := report.writePlot(o.plotFile); err != nil {
			return err
		}
	}
	if !o.json {
		return report.write(out.Out, o.worstWindows)
	}
	encoder := json.NewEncoder(out.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return errors.Wrap(err, "losses: write")
	}
	return nil
}
