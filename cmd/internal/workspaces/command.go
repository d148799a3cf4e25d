package workspaces

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/status"
	"heatherlock/responses"
	"heatherlock/steering"
)

// maxShownVMs limits the VMs listed per configuration; --json lists all.
const maxShownVMs = 10

type options struct {
	controls  []string
	workspace string
	watch     bool
	json      bool
}

// Command returns the workspaces subcommand.
func Command() command.Command {
	return command.Command{
		Name:    "workspaces",
		Summary: "print what became of the requests of workspaces over a fleet on the users' platform, and how much of their allowances is in use",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			o := &options{}
			sub.AddPositionalValue(&o.workspace, "NAME", 1, false, "one workspace; all when left out")
			sub.StringSlice(&o.controls, "c", "control", "HOST:PORT of an entry VM's control listener; it names the others")
			sub.Bool(&o.watch, "w", "watch", "show it again each second until interrupted")
			sub.Bool(&o.json, "j", "json", "print JSON")
			return func(ctx context.Context, out command.IO) error { return o.run(ctx, out) }
		},
	}
}

func (o *options) run(ctx context.Context, out command.IO) error {
	if len(o.controls) == 0 {
		return command.Failf(command.Usage, "give one with --control", "no entry VM named")
	}
	return command.Watch(ctx, out, o.watch, func() error { return o.printOnce(ctx, out) })
}

func (o *options) printOnce(ctx context.Context, out command.IO) error {
	v, err := o.fetchView(ctx)
	if err != nil {
		return err
	}
	if o.json {
		encoder := json.NewEncoder(out.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(v); err != nil {
			return errors.Wrap(err, "workspaces: write")
		}
		return checkComplete(v, o.workspace)
	}
	if o.watch {
		command.Clear(out)
	}
	if err := write(v, out.Out); err != nil {
		return errors.Wrap(err, "workspaces: write")
	}
	return checkComplete(v, o.workspace)
}

// fetchView requests the status of one VM and then that of each VM that the first one lists
// as live.
func (o *options) fetchView(ctx context.Context) (View, error) {
	client := responses.NewClient()
	first, err := status.FetchAny(ctx, client, o.controls)
	if err != nil {
		return View{}, command.Failf(command.Unreachable, "check the addresses, and whether those entry VMs run", "none of %d entry VMs answered: %v", len(o.controls), err)
	}
	var liveControls []string
	for _, p := range first.Fleet {
		if p.Live {
			liveControls = append(liveControls, p.Control)
		}
	}
	answers, errs := status.FetchEach(ctx, client, liveControls)
	all, unanswered := []*status.Status{first}, []string(nil)
	for n, s := range answers {
		if errs[n] != nil {
			unanswered = append(unanswered, liveControls[n])
			continue
		}
		all = append(all, s)
	}
	v := Aggregate(all, steering.Workspace(o.workspace))
	v.Silent = unanswered
	return v, nil
}

// checkComplete fails with a documented exit code if a VM did not answer, no VM knows the
// workspace, or VMs use different configurations.
func checkComplete(v View, name string) error {
	switch {
	case len(v.Silent) > 0:
		return command.Failf(command.Unreachable, "the sums lack them; check whether they run", "%d entry VMs did not answer: %s", len(v.Silent), strings.Join(v.Silent, ", "))
	case name != "" && len(v.Workspaces) == 0:
		return command.Failf(command.Refused, "check the name; only workspaces with an allowance that were asked for are counted", "no entry VM knows workspace %q", name)
	case !v.SameConfiguration():
		return command.Failf(command.Other, "see docs/operations/configuration.md for what each VM waits for", "entry VMs go by %d different configurations", len(v.Configurations))
	}
	return nil
}

func write(v View, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tASKED\tADMITTED\tBEYOND\tNOT RUN\tRATE\tASKED NOW/S\tIN USE\tVMS\tOWNER\tMOST OFTEN NOT RUN FOR")
	for _, r := range v.Workspaces {
		rate, demand, use, vms := "unknown", "", "", ""
		if a := r.Allowance; a != nil {
			rate, demand, use, vms = fmt.Sprintf("%.1f", a.Rate), fmt.Sprintf("%.1f", a.Demand), fmt.Sprintf("%.0f%%", 100*r.Utilization()), fmt.Sprint(a.VMs)
		}
		reason, notRun := mostFrequent(r.NotRun)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Asked, r.Admitted, r.Beyond, notRun, rate, demand, use, vms, r.Owner, reason)
	}
	writeShares(w, v.Workspaces)
	fmt.Fprintf(w, "\n%d entry VMs answered\nKEYS AND LIMITS OF\tCONTENT\tVMS\tIN FORCE ON ALL OF THEM\n", len(v.Asked))
	for _, c := range v.Configurations {
		fmt.Fprintf(w, "configuration %d\t%s\t%d\t%v\n", c.Version, c.Content, len(c.VMs), time.Duration(c.InForceMs)*time.Millisecond)
	}
	for n, c := range v.Configurations {
		if n > 0 {
			fmt.Fprintf(w, "on configuration %d: %v\n", c.Version, c.VMs[:min(len(c.VMs), maxShownVMs)])
		}
	}
	return w.Flush()
}

// writeShares writes what workspaces ask of services that are short or have refused requests beyond a share.
func writeShares(w io.Writer, all []WorkspaceTotals) {
	heading := "\nWORKSPACE\tSERVICE\tRANK\tASKED NOW/S\tSHARE/S\tREFUSED\tSHORT ON\n"
	for _, r := range all {
		for _, s := range r.Shares {
			if !s.Short && s.Refused == 0 {
				continue
			}
			fmt.Fprintf(w, "%s%s\t%s\t%d\t%.1f\t%.1f\t%d\t%d of %d VMs\n", heading, r.Name, s.Service, s.Rank, s.Demand, s.Share.Share, s.Refused, s.ShortOn, s.VMs)
			heading = ""
		}
	}
}

// mostFrequent returns the reason with the most refusals, and the sum over all reasons.
func mostFrequent(counts map[steering.Reason]int64) (most steering.Reason, sum int64) {
	reasons := make([]steering.Reason, 0, len(counts))
	for reason, n := range counts {
		reasons, sum = append(reasons, reason), sum+n
	}
	if len(reasons) == 0 {
		return "", 0
	}
	return slices.MaxFunc(reasons, func(a, b steering.Reason) int { return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a)) }), sum
}
