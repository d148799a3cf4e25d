package operate

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

// Delete returns the subcommand that deletes an object.
func Delete() command.Command {
	return newCommand("delete", "remove an object: delete KIND NAME", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		kind, name, override := "", "", ""
		version := int64(0)
		sub.AddPositionalValue(&kind, "KIND", 1, true, "a kind, for example Shift")
		sub.AddPositionalValue(&name, "NAME", 2, true, "the object")
		sub.Int64(&version, "", "at-version", "only if the object is still at this version; the one stored now when left out")
		sub.String(&override, "", "override", "accept a removal that breaks a promise; the reason given is recorded")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			ref, err := parseRef(kind, name)
			if err != nil {
				return err
			}
			if version == 0 {
				o, err := c.Get(ctx, ref)
				if err != nil {
					return err
				}
				version = check.MetadataOf(&o).Version.Or(0)
			}
			if err := c.Delete(ctx, ref, version, client.WriteOptions{Override: override}); err != nil {
				return err
			}
			fmt.Fprintf(io.Out, "%s deleted\n", ref)
			return nil
		}
	})
}
