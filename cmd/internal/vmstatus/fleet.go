package vmstatus

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/status"
	"heatherlock/responses"
)

const (
	// maxShownOutliers limits the VMs listed in the table; --output json lists all.
	maxShownOutliers = 20
)

// runFleet prints which configuration each VM of the fleet uses, once or, with --watch,
// repeatedly.
func runFleet(ctx context.Context, o *options, out command.IO) error {
	return command.Watch(ctx, out, o.watch, func() error {
		view, err := fetchFleet(ctx, o.controls)
		if err != nil {
			return err
		}
		return o.writeFleet(view, out)
	})
}

// writeFleet writes a view, and fails if not all VMs use the same configuration.
func (o *options) writeFleet(view status.FleetView, out command.IO) error {
	var err error
	if o.format == formatJSON {
		encoder := json.NewEncoder(out.Out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(view)
	} else {
		if o.watch {
			command.Clear(out)
		}
		err = writeFleetTables(view, out.Out)
	}
	if err != nil {
		return errors.Wrap(err, "vm-status: write")
	}
	return checkFollowing(view)
}

// checkFollowing fails with a documented exit code unless every zone answered and all VMs use
// the same configuration.
func checkFollowing(v status.FleetView) error {
	switch {
	case len(v.Silent) > 0:
		return command.Failf(command.Unreachable, "check whether VMs run there, and the way to them", "no entry VM answered in %d zones", len(v.Silent))
	case !v.Agree():
		return command.Failf(command.Other, "see docs/operations/configuration.md for what each VM waits for", "%d of %d entry VMs do not follow configuration %d", len(v.Outliers), v.Live, v.Newest)
	}
	return nil
}

// fetchFleet queries the given VMs in order until one answers, and then one VM of each other
// zone.
func fetchFleet(ctx context.Context, controls []string) (status.FleetView, error) {
	client := responses.NewClient()
	first, err := status.FetchAny(ctx, client, controls)
	if err != nil {
		return status.FleetView{}, command.Failf(command.Unreachable, "check the addresses, and whether those entry VMs run", "none of %d entry VMs answered: %v", len(controls), err)
	}
	return status.Gather(ctx, client, first), nil
}

// writeFleetTables prints the configuration versions by zone, and the VMs that do not use the
// newest one.
func writeFleetTables(v status.FleetView, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "configuration %d is the newest; %d entry VMs live, %d on record are gone; %d asked\n\n", v.Newest, v.Live, v.Gone, len(v.Asked))
	fmt.Fprintln(w, "ZONE\tVERSION\tCONTENT\tVMS\tIN FORCE ON ALL OF THEM")
	for _, z := range v.Zones {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\n", z.Zone, z.Version, orUnknown(z.Content), z.VMs, formatDuration(z.InForceMs))
	}
	if len(v.Outliers) > 0 {
		fmt.Fprintln(w, "\nNOT FOLLOWING\tZONE\tVERSION\tWHY")
	}
	for _, o := range v.Outliers[:min(len(v.Outliers), maxShownOutliers)] {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", o.VM, o.Zone, o.ConfigVersion, o.Why)
	}
	if more := len(v.Outliers) - maxShownOutliers; more > 0 {
		fmt.Fprintf(w, "and %d more; --output json names all\n", more)
	}
	for _, r := range v.Rejected {
		fmt.Fprintf(w, "\nrejected: version %s: %s\n", r.Version, r.Reason)
	}
	for _, zone := range v.Silent {
		fmt.Fprintf(w, "\nno answer from zone %s\n", zone)
	}
	return w.Flush()
}

func orUnknown(content string) string {
	if content == "" {
		return "unknown"
	}
	return content
}

// formatDuration formats a duration given in milliseconds. From 10 seconds on, it omits
// fractions of a second.
func formatDuration(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d < 10*time.Second {
		return d.String()
	}
	return d.Truncate(time.Second).String()
}
