package operate

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/fatih/color"
	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

// Status returns the subcommand that prints an overview of the deployment.
func Status() command.Command {
	return newCommand("status", "show zones, entry VMs, headroom, shifts and planned stops", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		format := formatTable
		sub.String(&format, "o", "output", "table or json")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			status, err := c.Status(ctx)
			if err != nil {
				return err
			}
			if format == formatJSON {
				return writeJSON(io.Out, status)
			}
			if err := writeStatus(io, status); err != nil {
				return err
			}
			return writeProgress(ctx, c, io)
		}
	})
}

func writeStatus(io command.IO, s *oas.DeploymentStatus) error {
	platform := colorize(io, color.FgGreen, "reachable")
	if !s.PlatformReachable {
		platform = colorize(io, color.FgRed, "not reachable; the configuration in force stays")
	}
	fmt.Fprintf(io.Out, "seen by %s, configuration %d, platform %s\n", s.AnsweredBy, s.ConfigVersion, platform)
	if err := writeZones(io, s); err != nil {
		return err
	}
	if err := writeMembers(io.Out, s); err != nil {
		return err
	}
	return writePools(io.Out, s)
}

func writeZones(io command.IO, s *oas.DeploymentStatus) error {
	w := tabwriter.NewWriter(io.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nZONE\tREGION\tCONFIGURATION\tHEARD\tSTATE")
	for _, z := range s.Zones {
		state := colorize(io, color.FgGreen, "in step")
		if z.ConfigVersion < s.ConfigVersion {
			state = colorize(io, color.FgYellow, "taking the newest configuration")
		}
		if since, cut := z.CutOffSince.Get(); cut {
			state = colorize(io, color.FgRed, "cut off since "+since.UTC().Format(time.RFC3339))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\t%s\n", z.Zone, z.Region, z.ConfigVersion, age(z.AgeMs), state)
	}
	return w.Flush()
}

func writeMembers(out io.Writer, s *oas.DeploymentStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nENTRY VM\tZONE\tSTATE\tCONFIGURATION\tHEARD")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s ago\n", m.VM, m.Zone, m.State, m.ConfigVersion, age(m.AgeMs))
	}
	return w.Flush()
}

func writePools(out io.Writer, s *oas.DeploymentStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPLACE\tSERVICE\tFREE SLOTS\tHELD BACK\tIN FLIGHT\tQUEUED\tKNOWN")
	for _, p := range s.Places {
		for _, pool := range p.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%d\t%d\t%s ago\n", p.Place, pool.Service, max(pool.Slots-pool.InFlight, 0), pool.Slots, pool.HeldBack.Or(0), pool.InFlight, pool.Queued, age(pool.AgeMs))
		}
	}
	return w.Flush()
}

func age(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// writeProgress prints the shifts, caps and planned stops with their progress. These objects are
// read from the platform; if it does not answer, the rest of the status is printed all the same.
func writeProgress(ctx context.Context, c *client.Client, io command.IO) error {
	for _, kind := range []oas.Kind{oas.KindShift, oas.KindCap, oas.KindPlannedStop} {
		list, err := c.List(ctx, kind)
		if command.CodeOf(err) == command.Unreachable {
			fmt.Fprintf(io.Err, "%s objects: %v\n", kind, err)
			continue
		}
		if err != nil {
			return err
		}
		if len(list.Items) == 0 {
			continue
		}
		w := tabwriter.NewWriter(io.Out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "\n%s\tDECLARES\tSTATE\n", kind)
		for _, o := range list.Items {
			fmt.Fprintf(w, "%s\t%s\t%s\n", check.RefOf(o).Name, describeSpec(o), progressMessage(o))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// progressConditionIndex is the index of the condition that reports progress. It follows
// Accepted and InForce.
const progressConditionIndex = 2

// progressMessage returns the message of the condition that reports an object's progress, or ""
// if it has none.
func progressMessage(o oas.Object) string {
	conditions := check.StatusOf(&o).Value.Conditions
	if len(conditions) <= progressConditionIndex {
		return ""
	}
	return conditions[progressConditionIndex].Message
}
