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

// online returns a subcommand whose body gets a client.
func online(name, summary string, declare func(sub *flaggy.Subcommand) func(ctx context.Context, c *client.Client, io command.IO) error) command.Command {
	return command.Command{Name: name, Summary: summary, Declare: func(sub *flaggy.Subcommand) command.Run {
		options := &client.Options{}
		options.Declare(sub)
		body := declare(sub)
		return func(ctx context.Context, io command.IO) error {
			c, err := client.New(*options)
			if err != nil {
				return err
			}
			return body(ctx, c, io)
		}
	}}
}

// kindNamed finds a kind by the name an operator typed.
func kindNamed(name string) (oas.Kind, error) {
	kind, ok := offline.KindNamed(name)
	if !ok {
		return "", command.Failf(command.Usage, "`heatherlock explain` lists them", "%q is not a kind", name)
	}
	return oas.Kind(kind), nil
}

// refNamed finds the object that an operator typed.
func refNamed(kind, name string) (check.Ref, error) {
	k, err := kindNamed(kind)
	return check.Ref{Kind: k, Name: name}, err
}

// Formats of output.
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

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// paint colours text when the output is a terminal.
func paint(io command.IO, attribute color.Attribute, text string) string {
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
