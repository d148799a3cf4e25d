package quickstart

import (
	"context"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Command returns the quickstart subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "quickstart",
		Summary: "run a whole deployment in this process on loopback, take callers' work through it and judge the promises",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	load := strconv.FormatFloat(o.Load, 'g', -1, 64)
	var faults string
	sub.Duration(&o.For, "f", "for", "how long callers send work, "+minFor.String()+" to "+maxFor.String())
	sub.UInt64(&o.Seed, "s", "seed", "seed of arrivals and service times")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	sub.Bool(&o.Keep, "k", "keep", "leave the system running and print commands to try on it")
	sub.String(&o.Deployment, "d", "deployment", "chile or prairies")
	sub.String(&load, "l", "load", "share of all target slots that the callers' work needs; above 1 is over capacity")
	sub.Int(&o.Stretch, "", "stretch", "multiply service times, so that a high load needs fewer requests of this machine")
	sub.String(&faults, "x", "fault", "plant faults, comma between: "+faultNames())
	sub.String(&o.LogFile, "", "log", "write the entry VMs' logs to this file")
	sub.String(&o.Processes, "", "processes", "write the entry VMs' settings to this directory and wait until heatherlockd runs for each")
	return func(ctx context.Context, io command.IO) error {
		for name := range strings.SplitSeq(faults, ",") {
			if name != "" {
				o.Faults = append(o.Faults, Fault(strings.TrimSpace(name)))
			}
		}
		var err error
		if o.Load, err = strconv.ParseFloat(load, 64); err != nil {
			return command.Failf(command.Usage, "give a number such as 0.15", "--load %q is not a number", load)
		}
		return run(ctx, o, io)
	}
}

func run(ctx context.Context, o Options, io command.IO) error {
	if err := o.Check(); err != nil {
		return command.Failf(command.Usage, "see `heatherlock quickstart --help`", "%v", err)
	}
	report, err := Run(ctx, o, Screen{Out: io.Out, Live: io.Terminal})
	if err != nil {
		return command.Failf(command.Other, "", "%v", err)
	}
	if !report.Held {
		return command.Failf(command.Other, "read the promises above; `heatherlock why` explains refusals", "%s", report.summary())
	}
	return nil
}
