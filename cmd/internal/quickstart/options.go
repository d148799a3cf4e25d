package quickstart

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherlock/standin/deploy"
)

// Bounds of the options.
const (
	minFor     = 2 * time.Second
	maxFor     = 10 * time.Minute
	maxLoad    = 3
	maxStretch = 20
	defaultFor = 10 * time.Second
	// defaultRunOver is about twice what the first shifted work takes.
	defaultRunOver = 5 * time.Second
	// defaultLoad is the share of the targets' slots that callers keep busy.
	defaultLoad = 0.15
)

// Options are the choices of a run.
type Options struct {
	For time.Duration
	// RunOver is how much longer a run may take until the cap has counted
	// something.
	RunOver    time.Duration
	Seed       uint64
	JSONFile   string
	Keep       bool
	Deployment string
	// Load is the share of all target slots that the callers' work needs.
	Load   float64
	Faults []Fault
	// Stretch multiplies the stand-ins' service times, so that the same share
	// of the slots needs fewer requests of this machine.
	Stretch int
	// LogFile takes the entry VMs' logs; empty drops them.
	LogFile string
	// Processes is a directory for the settings of entry VMs that somebody
	// else runs as processes; empty runs them in this process.
	Processes string
}

// Defaults returns the options of a run without flags.
func Defaults() Options {
	return Options{For: defaultFor, RunOver: defaultRunOver, Seed: 1, Deployment: deploy.ChileName, Load: defaultLoad, Stretch: 1}
}

// Check reports the first option out of bounds, with the remedy.
func (o Options) Check() error {
	if o.For < minFor || o.For > maxFor {
		return fmt.Errorf("quickstart: --for %s is out of bounds; give %s to %s", o.For, minFor, maxFor)
	}
	if o.Load <= 0 || o.Load > maxLoad {
		return fmt.Errorf("quickstart: --load %g is out of bounds; give more than 0 and at most %d", o.Load, maxLoad)
	}
	if o.Processes != "" && slices.Contains(o.Faults, FaultKillEntryVM) {
		return fmt.Errorf("quickstart: --fault %s needs entry VMs in this process; kill the process instead", FaultKillEntryVM)
	}
	if o.Processes != "" && slices.Contains(o.Faults, FaultCutZone) {
		return fmt.Errorf("quickstart: --fault %s needs entry VMs in this process; freeze processes instead", FaultCutZone)
	}
	if o.Stretch < 1 || o.Stretch > maxStretch {
		return fmt.Errorf("quickstart: --stretch %d is out of bounds; give 1 to %d", o.Stretch, maxStretch)
	}
	for _, f := range o.Faults {
		if !slices.Contains(AllFaults, f) {
			return fmt.Errorf("quickstart: no fault %q; use %s", f, faultNames())
		}
	}
	_, err := deploy.Named(o.Deployment)
	return err
}

func faultNames() string {
	names := make([]string, len(AllFaults))
	for i, f := range AllFaults {
		names[i] = string(f)
	}
	return strings.Join(names, ", ")
}
