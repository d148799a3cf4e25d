package command

import (
	"context"

	"github.com/integrii/flaggy"
)

// Group returns a command that consists of subcommands: `heatherlock NAME SUBCOMMAND`.
func Group(name, summary string, commands ...Command) Command {
	return Command{
		Name:    name,
		Summary: summary,
		Declare: func(sub *flaggy.Subcommand) Run {
			bodies := make(map[*flaggy.Subcommand]Run, len(commands))
			for _, c := range commands {
				inner := flaggy.NewSubcommand(c.Name)
				inner.Description = c.Summary
				bodies[inner] = c.Declare(inner)
				sub.AttachSubcommand(inner, 1)
			}
			return func(ctx context.Context, io IO) error {
				for inner, body := range bodies {
					if inner.Used {
						return body(ctx, io)
					}
				}
				return Failf(Usage, "see `heatherlock "+name+" --help`", "%s needs a subcommand", name)
			}
		},
	}
}
