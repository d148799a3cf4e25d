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

// Why returns the subcommand that explains the reason of a refusal, the holder of the outcome
// for a request key, or the cause of a failed request from the logs of entry VMs.
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
					return explainRequest(logs, id, io)
				}
				if key != "" {
					return explainKey(ctx, key, options, io)
				}
				return explainReason(reason, io)
			}
		},
	}
}

// explainKey prints what the key itself contains, and looks up the entry VM that issued it. Only
// the process incarnation that issued a key stores the outcome, and only it may run a request
// with that key; a restarted process has another incarnation.
func explainKey(ctx context.Context, key string, options *client.Options, io command.IO) error {
	parts, err := once.ParseKey(steering.Key(key))
	if err != nil {
		return command.Failf(command.Refused, "give the key as the caller sent it in Heatherlock-Key", "%v", err)
	}
	issued := time.Unix(0, 0).Add(time.Duration(parts.Epoch) * once.EpochLength).UTC()
	fmt.Fprintf(io.Out, "issued:  %s, by the process life %s\n", issued.Format(time.RFC3339), parts.Incarnation)
	if !options.HasEntryVMs() {
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
	return explainReason(string(steering.ReasonKeyOwnerGone), io)
}

// explainReason prints the meaning of a refusal reason and its remedy, or all reasons if reason
// is empty.
func explainReason(reason string, io command.IO) error {
	if reason == "" {
		for _, name := range sortedReasons() {
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

// sortedReasons returns all refusal reasons in alphabetical order.
func sortedReasons() []steering.Reason {
	names := make([]steering.Reason, 0, len(steering.Reasons))
	for name := range steering.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
