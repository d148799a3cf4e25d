package load

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
	"heatherlock/standin/deploy"
)

const (
	defaultRate = "200"
	defaultFor  = 10 * time.Second
)

// Command returns the load subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "load",
		Summary: "send callers' work to a running system at a steady rate and report what came back",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Options{Deployment: deploy.ChileName, For: defaultFor, Seed: 1}
	rate := defaultRate
	var entries string
	sub.String(&entries, "e", "entry", "callers' addresses of entry VMs, HOST:PORT, comma between")
	sub.String(&o.Deployment, "d", "deployment", "chile or prairies: services and client blocks")
	sub.String(&o.Mix, "m", "mix", "SERVICE=SHARE, comma between; by default all targets are loaded alike")
	sub.String(&rate, "r", "rate", "requests a second over all services")
	sub.Duration(&o.For, "f", "for", "how long to send")
	sub.UInt64(&o.Seed, "s", "seed", "seed of arrivals")
	sub.Bool(&o.AllowRemote, "", "allow-remote", "let work go to entry VMs that are not on loopback")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	sub.String(&o.PlotFile, "p", "plot", "draw the latencies into this .svg or .png file")
	return func(ctx context.Context, io command.IO) error {
		if entries != "" {
			o.Entries = strings.Split(entries, ",")
		}
		var err error
		if o.Rate, err = strconv.ParseFloat(rate, 64); err != nil {
			return command.Failf(command.Usage, "give a number such as 200", "--rate %q is not a number", rate)
		}
		return run(ctx, o, io)
	}
}

func run(ctx context.Context, o Options, io command.IO) error {
	if err := o.Check(); err != nil {
		return command.Failf(command.Usage, "see `heatherlock load --help`", "%v", err)
	}
	report, err := Run(ctx, o)
	if err != nil {
		return command.Failf(command.Unreachable, "check --entry and that the system runs", "%v", err)
	}
	report.WriteText(io.Out)
	return write(o, report)
}

func write(o Options, report *Report) error {
	if o.JSONFile != "" {
		if err := report.WriteJSON(o.JSONFile); err != nil {
			return command.Failf(command.Usage, "", "%v", err)
		}
	}
	if o.PlotFile != "" {
		if err := report.WritePlot(o.PlotFile); err != nil {
			return command.Failf(command.Usage, "", "%v", err)
		}
	}
	return nil
}
