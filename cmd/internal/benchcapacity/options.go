package benchcapacity

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Size is the size of one fleet to measure.
type Size struct {
	Nodes int `json:"nodes"`
	Zones int `json:"zones"`
	// Fitted reports whether the lines are fitted to the values of this size.
	Fitted bool `json:"fitted"`
}

// Options configures a run.
type Options struct {
	Sizes []Size
	// Warm, Steady, Outage and After are the durations of the warm-up, the steady state, the
	// platform outage and the time after the outage.
	Warm, Steady, Outage, After time.Duration
	Changes                     int  // configuration changes per size
	Plain                       bool // plain TCP instead of TLS between members
	JSONFile                    string
	SVGFile                     string
}

// Fleet size that the system is designed for.
const (
	designNodes = 650
	designZones = 30
)

// Defaults returns options that measure the size of the current deployment, which is not fitted, and
// four sizes with 22 entry VMs per zone. The design size has about as many per zone, so that only
// the number of zones grows.
func Defaults() Options {
	return Options{
		Sizes: []Size{
			{Nodes: 12, Zones: 6},
			{Nodes: 44, Zones: 2, Fitted: true}, {Nodes: 110, Zones: 5, Fitted: true},
			{Nodes: 198, Zones: 9, Fitted: true}, {Nodes: 286, Zones: 13, Fitted: true},
		},
		Warm: 25 * time.Second, Steady: 10 * time.Second, Outage: 15 * time.Second, After: 15 * time.Second,
		Changes: 5,
	}
}

// Command returns the `bench capacity` command.
func Command() command.Command {
	return command.Command{
		Name:    "capacity",
		Summary: "what control costs one entry VM, fitted over fleet sizes and worked out at 650 entry VMs",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	sizes := ""
	sub.String(&sizes, "", "sizes", "fleet sizes as NODES/ZONES, comma-separated; lines go through all of them")
	sub.Duration(&o.Steady, "", "steady", "how long to measure each size")
	sub.Int(&o.Changes, "n", "changes", "changes of configuration per size")
	sub.Bool(&o.Plain, "", "plain", "leave out TLS between the entry VMs")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	sub.String(&o.SVGFile, "", "svg", "write the plot to this file")
	return func(ctx context.Context, io command.IO) error {
		if sizes != "" {
			parsed, err := parseSizes(sizes)
			if err != nil {
				return command.Failf(command.Usage, "give for example --sizes 44/2,110/5", "--sizes %s: %v", sizes, err)
			}
			o.Sizes = parsed
		}
		return run(ctx, io.Out, o)
	}
}

// maxNodes keeps a fleet within the open files and the memory of one process.
const maxNodes = 400

func parseSizes(text string) ([]Size, error) {
	var sizes []Size
	for part := range strings.SplitSeq(text, ",") {
		nodes, zones, _ := strings.Cut(part, "/")
		n, err := strconv.Atoi(nodes)
		if err != nil {
			return nil, err
		}
		z, err := strconv.Atoi(zones)
		if err != nil {
			return nil, err
		}
		if n < 1 || n > maxNodes || z < 1 || z > n {
			return nil, errors.Errorf("%s: want 1 to %d entry VMs in at most as many zones", part, maxNodes)
		}
		sizes = append(sizes, Size{Nodes: n, Zones: z, Fitted: true})
	}
	return sizes, nil
}
