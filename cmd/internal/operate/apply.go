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
	return newCommand("apply", "create or update the objects of files, in whatever order they are written", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
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

// readObjects reads objects from files. It fails if one of them is invalid by itself or occurs
// twice.
func readObjects(files []string, io command.IO) ([]objects.Item, error) {
	items, err := objects.Read(files, io.In)
	if err != nil {
		return nil, err
	}
	problems := 0
	for _, item := range items {
		for _, p := range item.Problems {
			problems++
			fmt.Fprintf(io.Err, "%s: %s %s: %s\n  remedy: %s\n", item.Source, p.Object, p.Field, p.Message, p.Remedy)
		}
	}
	for _, message := range objects.Duplicates(items) {
		problems++
		fmt.Fprintf(io.Err, "%s\n  remedy: keep one of the two\n", message)
	}
	if problems > 0 {
		return nil, command.Failf(command.Refused, "", "%d problems; nothing was sent", problems)
	}
	return items, nil
}

// applyObjects plans the writes of the objects that differ from the stored ones. It sends them
// only if the rules allow all of them.
func applyObjects(ctx context.Context, c *client.Client, items []objects.Item, o applyOptions, io command.IO) error {
	stored, err := c.Set(ctx, requiredKinds(items)...)
	if err != nil {
		return err
	}
	var changes []step
	for _, item := range items {
		s := newStep(stored, item)
		if s.exists && len(operator.Diff(s.current, s.object)) == 0 {
			fmt.Fprintf(io.Out, "%s unchanged\n", label(s.current))
			continue
		}
		changes = append(changes, s)
	}
	steps, refused := planWrites(stored, changes, o.override != "")
	if len(refused) > 0 {
		return reportRefused(refused, io)
	}
	if o.dryRun {
		printPlan(changes, o, io)
		return nil
	}
	return sendWrites(ctx, c, steps, o, io)
}

// requiredKinds returns the kinds that the changes are checked against. There may be many
// client blocks, so they are read only if the changes include some.
func requiredKinds(items []objects.Item) []oas.Kind {
	hasClientBlocks := slices.ContainsFunc(items, func(i objects.Item) bool { return i.Object.Type == oas.ClientBlocksObject })
	var kinds []oas.Kind
	for _, kind := range check.Kinds {
		if kind != oas.KindClientBlocks || hasClientBlocks {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// newStep prepares the write of an object. It keeps a version given in the file, since the
// operator intends to replace that version only, and otherwise uses the stored version.
func newStep(stored check.Set, item objects.Item) step {
	s := step{ref: check.RefOf(item.Object), source: item.Source, object: item.Object}
	s.current, s.exists = stored.Get(s.ref)
	m := check.MetadataOf(&s.object)
	if s.exists && m.Version.Or(0) == 0 {
		m.Version = check.MetadataOf(&s.current).Version
	}
	if !s.exists {
		m.Version.Reset()
	}
	return s
}

func reportRefused(refused []refusedStep, io command.IO) error {
	for _, s := range refused {
		for _, p := range s.problems {
			fmt.Fprintf(io.Err, "%s: %s %s: %s (%s)\n  remedy: %s\n", s.step.source, p.Object, p.Field, p.Message, p.Class, p.Remedy)
		}
	}
	return command.Failf(command.Refused, "", "%d objects would be refused; nothing was sent", len(refused))
}

func printPlan(changes []step, o applyOptions, io command.IO) {
	for _, s := range changes {
		verb := "created"
		if s.exists {
			verb = "updated"
		}
		fmt.Fprintf(io.Out, "%s would be %s\n", s.ref, verb)
		if o.diff {
			printDiff(s, io)
		}
	}
}

func printDiff(s step, io command.IO) {
	for _, line := range operator.Diff(s.current, s.object) {
		fmt.Fprintln(io.Out, "  "+colorize(io, color.FgYellow, line))
	}
}

// sendWrites sends the writes in order and reports each. After a failed write it skips only
// the writes that depend on it. The error carries the highest exit code of all failures.
func sendWrites(ctx context.Context, c *client.Client, steps []step, o applyOptions, io command.IO) error {
	failed := map[check.Ref]bool{}
	versions := map[check.Ref]oas.OptInt64{}
	exitCode := command.OK
	fail := func(s step, err error) {
		failed[s.ref] = true
		exitCode = max(exitCode, command.CodeOf(err))
		fmt.Fprintf(io.Err, "%s %s: %v\n", s.ref, colorize(io, color.FgRed, "failed"), err)
	}
	for _, s := range steps {
		if dependency, ok := failedDependency(s, failed); ok {
			fail(s, command.Failf(command.Other, "apply again once it is there", "not sent, because %s failed", dependency))
			continue
		}
		if version, alreadyWritten := versions[s.ref]; alreadyWritten {
			check.MetadataOf(&s.object).Version = version
		}
		written, err := c.Put(ctx, s.object, client.WriteOptions{Override: o.override})
		if err != nil {
			fail(s, err)
			continue
		}
		versions[s.ref] = check.MetadataOf(&written).Version
		if s.zeroPercent {
			continue
		}
		reportWritten(s, written, o, io)
	}
	if exitCode != command.OK {
		return command.Failf(exitCode, "the other objects were applied; correct these and apply again", "%d of %d objects failed", len(failed), countObjects(steps))
	}
	return nil
}

func reportWritten(s step, written oas.Object, o applyOptions, io command.IO) {
	verb := "created"
	if s.exists {
		verb = "updated"
	}
	fmt.Fprintf(io.Out, "%s %s\n", label(written), colorize(io, color.FgGreen, verb))
	if o.diff {
		printDiff(s, io)
	}
}

// failedDependency returns an object whose write failed and without which s must not be sent.
func failedDependency(s step, failed map[check.Ref]bool) (check.Ref, bool) {
	if failed[s.ref] {
		return s.ref, true
	}
	for _, ref := range s.dependsOn {
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
