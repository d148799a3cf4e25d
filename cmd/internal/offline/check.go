package offline

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/objects"
	"heatherlock/node/static"
)

// Check returns the subcommand that validates objects as one set, by the same rules as
// the server, and a settings file as the daemon does at startup.
func Check() command.Command {
	return command.Command{
		Name:    "check",
		Summary: "check objects offline, as one whole set, or the settings of an entry VM",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			var files []string
			settings := ""
			sub.StringSlice(&files, "f", "file", "file or directory of JSON objects, or - for standard input; may be repeated")
			sub.String(&settings, "", "settings", "settings file of heatherlockd")
			return func(_ context.Context, io command.IO) error {
				if settings != "" {
					if err := checkSettings(settings, io); err != nil || len(files) == 0 {
						return err
					}
				}
				return runCheck(files, io)
			}
		},
	}
}

// checkSettings reports all problems in a settings file that would keep the daemon from
// starting.
func checkSettings(file string, io command.IO) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return command.Failf(command.Usage, "name a readable file", "%v", err)
	}
	_, err = static.Parse(raw)
	var settingsErr *static.Error
	if errors.As(err, &settingsErr) {
		for _, p := range settingsErr.Problems {
			fmt.Fprintf(io.Err, "%s: %s\n", file, p)
		}
		return command.Failf(command.Refused, "", "%d problems in the settings", len(settingsErr.Problems))
	}
	if err != nil {
		return command.Failf(command.Refused, "", "%v", err)
	}
	fmt.Fprintf(io.Out, "%s: no problems\n", file)
	return nil
}

func runCheck(files []string, io command.IO) error {
	items, err := objects.Read(files, io.In)
	if err != nil {
		return err
	}
	problems := 0
	report := func(source, message, remedy string) {
		problems++
		fmt.Fprintf(io.Err, "%s: %s\n  remedy: %s\n", source, message, remedy)
	}
	sources := map[check.Ref]string{}
	set := check.NewSet()
	for _, item := range items {
		for _, p := range item.Problems {
			report(item.Source, fmt.Sprintf("%s %s: %s", p.Object, p.Field, p.Message), p.Remedy)
		}
		if len(item.Problems) == 0 {
			set = set.With(item.Object)
			sources[check.RefOf(item.Object)] = item.Source
		}
	}
	for _, message := range objects.Duplicates(items) {
		report("check", message, "keep one of the two")
	}
	for _, p := range set.All(check.Facts{Now: time.Now()}) {
		report(sources[p.Object], fmt.Sprintf("%s %s: %s (%s)", p.Object, p.Field, p.Message, p.Class), p.Remedy)
	}
	if problems > 0 {
		return command.Failf(command.Refused, "", "%d problems in %d objects", problems, len(items))
	}
	fmt.Fprintf(io.Out, "%d objects, no problems\n", len(items))
	return nil
}
