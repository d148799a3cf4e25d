package benchpath

import (
	"context"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Command returns the `bench path` command.
func Command() command.Command {
	return command.Command{
		Name:    "path",
		Summary: "latency, throughput and memory of one entry VM hop against a direct call; look-ups a second",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	sub.Duration(&o.Round, "r", "round", "length of one measurement")
	sub.Int(&o.Rounds, "n", "rounds", "how often direct and hop take turns")
	sub.Int(&o.Workers, "w", "workers", "callers at once in the throughput measurement")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	return func(ctx context.Context, io command.IO) error {
		if err := o.Check(); err != nil {
			return command.Failf(command.Usage, "see `heatherlock bench path --help`", "%v", err)
		}
		report, err := Run(ctx, o)
		if err != nil {
			return command.Failf(command.Other, "", "%v", err)
		}
		report.WriteText(io.Out)
		if o.JSONFile == "" {
			return nil
		}
		return report.WriteJSON(o.JSONFile)
	}
}
