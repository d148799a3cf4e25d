package offline

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
	"heatherlock/steering"
)

// Why returns the subcommand that says what a refusal means and what to do.
func Why() command.Command {
	return command.Command{
		Name:    "why",
		Summary: "say what a refusal reason means and what to do about it",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			var reason string
			sub.String(&reason, "r", "reason", "the reason of the refusal, from the Heatherlock-Reason header; every reason when left out")
			return func(_ context.Context, io command.IO) error { return runWhy(reason, io) }
		},
	}
}

func runWhy(reason string, io command.IO) error {
	if reason == "" {
		for _, name := range reasons() {
			fmt.Fprintf(io.Out, "%-22s %s\n", name, steering.Reasons[name].Meaning)
		}
		return nil
	}
	info, ok := steering.Reasons[steering.Reason(reason)]
	if !ok {
		return command.Failf(command.Usage, "run `heatherlock why` for the list", "%q is not a refusal reason", reason)
	}
	fmt.Fprintf(io.Out, "reason:  %s\nstatus:  %d\nmeaning: %s\nremedy:  %s\n", reason, info.Status, info.Meaning, info.Remedy)
	return nil
}

// reasons returns every reason, sorted.
func reasons() []steering.Reason {
	names := make([]steering.Reason, 0, len(steering.Reasons))
	for name := range steering.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
