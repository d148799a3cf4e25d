// Package vmstatus implements the subcommand that prints the state of entry VMs on the users'
// platform: their configuration, the age of the data read from the store, peers and targets.
// With --all it compares the configurations of the whole fleet.
package vmstatus

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/status"
	"heatherlock/responses"
)

// Formats that --output accepts.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// options holds the values of the flags.
type options struct {
	controls []string
	format   string
	all      bool
	watch    bool
}

// Command returns the vm-status subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "vm-status",
		Summary: "print what entry VMs on the users' platform go by: configuration, age of the store's read, targets, keys lent",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			o := &options{format: formatTable}
			sub.StringSlice(&o.controls, "c", "control", "HOST:PORT of an entry VM's control listener; several by repeats")
			sub.String(&o.format, "o", "output", "table or json")
			sub.Bool(&o.all, "a", "all", "show which configuration every VM of the fleet follows, asking one a zone; exit code 0 only if all follow the same")
			sub.Bool(&o.watch, "w", "watch", "with --all, show it again each second until interrupted")
			return func(ctx context.Context, out command.IO) error {
				if err := o.validate(); err != nil {
					return err
				}
				if o.all {
					return runFleet(ctx, o, out)
				}
				return runEach(ctx, o.controls, o.format, out.Out)
			}
		},
	}
}

func (o *options) validate() error {
	switch {
	case len(o.controls) == 0:
		return command.Failf(command.Usage, "give one or more with --control", "no entry VM named")
	case o.format != formatTable && o.format != formatJSON:
		return command.Failf(command.Usage, "use table or json", "unknown output %q", o.format)
	case o.watch && !o.all:
		return command.Failf(command.Usage, "give --all as well", "--watch alone")
	}
	return nil
}

// answer is the status of one entry VM, or the reason why it could not be fetched.
type answer struct {
	Control string         `json:"control"`
	Status  *status.Status `json:"status,omitempty"`
	Problem string         `json:"problem,omitempty"`
}

func runEach(ctx context.Context, addresses []string, format string, out io.Writer) error {
	if err := (&options{controls: addresses, format: format}).validate(); err != nil {
		return err
	}
	answers := fetchEach(ctx, addresses)
	unanswered := 0
	for _, a := range answers {
		if a.Status == nil {
			unanswered++
		}
	}
	if err := writeAnswers(answers, format, out); err != nil {
		return err
	}
	if unanswered > 0 {
		return command.Failf(command.Unreachable, "check the addresses, and whether those entry VMs run", "%d of %d entry VMs did not answer", unanswered, len(answers))
	}
	return nil
}

func fetchEach(ctx context.Context, addresses []string) []answer {
	statuses, errs := status.FetchEach(ctx, responses.NewClient(), addresses)
	answers := make([]answer, len(addresses))
	for i, address := range addresses {
		answers[i] = answer{Control: address, Status: statuses[i]}
		if errs[i] != nil {
			answers[i].Problem = errs[i].Error()
		}
	}
	return answers
}

func writeAnswers(answers []answer, format string, out io.Writer) error {
	if format == formatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(answers); err != nil {
			return errors.Wrap(err, "vm-status: write")
		}
		return nil
	}
	return writeAnswerTables(answers, out)
}

func writeAnswerTables(answers []answer, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tZONE\tSTATE\tCONFIG\tSTORE READ\tPEERS\tRUNNING\tDARK ZONES")
	for _, a := range answers {
		if s := a.Status; s != nil {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d of %d\t%d\t%s\n", s.VM, s.Zone, stateText(s), s.ConfigVersion, storeReadText(s), s.PeersLive, s.PeersKnown, s.RequestsRunning, joinNames(s.UnreachableZones, "none"))
			continue
		}
		fmt.Fprintf(w, "%s\t\tno answer: %s\n", a.Control, a.Problem)
	}
	fmt.Fprintln(w, "\nVM\tSERVICE\tTARGETS\tCLOSED\tCOLD\tLIMITED\tRESTING\tWEIGHT<1\tPASSED OVER\tKEYS KEPT\tTRIES LEFT\tASKED/S\tRUN MS")
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, v := range a.Status.Services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.0f\n", a.Status.VM, v.Name, v.Targets, v.Closed, v.Cold, v.Limited, v.Resting, v.WeightsBelowOne, len(v.Ejected), v.KeysKept, v.TriesLeft, v.RequestsPerSecond, v.RunMs)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "vm-status: write")
	}
	return nil
}

func stateText(s *status.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	}
	return "starting"
}

func storeReadText(s *status.Status) string {
	if s.StoreAgeMs < 0 {
		return "never"
	}
	text := strconv.FormatInt(s.StoreAgeMs, 10) + " ms ago"
	if s.StoreFails {
		text += ", own reads fail"
	}
	return text
}

func joinNames[T ~string](names []T, ifEmpty string) string {
	if len(names) == 0 {
		return ifEmpty
	}
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
