package benchdecide

import (
	"context"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Command returns the command `bench decide`.
func Command() command.Command {
	return command.Command{
		Name:    "decide",
		Summary: "nanoseconds and allocations per admission and choice at 20, 200 and 2,000 targets",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	var file string
	sub.String(&file, "j", "json", "write the report to this file as one JSON object")
	return func(_ context.Context, io command.IO) error {
		report := Run()
		report.WriteText(io.Out)
		if file == "" {
			return nil
		}
		return report.WriteJSON(file)
	}
}
