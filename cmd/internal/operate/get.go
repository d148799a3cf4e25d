package operate

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

// Get returns the subcommand that prints objects with their status.
func Get() command.Command {
	return newCommand("get", "print objects with their status: get KIND [NAME]", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		kind, name, format := "", "", formatTable
		sub.AddPositionalValue(&kind, "KIND", 1, true, "a kind, for example Shift")
		sub.AddPositionalValue(&name, "NAME", 2, false, "an object; all of the kind when left out")
		sub.String(&format, "o", "output", "table or json")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			ref, err := parseRef(kind, name)
			if err != nil {
				return err
			}
			return runGet(ctx, c, ref, format, io)
		}
	})
}

func runGet(ctx context.Context, c *client.Client, ref check.Ref, format string, io command.IO) error {
	if ref.Name == "" {
		list, err := c.List(ctx, ref.Kind)
		if err != nil {
			return err
		}
		if format == formatJSON {
			return writeJSON(io.Out, list)
		}
		return writeTable(io.Out, list.Items)
	}
	o, err := c.Get(ctx, ref)
	if err != nil {
		return err
	}
	if format == formatJSON {
		return writeJSON(io.Out, o)
	}
	if err := writeTable(io.Out, []oas.Object{o}); err != nil {
		return err
	}
	return writeConditions(io.Out, o)
}

// writeTable writes a table with one line per object.
func writeTable(out io.Writer, objects []oas.Object) error {
	if len(objects) == 0 {
		fmt.Fprintln(out, "none")
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVERSION\tDECLARES\tSTATUS\tCHANGED BY\tAT")
	for _, o := range objects {
		m := check.MetadataOf(&o)
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", m.Name, m.Version.Or(0), describeSpec(o), summarizeConditions(o), m.ChangedBy.Or("-"), formatTime(m.ChangedAt))
	}
	return w.Flush()
}

func formatTime(t oas.OptDateTime) string {
	if !t.Set {
		return "-"
	}
	return t.Value.UTC().Format(time.RFC3339)
}

// describeSpec returns a short description of an object's spec.
func describeSpec(o oas.Object) string {
	switch o.Type {
	case oas.ServiceObject:
		s := o.Service.Spec
		return fmt.Sprintf("%s, %d ms, hosts %s", s.Criticality.Or(oas.ServiceSpecCriticalityNormal), s.TimeoutMs.Or(0), strings.Join(s.Hosts, " "))
	case oas.PlaceObject:
		s := o.Place.Spec
		slots := 0
		for _, t := range s.Targets {
			slots += t.Slots
		}
		return fmt.Sprintf("%s/%s, %d targets, %d slots", s.Region, s.Zone, len(s.Targets), slots)
	case oas.ClientBlocksObject:
		return fmt.Sprintf("%d blocks", len(o.ClientBlocks.Spec.Blocks))
	case oas.ShiftObject:
		s := o.Shift.Spec
		return fmt.Sprintf("%s: %s to %s, %d%%", s.Service.Or("every service"), s.From, s.To, s.Percent)
	case oas.CapObject:
		s := o.Cap.Spec
		return fmt.Sprintf("%s: %d in %d ms", s.Shift, s.Requests, s.WindowMs.Or(0))
	case oas.PlannedStopObject:
		s := o.PlannedStop.Spec
		return fmt.Sprintf("%s %s, deadline %s", s.What, s.Name, formatTime(s.Deadline))
	}
	return ""
}

// summarizeConditions lists the types of an object's conditions. A condition that does not hold
// is prefixed with "not".
func summarizeConditions(o oas.Object) string {
	var words []string
	for _, c := range check.StatusOf(&o).Value.Conditions {
		if c.Status {
			words = append(words, c.Type)
		} else {
			words = append(words, "not "+c.Type)
		}
	}
	return strings.Join(words, ", ")
}

// writeConditions writes a table with the conditions of an object, and with the zones in which
// it is not in force yet.
func writeConditions(out io.Writer, o oas.Object) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCONDITION\tHOLDS\tREASON\tSINCE\tMESSAGE")
	for _, c := range check.StatusOf(&o).Value.Conditions {
		fmt.Fprintf(w, "%s\t%t\t%s\t%s\t%s\n", c.Type, c.Status, c.Reason, c.Since.UTC().Format(time.RFC3339), c.Message)
	}
	for _, z := range check.StatusOf(&o).Value.Zones {
		if !z.InForce {
			fmt.Fprintf(w, "zone %s\tfalse\t\t%s\tnot in force yet\n", z.Zone, formatTime(z.CutOffSince))
		}
	}
	return w.Flush()
}
