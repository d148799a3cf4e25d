package operate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/node/operator"
)

const (
	// conditionDeleted is what `wait --for` takes besides the conditions.
	conditionDeleted = "Deleted"
	defaultWait      = time.Minute
	// Status is asked for often at first, then less so: most conditions hold
	// within seconds, and each question costs the platform a read.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// Wait returns the subcommand that waits until a condition holds.
func Wait() command.Command {
	return online("wait", "wait until a condition holds: wait KIND NAME --for CONDITION", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		kind, name, condition := "", "", ""
		limit := defaultWait
		sub.AddPositionalValue(&kind, "KIND", 1, true, "a kind, for example Shift")
		sub.AddPositionalValue(&name, "NAME", 2, true, "the object")
		sub.String(&condition, "", "for", "the condition, for example InForce; Deleted waits until the object is gone")
		sub.Duration(&limit, "t", "timeout", "how long to wait")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			ref, err := refNamed(kind, name)
			if err != nil {
				return err
			}
			condition, err = conditionFor(ref.Kind, condition)
			if err != nil {
				return err
			}
			return runWait(ctx, c, ref, condition, limit, io)
		}
	})
}

// conditionFor finds a condition of the kind without regard to case.
func conditionFor(kind oas.Kind, name string) (string, error) {
	known := append(slices.Clone(operator.Conditions[kind]), conditionDeleted)
	for _, one := range known {
		if strings.EqualFold(one, name) {
			return one, nil
		}
	}
	return "", command.Failf(command.Usage, "use --for with one of "+strings.Join(known, ", "), "%q is not a condition of %s", name, kind)
}

func runWait(ctx context.Context, c *client.Client, ref check.Ref, condition string, limit time.Duration, io command.IO) error {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started, pause := time.Now(), firstPause
	last := "nothing heard yet"
	for {
		holds, message, err := holdsNow(bounded, c, ref, condition)
		if err != nil && command.CodeOf(err) != command.Unreachable {
			return err
		}
		if holds {
			fmt.Fprintf(io.Out, "%s %s after %s: %s\n", ref, condition, time.Since(started).Round(time.Millisecond), message)
			return nil
		}
		if bounded.Err() == nil {
			last = message
		}
		if !sleep(bounded, pause) {
			break
		}
		pause = min(pause*2, lastPause)
	}
	if ctx.Err() != nil {
		return command.Failf(command.Other, "", "interrupted; last seen: %s", last)
	}
	return command.Failf(command.Other, "look at `heatherlock status`, or wait longer with --timeout", "%s not %s after %s; last seen: %s", ref, condition, limit, last)
}

// holdsNow asks once. Not being able to ask is not the end of waiting.
func holdsNow(ctx context.Context, c *client.Client, ref check.Ref, condition string) (holds bool, message string, err error) {
	o, err := c.Get(ctx, ref)
	if condition == conditionDeleted {
		if client.ReasonOf(err) == oas.ProblemReasonNotFound {
			return true, "gone", nil
		}
		return false, "still there", err
	}
	if err != nil {
		return false, err.Error(), err
	}
	for _, one := range check.StatusOf(&o).Value.Conditions {
		if one.Type == condition {
			return one.Status, one.Message, nil
		}
	}
	return false, "the entry VM says nothing of it", nil
}
