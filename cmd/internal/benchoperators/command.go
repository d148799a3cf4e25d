package benchoperators

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

// Options are the flags of `bench operators`.
type Options struct {
	Client  client.Options
	Changes int
	// Every is the mean pause between two changes.
	Every time.Duration
	// Seed determines the pauses.
	Seed uint64
	// Limit is the limit on the 99th percentile of the time until a change is in
	// force everywhere.
	Limit time.Duration
	// JSONFile is the file to which the report is written; empty for none.
	JSONFile string
}

// Defaults returns the options that apply when no flag is given.
func Defaults() Options {
	return Options{Changes: 100, Every: 300 * time.Millisecond, Seed: 1, Limit: 4 * time.Second}
}

const (
	maxChanges = 10000
	minEvery   = 10 * time.Millisecond
)

// Command returns the command `bench operators`.
func Command() command.Command {
	return command.Command{
		Name:    "operators",
		Summary: "on a running system: time until a change is accepted, seen by a watch and in force everywhere",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	o.Client.Declare(sub)
	sub.Int(&o.Changes, "n", "changes", "how many changes to make")
	sub.Duration(&o.Every, "", "every", "mean pause between two changes")
	sub.UInt64(&o.Seed, "s", "seed", "seed of the pauses")
	sub.Duration(&o.Limit, "", "limit", "fail if the 99th percentile until in force is longer")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	return func(ctx context.Context, io command.IO) error {
		if o.Changes < 1 || o.Changes > maxChanges || o.Every < minEvery {
			return command.Failf(command.Usage, "give 1 to 10000 changes, at least 10ms apart", "--changes %d --every %s", o.Changes, o.Every)
		}
		report, err := Run(ctx, o)
		if err != nil {
			return err
		}
		report.WriteText(io.Out)
		if err := command.WriteReport(o.JSONFile, report); err != nil {
			return err
		}
		if p99 := report.InForce.P99; p99 > milliseconds(o.Limit) {
			return command.Failf(command.Other, "look for slow or cut-off zones with `heatherlock status`", "in force everywhere after %.0f ms at the 99th percentile, limit %s", p99, o.Limit)
		}
		return nil
	}
}
