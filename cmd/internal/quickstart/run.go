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

// The moments of a run, as shares of its length. The planned stop comes early,
// so that the time after it is long enough to show late work.
const (
	shiftAt   = 0.05
	stopAt    = 0.2
	faultAt   = 0.35
	retuneAt  = 0.5
	faultEnds = 0.7
	rushAt    = 0.8
	// uploads are sent once more, so that the stopped target's place has work
	// that must not go there.
	lateAt = 0.93
)

// stepTimeout is how long an operator waits for an answer to a change before it counts as
// not done. An answer that takes longer leaves them not knowing what holds.
const stepTimeout = 10 * time.Second

// Screen is where a run shows itself.
type Screen struct {
	Out io.Writer
	// Live is set when Out is a terminal.
	Live bool
}

// Run runs the deployment and judges it. The report is complete when the
// error is nil, whether or not the promises held.
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
	r := &running{options: o, system: s, screen: screen}
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
		r.keep(ctx)
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

// running is a run under way.
type running struct {
	options  Options
	system   *system
	screen   Screen
	operator *operator
	callers  map[string][]*caller.Caller
	traffic  *traffic.Traffic
	// notDone lists steps of the plan that went otherwise than they must, with
	// why.
	mu      sync.Mutex
	notDone []string
}

func (r *running) run(ctx context.Context) (*Report, error) {
	if err := r.system.startAll(); err != nil {
		return nil, err
	}
	if err := r.declare(ctx); err != nil {
		return nil, err
	}
	r.startCallers()
	defer r.closeCallers()
	begun := time.Now()
	r.work(ctx, begun)
	return r.report(time.Since(begun)), nil
}

func (r *running) declare(ctx context.Context) (err error) {
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

// work sends the callers' work and carries out the plan beside it, then waits
// for what is under way.
func (r *running) work(ctx context.Context, begun time.Time) {
	load, end := context.WithCancel(ctx)
	defer end()
	watch, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var beside sync.WaitGroup
	beside.Go(func() {
		defer end()
		r.untilExercised(load, begun)
	})
	beside.Go(func() { r.operator.watch(watch) })
	beside.Go(func() { r.showProgress(watch, begun) })
	var plan sync.WaitGroup
	plan.Go(func() { r.plan(ctx, load, begun) })
	if r.system.processes != nil {
		beside.Go(func() { r.system.processes.follow(watch, r.system) })
	}
	r.traffic.Run(load)
	r.traffic.Wait()
	plan.Wait()
	endWatch()
	beside.Wait()
}

// untilExercised returns when the run's time is up and the cap has counted
// something, or the time to run over has passed too. Callers keep look-up
// answers and permits new in a seat rest, so the shift's first work may come
// late in a short run.
func (r *running) untilExercised(ctx context.Context, begun time.Time) {
	if !traffic.SleepUntil(ctx, begun.Add(r.options.For)) {
		return
	}
	last := begun.Add(r.options.For + r.options.RunOver)
	for time.Now().Before(last) && !r.operator.capUsed() {
		if !traffic.SleepUntil(ctx, time.Now().Add(confirmEvery)) {
			return
		}
	}
}

// plan begins the steps of the plan while callers work. One that is under way at their end
// is still done, under ctx: cut off by the end of the run itself, it would count as one that
// the system did not do.
func (r *running) plan(ctx, load context.Context, begun time.Time) {
	at := func(share float64) bool {
		return traffic.SleepUntil(load, begun.Add(time.Duration(share*float64(r.options.For))))
	}
	if !at(shiftAt) {
		return
	}
	r.note("shift", within(ctx, func(ctx context.Context) error { return r.operator.shift(ctx, r.options.Load) }))
	if !at(stopAt) {
		return
	}
	r.sendUploads("stop")
	r.waitForUpload(load)
	r.note("planned stop", within(ctx, r.operator.plannedStop))
	r.plantFaults(ctx, at)
	if at(rushAt) {
		r.rush()
	}
	if at(lateAt) {
		r.sendUploads("late")
	}
}

// plantFaults plants the faults asked for and heals them,
// and has the operator change something meanwhile.
func (r *running) plantFaults(ctx context.Context, at func(share float64) bool) {
	if !at(faultAt) {
		return
	}
	for _, f := range r.options.Faults {
		defer r.system.plant(f, r.sendCrashing)()
	}
	if at(retuneAt) {
		r.noteChange(within(ctx, r.operator.retune))
	}
	at(faultEnds)
}

// within carries out a step of the operator's, which may take stepTimeout.
func within(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}

// noteChange takes a refusal for what it should be while the platform is out.
func (r *running) noteChange(err error) {
	if slices.Contains(r.options.Faults, FaultPlatformDown) == (err != nil) {
		return
	}
	if err == nil {
		err = errors.New("accepted while the platform was out")
	}
	r.note("change", err)
}

func (r *running) note(step string, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notDone = append(r.notDone, step+": "+err.Error())
}
