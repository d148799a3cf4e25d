package quickstart

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"heatherlock/cmd/internal/caller"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/node/telemetry"
	"heatherlock/standin/deploy"
)

// Times of the steps of a run, as shares of its length. The planned stop comes
// early, so that enough time is left to detect requests that reach the target
// after it has drained.
const (
	shiftAt     = 0.05
	stopAt      = 0.2
	faultAt     = 0.35
	changeAt    = 0.5
	faultEndsAt = 0.7
	burstAt     = 0.8
	// lateUploadsAt is when uploads are sent again, so that the place of the stopped target
	// has requests that must not reach that target.
	lateUploadsAt = 0.93
)

// stepTimeout limits the wait for the response to an operator's change, after which
// the step counts as not done. After a longer wait, operators do not know which
// configuration is in force.
const stepTimeout = 10 * time.Second

// Screen is where a run prints its progress and its report.
type Screen struct {
	Out io.Writer
	// Live is true if Out is a terminal.
	Live bool
}

// Run runs the deployment and checks its promises. If the error is nil, the report
// is complete, whether or not the promises held.
func Run(ctx context.Context, o Options, screen Screen) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	logger, closeLog, err := openLog(o.LogFile)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	d, err := deploy.Named(o.Deployment)
	if err != nil {
		return nil, err
	}
	s, err := newSystem(d.Stretched(o.Stretch), o.Seed, logger, o.Processes)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r := &runState{options: o, system: s, screen: screen}
	report, err := r.run(ctx)
	if err != nil {
		return nil, err
	}
	report.WriteText(screen.Out)
	if o.JSONFile != "" {
		if err := report.WriteJSON(o.JSONFile); err != nil {
			return nil, err
		}
	}
	if o.Keep {
		r.keepRunning(ctx)
	}
	return report, nil
}

func openLog(path string) (log.Logger, func(), error) {
	if path == "" {
		return log.NewNopLogger(), func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, fmt.Errorf("quickstart: --log: %w; name a file that can be written", err)
	}
	return telemetry.NewLogger(file, "debug"), func() { _ = file.Close() }, nil
}

// runState is the state of a run in progress.
type runState struct {
	options  Options
	system   *system
	screen   Screen
	operator *operator
	callers  map[string][]*caller.Caller
	traffic  *traffic.Traffic
	// notDone lists the steps of the plan that did not have the required outcome,
	// each with the error.
	mu      sync.Mutex
	notDone []string
}

func (r *runState) run(ctx context.Context) (*Report, error) {
	if err := r.system.startAll(); err != nil {
		return nil, err
	}
	if err := r.declare(ctx); err != nil {
		return nil, err
	}
	r.startCallers()
	defer r.closeCallers()
	started := time.Now()
	r.execute(ctx, started)
	return r.report(time.Since(started)), nil
}

func (r *runState) declare(ctx context.Context) (err error) {
	if r.operator, err = newOperator(r.system); err != nil {
		return err
	}
	if err := r.operator.declareDeployment(ctx); err != nil {
		return err
	}
	if err := r.operator.waitInForce(ctx); err != nil {
		return err
	}
	return r.system.waitReady(ctx)
}

// execute sends the callers' requests and concurrently executes the plan, then waits
// for the requests in flight.
func (r *runState) execute(ctx context.Context, started time.Time) {
	load, end := context.WithCancel(ctx)
	defer end()
	watch, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var background sync.WaitGroup
	background.Go(func() {
		defer end()
		r.waitUntilCapUsed(load, started)
	})
	background.Go(func() { r.operator.watch(watch) })
	background.Go(func() { r.showProgress(watch, started) })
	var plan sync.WaitGroup
	plan.Go(func() { r.plan(ctx, load, started) })
	if r.system.processes != nil {
		background.Go(func() { r.system.processes.followMarkers(watch, r.system) })
	}
	r.traffic.Run(load)
	r.traffic.Wait()
	plan.Wait()
	endWatch()
	background.Wait()
}

// waitUntilCapUsed returns when the time of the run is over and a request has been
// counted against the cap, or when Options.RunOver has passed as well. In a short
// run the first shifted requests may come late, because callers cache look-up
// answers and permits that are new in a seat stay unused at first.
func (r *runState) waitUntilCapUsed(ctx context.Context, started time.Time) {
	if !traffic.SleepUntil(ctx, started.Add(r.options.For)) {
		return
	}
	last := started.Add(r.options.For + r.options.RunOver)
	for time.Now().Before(last) && !r.operator.capUsed() {
		if !traffic.SleepUntil(ctx, time.Now().Add(pollInterval)) {
			return
		}
	}
}

// plan starts the steps of the plan until load ends. A step in progress at that
// time is completed under ctx: if the end of the run cancelled it, it would count
// as a step that the system failed to carry out.
func (r *runState) plan(ctx, load context.Context, started time.Time) {
	at := func(share float64) bool {
		return traffic.SleepUntil(load, started.Add(time.Duration(share*float64(r.options.For))))
	}
	if !at(shiftAt) {
		return
	}
	r.recordFailure("shift", withStepTimeout(ctx, func(ctx context.Context) error { return r.operator.shift(ctx, r.options.Load) }))
	if !at(stopAt) {
		return
	}
	r.sendUploads("stop")
	r.waitForUpload(load)
	r.recordFailure("planned stop", withStepTimeout(ctx, r.operator.plannedStop))
	r.injectFaults(ctx, at)
	if at(burstAt) {
		r.sendBurst()
	}
	if at(lateUploadsAt) {
		r.sendUploads("late")
	}
}

// injectFaults injects the requested faults and ends them again. In between, the
// operator changes an object.
func (r *runState) injectFaults(ctx context.Context, at func(share float64) bool) {
	if !at(faultAt) {
		return
	}
	for _, f := range r.options.Faults {
		defer r.system.inject(f, r.sendCrashRequests)()
	}
	if at(changeAt) {
		r.recordChange(withStepTimeout(ctx, r.operator.changeRetryPercent))
	}
	at(faultEndsAt)
}

// withStepTimeout executes a step of the operator with stepTimeout.
func withStepTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}

// recordChange records a change that did not have the required outcome. While the
// platform is down, the change must be refused.
func (r *runState) recordChange(err error) {
	if slices.Contains(r.options.Faults, FaultPlatformDown) == (err != nil) {
		return
	}
	if err == nil {
		err = errors.New("accepted while the platform was out")
	}
	r.recordFailure("change", err)
}

func (r *runState) recordFailure(step string, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notDone = append(r.notDone, step+": "+err.Error())
}
