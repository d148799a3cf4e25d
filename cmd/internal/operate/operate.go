package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/fatih/color"
	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/offline"
)

// newCommand returns a subcommand that calls the resource API. defineFlags adds its flags and
// returns its body, which receives a client.
func newCommand(name, summary string, defineFlags func(sub *flaggy.Subcommand) func(ctx context.Context, c *client.Client, io command.IO) error) command.Command {
	return command.Command{Name: name, Summary: summary, Declare: func(sub *flaggy.Subcommand) command.Run {
		options := &client.Options{}
		options.Declare(sub)
		body := defineFlags(sub)
		return func(ctx context.Context, io command.IO) error {
			c, err := client.New(*options)
			if err != nil {
				return err
			}
			return body(ctx, c, io)
		}
	}}
}

// parseKind returns the kind that an operator named, in any case, in singular or plural.
func parseKind(name string) (oas.Kind, error) {
	kind, ok := offline.LookupKind(name)
	if !ok {
		return "", command.Failf(command.Usage, "`heatherlock explain` lists them", "%q is not a kind", name)
	}
	return oas.Kind(kind), nil
}

// parseRef returns the reference to the object that an operator named.
func parseRef(kind, name string) (check.Ref, error) {
	k, err := parseKind(kind)
	return check.Ref{Kind: k, Name: name}, err
}

// Formats that --output accepts.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func checkFormat(format string) error {
	if format == formatTable || format == formatJSON {
		return nil
	}
	return command.Failf(command.Usage, "use -o table or -o json", "%q is not an output format", format)
}

// writeJSON writes value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// colorize returns text with a color attribute if the output is a terminal, and text itself
// otherwise.
func colorize(io command.IO, attribute color.Attribute, text string) string {
	c := color.New(attribute)
	c.DisableColor()
	if io.Terminal {
		c.EnableColor()
	}
	return c.Sprint(text)
}

// label returns "Kind/name (version 12)".
func label(o oas.Object) string {
	return fmt.Sprintf("%s (version %d)", check.RefOf(o), check.MetadataOf(&o).Version.Or(0))
}
