package operate

import (
	"context"
	"fmt"
	"slices"

	"github.com/fatih/color"
	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/objects"
	"heatherlock/node/operator"
)

// applyOptions are the flags of apply.
type applyOptions struct {
	files    []string
	dryRun   bool
	diff     bool
	override string
}

// Apply returns the subcommand that creates and updates objects.
func Apply() command.Command {
	return online("apply", "create or update the objects of files, in whatever order they are written", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		o := &applyOptions{}
		sub.StringSlice(&o.files, "f", "file", "file or directory of JSON objects, or - for standard input; may be repeated")
		sub.Bool(&o.dryRun, "n", "dry-run", "check and show what would change; store nothing")
		sub.Bool(&o.diff, "d", "diff", "show the fields that change")
		sub.String(&o.override, "", "override", "accept changes that break a promise; the reason given is recorded")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			items, err := readObjects(o.files, io)
			if err != nil {
				return err
			}
			return applyObjects(ctx, c, items, *o, io)
		}
	})
}

// readObjects reads files in which every object is right by itself.
func readObjects(files []string, io command.IO) ([]objects.Item, error) {
	items, err := objects.Read(files, io.In)
	if err != nil {
		return nil, err
	}
	wrong := 0
	for _, item := range items {
		for _, p := range item.Problems {
			wrong++
			fmt.Fprintf(io.Err, "%s: %s %s: %s\n  remedy: %s\n", item.Source, p.Object, p.Field, p.Message, p.Remedy)
		}
	}
	for _, message := range objects.Duplicates(items) {
		wrong++
		fmt.Fprintf(io.Err, "%s\n  remedy: keep one of the two\n", message)
	}
	if wrong > 0 {
		return nil, command.Failf(command.Refused, "", "%d problems; nothing was sent", wrong)
	}
	return items, nil
}

// applyObjects plans the writes, and sends them unless one of them cannot work.
func applyObjects(ctx context.Context, c *client.Client, items []objects.Item, o applyOptions, io command.IO) error {
	stored, err := c.Set(ctx, kindsNeeded(items)...)
	if err != nil {
		return err
	}
	var wanted []step
	for _, item := range items {
		s := newStep(stored, item)
		if s.existed && len(operator.Diff(s.before, s.object)) == 0 {
			fmt.Fprintf(io.Out, "%s unchanged\n", label(s.before))
			continue
		}
		wanted = append(wanted, s)
	}
	steps, stuck := plan(stored, wanted, o.override != "")
	if len(stuck) > 0 {
		return reportStuck(stuck, io)
	}
	if o.dryRun {
		showPlan(wanted, o, io)
		return nil
	}
	return send(ctx, c, steps, o, io)
}

// kindsNeeded lists the kinds that the changes are checked against. Client
// blocks may be many; they are read only if some are to be written.
func kindsNeeded(items []objects.Item) []oas.Kind {
	blocks := slices.ContainsFunc(items, func(i objects.Item) bool { return i.Object.Type == oas.ClientBlocksObject })
	var kinds []oas.Kind
	for _, kind := range check.Kinds {
		if kind != oas.KindClientBlocks || blocks {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// newStep prepares one write. A version given in the file is kept: the operator
// means to change that version and no other.
func newStep(stored check.Set, item objects.Item) step {
	s := step{ref: check.RefOf(item.Object), source: item.Source, object: item.Object}
	s.before, s.existed = stored.Get(s.ref)
	m := check.MetadataOf(&s.object)
	if s.existed && m.Version.Or(0) == 0 {
		m.Version = check.MetadataOf(&s.before).Version
	}
	if !s.existed {
		m.Version.Reset()
	}
	return s
}

func reportStuck(stuck []stuckStep, io command.IO) error {
	for _, s := range stuck {
		for _, p := range s.problems {
			fmt.Fprintf(io.Err, "%s: %s %s: %s (%s)\n  remedy: %s\n", s.step.source, p.Object, p.Field, p.Message, p.Class, p.Remedy)
		}
	}
	return command.Failf(command.Refused, "", "%d objects would be refused; nothing was sent", len(stuck))
}

func showPlan(wanted []step, o applyOptions, io command.IO) {
	for _, s := range wanted {
		verb := "created"
		if s.existed {
			verb = "updated"
		}
		fmt.Fprintf(io.Out, "%s would be %s\n", s.ref, verb)
		if o.diff {
			showDiff(s, io)
		}
	}
}

func showDiff(s step, io command.IO) {
	for _, line := range operator.Diff(s.before, s.object) {
		fmt.Fprintln(io.Out, "  "+paint(io, color.FgYellow, line))
	}
}

// send writes step by step and reports each. One that fails does not keep the
// others back, unless they depend on it; the exit code is the worst met.
func send(ctx context.Context, c *client.Client, steps []step, o applyOptions, io command.IO) error {
	failed := map[check.Ref]bool{}
	versions := map[check.Ref]oas.OptInt64{}
	worst := command.OK
	fail := func(s step, err error) {
		failed[s.ref] = true
		worst = max(worst, command.CodeOf(err))
		fmt.Fprintf(io.Err, "%s %s: %v\n", s.ref, paint(io, color.FgRed, "failed"), err)
	}
	for _, s := range steps {
		if before, ok := blocker(s, failed); ok {
			fail(s, command.Failf(command.Other, "apply again once it is there", "not sent, because %s failed", before))
			continue
		}
		if version, raised := versions[s.ref]; raised {
			check.MetadataOf(&s.object).Version = version
		}
		written, err := c.Put(ctx, s.object, client.WriteOptions{Override: o.override})
		if err != nil {
			fail(s, err)
			continue
		}
		versions[s.ref] = check.MetadataOf(&written).Version
		if s.atRest {
			continue
		}
		reportWritten(s, written, o, io)
	}
	if worst != command.OK {
		return command.Failf(worst, "the other objects were applied; correct these and apply again", "%d of %d objects failed", len(failed), countObjects(steps))
	}
	return nil
}

func reportWritten(s step, written oas.Object, o applyOptions, io command.IO) {
	verb := "created"
	if s.existed {
		verb = "updated"
	}
	fmt.Fprintf(io.Out, "%s %s\n", label(written), paint(io, color.FgGreen, verb))
	if o.diff {
		showDiff(s, io)
	}
}

// blocker returns a failed object without which a write must not be sent.
func blocker(s step, failed map[check.Ref]bool) (check.Ref, bool) {
	if failed[s.ref] {
		return s.ref, true
	}
	for _, ref := range s.after {
		if failed[ref] {
			return ref, true
		}
	}
	return check.Ref{}, false
}

func countObjects(steps []step) int {
	seen := map[check.Ref]bool{}
	for _, s := range steps {
		seen[s.ref] = true
	}
	return len(seen)
}
