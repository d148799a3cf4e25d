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
	// conditionDeleted is accepted by `wait --for` in addition to the conditions of the kind.
	conditionDeleted   = "Deleted"
	defaultWaitTimeout = time.Minute
	// The poll interval starts at minPollInterval and doubles up to maxPollInterval: most
	// conditions hold within seconds, and each poll costs the platform a read.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
)

// Wait returns the subcommand that waits until a condition holds.
func Wait() command.Command {
	return newCommand("wait", "wait until a condition holds: wait KIND NAME --for CONDITION", func(sub *flaggy.Subcommand) func(context.Context, *client.Client, command.IO) error {
		kind, name, condition := "", "", ""
		limit := defaultWaitTimeout
		sub.AddPositionalValue(&kind, "KIND", 1, true, "a kind, for example Shift")
		sub.AddPositionalValue(&name, "NAME", 2, true, "the object")
		sub.String(&condition, "", "for", "the condition, for example InForce; Deleted waits until the object is gone")
		sub.Duration(&limit, "t", "timeout", "how long to wait")
		return func(ctx context.Context, c *client.Client, io command.IO) error {
			ref, err := parseRef(kind, name)
			if err != nil {
				return err
			}
			condition, err = parseCondition(ref.Kind, condition)
			if err != nil {
				return err
			}
			return runWait(ctx, c, ref, condition, limit, io)
		}
	})
}

// parseCondition returns the condition of a kind with the given name, ignoring case.
func parseCondition(kind oas.Kind, name string) (string, error) {
	known := append(slices.Clone(operator.Conditions[kind]), conditionDeleted)
	for _, one := range known {
		if strings.EqualFold(one, name) {
			return one, nil
		}
	}
	return "", command.Failf(command.Usage, "use --for with one of "+strings.Join(known, ", "), "%q is not a condition of %s", name, kind)
}

func runWait(ctx context.Context, c *client.Client, ref check.Ref, condition string, timeout time.Duration, io command.IO) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, interval := time.Now(), minPollInterval
	lastMessage := "nothing heard yet"
	for {
		holds, message, err := checkCondition(bounded, c, ref, condition)
		if err != nil && command.CodeOf(err) != command.Unreachable {
			return err
		}
		if holds {
			fmt.Fprintf(io.Out, "%s %s after %s: %s\n", ref, condition, time.Since(started).Round(time.Millisecond), message)
			return nil
		}
		if bounded.Err() == nil {
			lastMessage = message
		}
		if !sleep(bounded, interval) {
			break
		}
		interval = min(interval*2, maxPollInterval)
	}
	if ctx.Err() != nil {
		return command.Failf(command.Other, "", "interrupted; last seen: %s", lastMessage)
	}
	return command.Failf(command.Other, "look at `heatherlock status`, or wait longer with --timeout", "%s not %s after %s; last seen: %s", ref, condition, timeout, lastMessage)
}

// checkCondition fetches the object and reports whether the condition holds. An error with the
// code Unreachable is not final: the caller keeps waiting.
func checkCondition(ctx context.Context, c *client.Client, ref check.Ref, condition string) (holds bool, message string, err error) {
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
