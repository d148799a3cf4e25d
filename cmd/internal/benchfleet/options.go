package benchfleet

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Options configures a run.
type Options struct {
	VMs     []int
	Zones   int
	Targets int
	Seed    uint64
	// Faults are those of AllFaults to play.
	Faults   []string
	JSONFile string
	SVGFile  string
}

// Defaults returns options for three sizes of a fleet with nine zones.
func Defaults() Options {
	return Options{VMs: []int{100, 300, 986}, Zones: 9, Targets: 1000, Seed: 1, Faults: AllFaults}
}

// Limits of the options, which keep a run within the memory of a machine.
const (
	maxVMs     = 4000
	maxZones   = 100
	maxTargets = 50_000
)

// Check returns an error that names the first flag with an invalid value.
func (o Options) Check() error {
	for _, n := range o.VMs {
		if n < o.Zones || n > maxVMs {
			return usage("--vms", "%d: give %d to %d entry VMs, at least one a zone", n, o.Zones, maxVMs)
		}
	}
	switch {
	case o.Zones < 1 || o.Zones > maxZones:
		return usage("--zones", "%d: give 1 to %d", o.Zones, maxZones)
	case o.Targets < 1 || o.Targets > maxTargets:
		return usage("--targets", "%d: give 1 to %d", o.Targets, maxTargets)
	}
	for _, fault := range o.Faults {
		if !slices.Contains(AllFaults, fault) {
			return usage("--faults", "%q is not known: give some of %s, separated by commas", fault, strings.Join(AllFaults, ", "))
		}
	}
	return nil
}

func usage(flag, format string, args ...any) error {
	return command.Failf(command.Usage, "see heatherlock bench fleet --help", flag+" "+format, args...)
}

// Command returns the `bench fleet` command.
func Command() command.Command {
	return command.Command{
		Name:    "fleet",
		Summary: "what control costs the VMs of a fleet by role, and how soon changes and failures are known, on simulated time",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	vms, faults, seed := "100,300,986", strings.Join(AllFaults, ","), 1
	sub.String(&vms, "", "vms", "fleet sizes, comma-separated")
	sub.Int(&o.Zones, "", "zones", "availability zones, three a region")
	sub.Int(&o.Targets, "", "targets", "targets in all zones together")
	sub.Int(&seed, "", "seed", "seed of the starting times, losses and faults")
	sub.String(&faults, "", "faults", "faults to play, comma-separated, or none")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	sub.String(&o.SVGFile, "", "svg", "write the plot to this file")
	return func(ctx context.Context, streams command.IO) error {
		var err error
		if o.VMs, err = parseSizes(vms); err != nil {
			return err
		}
		o.Seed, o.Faults = uint64(seed), nil
		if faults != "none" {
			o.Faults = strings.Split(faults, ",")
		}
		return Run(ctx, streams.Out, o)
	}
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return nil, usage("--vms", "%q is not a number: give for example 100,300,986", part)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// Report is the result of a run.
type Report struct {
	Rows []Row
	// Growth is the power with which a value grew from the smallest size to the largest.
	Growth map[string]float64
}

// Run plays all sizes and writes the report. It returns an error if an option is invalid or a file
// cannot be written.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := o.Check(); err != nil {
		return err
	}
	var r Report
	for _, n := range o.VMs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.Rows = append(r.Rows, play(n, o.Zones, o.Targets, o.Seed, o.Faults))
	}
	r.Growth = growth(r.Rows)
	r.writeText(out)
	if o.JSONFile != "" {
		raw, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return errors.Wrap(err, "benchfleet: encode report")
		}
		if err := os.WriteFile(o.JSONFile, append(raw, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "benchfleet: --json: name a file that can be written")
		}
	}
	return writeSVG(o.SVGFile, r)
}
