package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/objects"
)

// Stop returns the subcommand that declares a planned stop.
func Stop() command.Command {
	return newCommand("stop", "declare a planned stop: stop target|entryVM|zone|place NAME", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		what, subject, name, at, deadline := "", "", "", "", ""
		cut, print := false, false
		o := &applyOptions{}
		sub.AddPositionalValue(&what, "WHAT", 1, true, "target, entryVM, zone or place")
		sub.AddPositionalValue(&subject, "NAME", 2, true, "its name")
		sub.String(&name, "", "name", "name of the PlannedStop object; made of what is stopped when left out")
		sub.String(&at, "", "at", "when it starts: a time (RFC 3339) or a delay such as 10m; at once when left out")
		sub.String(&deadline, "", "deadline", "when it should be over: a time or a delay")
		sub.Bool(&cut, "", "cut-at-deadline", "cut what is still in flight at the deadline")
		addWriteFlags(sub, o, &print)
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			spec := oas.PlannedStopSpec{What: oas.PlannedStopSpecWhat(what), Name: subject}
			if cut {
				spec.CutAtDeadline = oas.NewOptBool(true)
			}
			if err := parseTime(&spec.At, "at", at, time.Now()); err != nil {
				return err
			}
			if err := parseTime(&spec.Deadline, "deadline", deadline, spec.At.Or(time.Now())); err != nil {
				return err
			}
			if name == "" {
				name = strings.ToLower(what + "-" + subject)
			}
			stop := oas.PlannedStop{Kind: string(oas.KindPlannedStop), Metadata: oas.Metadata{Name: oas.ObjectName(name)}, Spec: spec}
			return applyDeclared(ctx, c, *o, print, io, oas.NewPlannedStopObject(stop))
		}
	})
}

// Shift returns the subcommand that declares a shift, and a cap for it with --cap.
func Shift() command.Command {
	return newCommand("shift", "declare a shift of callers: shift FROM TO --percent N [--cap N]", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		from, to, name, service := "", "", "", ""
		percent, limit, window := -1, -1, time.Second
		step, every := 0, time.Duration(0)
		print := false
		o := &applyOptions{}
		sub.AddPositionalValue(&from, "FROM", 1, true, "a place, zone or region")
		sub.AddPositionalValue(&to, "TO", 2, true, "a place, zone or region")
		sub.Int(&percent, "p", "percent", "share of the callers that is to be moved in the end")
		sub.String(&service, "s", "service", "the service moved; every service when left out")
		sub.Int(&limit, "", "cap", "most requests that the shift may bring in any window, over all entry VMs")
		sub.Duration(&window, "", "window", "length of the cap's window")
		sub.Int(&step, "", "step-percent", "most that moves in one step")
		sub.Duration(&every, "", "step-every", "least time between two steps")
		sub.String(&name, "", "name", "name of the objects; made of both ends when left out")
		addWriteFlags(sub, o, &print)
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			if percent < 0 {
				return command.Failf(command.Usage, "say how much with --percent", "no percent given")
			}
			if name == "" {
				name = strings.Trim(strings.ToLower(service+"-"+from+"-"+to), "-")
			}
			spec := oas.ShiftSpec{From: from, To: to, Percent: percent}
			if service != "" {
				spec.Service = oas.NewOptString(service)
			}
			if step > 0 {
				spec.StepPercent = oas.NewOptInt(step)
			}
			if every > 0 {
				spec.StepSeconds = oas.NewOptInt(int((every + time.Second - 1) / time.Second))
			}
			metadata := oas.Metadata{Name: oas.ObjectName(name)}
			all := []oas.Object{oas.NewShiftObject(oas.Shift{Kind: string(oas.KindShift), Metadata: metadata, Spec: spec})}
			if limit >= 0 {
				limits := oas.CapSpec{Shift: name, Requests: limit, WindowMs: oas.NewOptInt64(window.Milliseconds())}
				all = append(all, oas.NewCapObject(oas.Cap{Kind: string(oas.KindCap), Metadata: metadata, Spec: limits}))
			}
			return applyDeclared(ctx, c, *o, print, io, all...)
		}
	})
}

// addWriteFlags adds the flags shared by the commands that declare objects.
func addWriteFlags(sub *flaggy.Subcommand, o *applyOptions, print *bool) {
	sub.Bool(&o.dryRun, "n", "dry-run", "check and show what would change; store nothing")
	sub.Bool(&o.diff, "d", "diff", "show the fields that change")
	sub.Bool(print, "", "print", "print the objects as JSON and send nothing")
	sub.String(&o.override, "", "override", "accept a change that breaks a promise; the reason given is recorded")
}

// applyDeclared applies the objects that a command built, as apply does for those of files.
// With print, it only prints them as JSON.
func applyDeclared(ctx context.Context, c *client.Client, o applyOptions, print bool, io command.IO, all ...oas.Object) error {
	items := make([]objects.Item, len(all))
	for i, one := range all {
		raw, err := one.MarshalJSON()
		if err != nil {
			return command.Failf(command.Other, "", "%v", err)
		}
		items[i] = objects.Item{Source: string(one.Type), Raw: raw}
		items[i].Object, items[i].Problems = check.Decode(raw)
		for _, p := range items[i].Problems {
			return command.Failf(command.Refused, p.Remedy, "%s: %s", p.Field, p.Message)
		}
		if print {
			if err := writeJSON(io.Out, json.RawMessage(raw)); err != nil {
				return err
			}
		}
	}
	if print {
		return nil
	}
	if err := applyObjects(ctx, c, items, o, io); err != nil {
		return err
	}
	ref := check.RefOf(items[0].Object)
	fmt.Fprintf(io.Out, "follow it with: heatherlock watch %s %s\n", ref.Kind, ref.Name)
	return nil
}

// parseTime sets to from text, which is a time in RFC 3339 or a delay counted from base. It
// leaves to unset if text is empty.
func parseTime(to *oas.OptDateTime, flag, text string, base time.Time) error {
	if text == "" {
		return nil
	}
	if delay, err := time.ParseDuration(text); err == nil {
		to.SetTo(base.Add(delay).UTC().Truncate(time.Second))
		return nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return command.Failf(command.Usage, "give a time such as 2026-12-02T22:00:00Z or a delay such as 10m", "--%s: %q is neither a time nor a delay", flag, text)
	}
	to.SetTo(t.UTC())
	return nil
}
