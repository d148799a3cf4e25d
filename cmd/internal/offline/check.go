package offline

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/objects"
)

// Check returns the subcommand that checks objects as one whole set, with the
// rules that the server applies.
func Check() command.Command {
	return command.Command{
		Name:    "check",
		Summary: "check objects offline, as one whole set",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			var files []string
			sub.StringSlice(&files, "f", "file", "file or directory of JSON objects, or - for standard input; may be repeated")
			return func(_ context.Context, io command.IO) error { return runCheck(files, io) }
		},
	}
}

func runCheck(files []string, io command.IO) error {
	items, err := objects.Read(files, io.In)
	if err != nil {
		return err
	}
	wrong := 0
	say := func(source, message, remedy string) {
		wrong++
		fmt.Fprintf(io.Err, "%s: %s\n  remedy: %s\n", source, message, remedy)
	}
	sources := map[check.Ref]string{}
	set := check.NewSet()
	for _, item := range items {
		for _, p := range item.Problems {
			say(item.Source, fmt.Sprintf("%s %s: %s", p.Object, p.Field, p.Message), p.Remedy)
		}
		if len(item.Problems) == 0 {
			set = set.With(item.Object)
			sources[check.RefOf(item.Object)] = item.Source
		}
	}
	for _, message := range objects.Duplicates(items) {
		say("check", message, "keep one of the two")
	}
	for _, p := range set.All(check.Facts{Now: time.Now()}) {
		say(sources[p.Object], fmt.Sprintf("%s %s: %s (%s)", p.Object, p.Field, p.Message, p.Class), p.Remedy)
	}
	if wrong > 0 {
		return command.Failf(command.Refused, "", "%d problems in %d objects", wrong, len(items))
	}
	fmt.Fprintf(io.Out, "%d objects, no problems\n", len(items))
	return nil
}
