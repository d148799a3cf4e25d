package benchcaps

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Default and upper limit of the simulated time per row.
const (
	defaultLength = 30 * time.Second
	maxLength     = 10 * time.Minute
)

// Command returns the command `bench caps`.
func Command() command.Command {
	return command.Command{
		Name:    "caps",
		Summary: "what a cap wastes when its permits are divided, by simulation",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	file, length, seed := "", defaultLength, uint64(1)
	sub.Duration(&length, "f", "for", "time to simulate per row")
	sub.UInt64(&seed, "s", "seed", "seed of the arrivals")
	sub.String(&file, "j", "json", "write the report to this file as one JSON object")
	return func(_ context.Context, io command.IO) error {
		if length < time.Second || length > maxLength {
			return command.Failf(command.Usage, "give --for from 1s to 10m", "--for %s is out of bounds", length)
		}
		report := Run(length, seed)
		report.WriteText(io.Out)
		if file == "" {
			return nil
		}
		return report.WriteJSON(file)
	}
}
