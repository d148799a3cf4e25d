package benchplacement

import (
	"context"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Command returns `bench placement`.
func Command() command.Command {
	return command.Command{
		Name:    "placement",
		Summary: "play heavy days through the placement of requests, beside simpler ways",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	seed := int(o.Seed)
	sub.Int(&seed, "s", "seed", "seed of arrivals and service times")
	sub.Duration(&o.For, "f", "for", "simulated time of each run")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	return func(_ context.Context, io command.IO) error {
		o.Seed = uint64(seed)
		if err := o.Check(); err != nil {
			return command.Failf(command.Usage, "see `heatherlock bench placement --help`", "%v", err)
		}
		report := Run(o)
		report.WriteText(io.Out)
		if o.JSONFile == "" {
			return nil
		}
		return report.WriteJSON(o.JSONFile)
	}
}
