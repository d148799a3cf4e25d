package offline

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/steering"
	"heatherlock/steering/once"
)

// Why returns the subcommand that says what a refusal means and what to do, and
// what became of a request key.
func Why() command.Command {
	return command.Command{
		Name:    "why",
		Summary: "say what a refusal reason means, who knows the outcome of a request key, or what logs tell of a request",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			var reason, key, id string
			var logs []string
			options := &client.Options{}
			sub.String(&reason, "r", "reason", "the reason of the refusal, from the Heatherlock-Reason header; every reason when left out")
			sub.String(&key, "k", "key", "the request key; with an entry VM given, also whether the one that issued it still runs")
			sub.StringSlice(&logs, "l", "log", "log of an entry VM on the users' platform; several by repeats, with --id")
			sub.String(&id, "i", "id", "id of a request to explain from the logs")
			options.Declare(sub)
			return func(ctx context.Context, io command.IO) error {
				if len(logs) > 0 || id != "" {
					return runWhyLog(logs, id, io)
				}
				if key != "" {
					return runWhyKey(ctx, key, options, io)
				}
				return runWhy(reason, io)
			}
		},
	}
}

// runWhyKey says what the key itself tells, and asks for the entry VM that
// issued it: only that process life knows the outcome, and only it may ever run
// a request with the key.
func runWhyKey(ctx context.Context, key string, options *client.Options, io command.IO) error {
	parts, err := once.ParseKey(steering.Key(key))
	if err != nil {
		return command.Failf(command.Refused, "give the key as the caller sent it in Heatherlock-Key", "%v", err)
	}
	issued := time.Unix(0, 0).Add(time.Duration(parts.Epoch) * once.EpochLength).UTC()
	fmt.Fprintf(io.Out, "issued:  %s, by the process life %s\n", issued.Format(time.RFC3339), parts.Incarnation)
	if !options.Given() {
		fmt.Fprintln(io.Out, "holder:  give --entry-vm to ask whether that process still runs")
		return nil
	}
	c, err := client.New(*options)
	if err != nil {
		return err
	}
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Incarnation.Or("") == string(parts.Incarnation) && m.State != oas.MemberStatusStateGone {
			fmt.Fprintf(io.Out, "holder:  entry VM %s in zone %s, %s; it keeps the outcome for as long as its limits.outcomeTTLMs says\n", m.VM, m.Zone, m.State)
			fmt.Fprintln(io.Out, "remedy:  send the request again with the same key: it is answered from the outcome kept, or told that none is; it does not run twice")
			return nil
		}
	}
	fmt.Fprintf(io.Out, "holder:  none that %s knows of; the outcome is gone with it\n", status.AnsweredBy)
	return runWhy(string(steering.ReasonHomeGone), io)
}

func runWhy(reason string, io command.IO) error {
	if reason == "" {
		for _, name := range reasons() {
			fmt.Fprintf(io.Out, "%-22s %s\n", name, steering.Reasons[name].Meaning)
		}
		return nil
	}
	info, ok := steering.Reasons[steering.Reason(reason)]
	if !ok {
		return command.Failf(command.Usage, "run `heatherlock why` for the list", "%q is not a refusal reason", reason)
	}
	fmt.Fprintf(io.Out, "reason:  %s\nstatus:  %d\nmeaning: %s\nremedy:  %s\n", reason, info.Status, info.Meaning, info.Remedy)
	return nil
}

// reasons returns every reason, sorted.
func reasons() []steering.Reason {
	names := make([]steering.Reason, 0, len(steering.Reasons))
	for name := range steering.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
