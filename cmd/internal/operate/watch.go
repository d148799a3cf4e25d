package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fatih/color"
	"github.com/integrii/flaggy"

	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

// Watch returns the subcommand that prints objects and then their changes as they happen.
func Watch() command.Command {
	return newCommand("watch", "print objects, then each change as it happens: watch KIND [NAME]", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		kind, name, format := "", "", formatTable
		var limit time.Duration
		sub.AddPositionalValue(&kind, "KIND", 1, true, "a kind, for example Shift")
		sub.AddPositionalValue(&name, "NAME", 2, false, "an object; all of the kind when left out")
		sub.String(&format, "o", "output", "table or json, one object a line")
		sub.Duration(&limit, "", "for", "stop after this time; until interrupted when left out")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			k, err := parseKind(kind)
			if err != nil {
				return err
			}
			if limit > 0 {
				bounded, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				ctx = bounded
			}
			f := &watcher{client: c, kind: k, name: name, emit: eventPrinter(format, io), onUnreachable: func(err error) {
				fmt.Fprintf(io.Err, "%s; trying again, nothing is missed\n", err)
			}}
			return f.run(ctx)
		}
	})
}

// eventPrinter returns the function that prints one change.
func eventPrinter(format string, io command.IO) func(oas.WatchEvent) error {
	if format == formatJSON {
		encoder := json.NewEncoder(io.Out)
		return func(e oas.WatchEvent) error { return encoder.Encode(&e) }
	}
	return func(e oas.WatchEvent) error {
		line := fmt.Sprintf("%-7d %-7s %s/%s", e.Version, e.Type, e.Kind, e.Name)
		if o, ok := e.Object.Get(); ok {
			line += "  " + describeSpec(o) + "  " + colorize(io, color.FgCyan, summarizeConditions(o))
		}
		_, err := fmt.Fprintln(io.Out, line)
		return err
	}
}
