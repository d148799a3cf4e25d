package quickstart

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherlock/standin/deploy"
)

// Limits and defaults of the options.
const (
	minFor     = 2 * time.Second
	maxFor     = 10 * time.Minute
	maxLoad    = 3
	maxStretch = 20
	defaultFor = 10 * time.Second
	// defaultRunOver is about twice the time until the first shifted request.
	defaultRunOver = 5 * time.Second
	// defaultLoad is a share of all target slots.
	defaultLoad = 0.15
)

// Options are the options of a run.
type Options struct {
	// For is how long callers send requests.
	For time.Duration
	// RunOver is how much longer than For a run may take if no request has been
	// counted against the cap yet.
	RunOver    time.Duration
	Seed       uint64
	JSONFile   string
	Keep       bool
	Deployment string
	// Load is the share of all target slots that the callers' requests occupy.
	Load   float64
	Faults []Fault
	// Stretch multiplies the service times of the stand-ins, so that the machine
	// has to process fewer requests for the same slot utilization.
	Stretch int
	// LogFile is the file for the logs of the entry VMs. If it is empty, the logs
	// are discarded.
	LogFile string
	// Processes is a directory to which the settings of the entry VMs are written
	// so that they can be started as separate processes. If it is empty, they run
	// in this process.
	Processes string
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{For: defaultFor, RunOver: defaultRunOver, Seed: 1, Deployment: deploy.ChileName, Load: defaultLoad, Stretch: 1}
}

// Check returns an error with a remedy for the first invalid option.
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
