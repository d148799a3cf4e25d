package quickstart

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

// What the operator of a run declares.
const (
	shiftName = "quickstart-shift"
	capName   = "quickstart-cap"
	stopName  = "quickstart-stop"

	shiftPercent     = 50
	shiftStepPercent = 50
	shiftStepSeconds = 1
	// capWindow is short, because permits new in a seat rest for some five
	// windows, and a short run has to see them used.
	capWindow = 400 * time.Millisecond
	// capShare is the cap as a share of the work that the whole shift would
	// bring, so that the cap binds.
	capShare = 0.6

	// confirmEvery is the pause between two looks at what is in force.
	confirmEvery   = 100 * time.Millisecond
	confirmTimeout = 2 * time.Second
)

// operator declares objects through the operators' API and watches until they
// are in force.
type operator struct {
	system *system
	client *oas.Client
	mu     sync.Mutex // guards caps
	caps   []witness.CapLimit
	moved  int
	target string
}

func newOperator(s *system) (*operator, error) {
	// Faults strike the first zone; the operator talks to the last one.
	all := s.all()
	client, err := s.operatorClient(all[len(all)-1])
	if err != nil {
		return nil, err
	}
	return &operator{system: s, client: client}, nil
}

func (s *system) operatorClient(v *entryVM) (*oas.Client, error) {
	return oas.NewClient("http://" + v.addresses.Operator)
}

// create declares one object and tells the witness that it was accepted.
func (o *operator) create(ctx context.Context, object oas.Object) error {
	kind, name := deploy.Identity(object)
	stored, err := o.client.CreateObject(ctx, object, oas.CreateObjectParams{Kind: oas.Kind(kind)})
	if err != nil {
		return describe(err, kind, name)
	}
	version := versionOf(stored)
	o.system.witness.ConfigAccepted(version, time.Now(), o.system.lives())
	return nil
}

// describe turns the operators' API's typed refusal into an error with its
// remedy.
func describe(err error, kind, name string) error {
	var refused *oas.ProblemStatusCode
	if !errors.As(err, &refused) {
		return errors.Wrapf(err, "quickstart: declare %s %s", kind, name)
	}
	p := refused.Response
	detail := p.Message
	for _, f := range p.Fields {
		detail += fmt.Sprintf("; %s: %s (%s)", f.Field, f.Message, f.Remedy)
	}
	return fmt.Errorf("quickstart: declare %s %s: %s: %s; %s", kind, name, p.Reason, detail, p.Remedy)
}

func versionOf(o oas.Object) int64 {
	switch o.Type {
	case oas.ServiceObject:
		return o.Service.Metadata.Version.Value
	case oas.PlaceObject:
		return o.Place.Metadata.Version.Value
	case oas.ClientBlocksObject:
		return o.ClientBlocks.Metadata.Version.Value
	case oas.ShiftObject:
		return o.Shift.Metadata.Version.Value
	case oas.CapObject:
		return o.Cap.Metadata.Version.Value
	case oas.PlannedStopObject:
		return o.PlannedStop.Metadata.Version.Value
	}
	return 0
}

// declareDeployment declares the services, places and client blocks.
func (o *operator) declareDeployment(ctx context.Context) error {
	objects, err := o.system.deployment.Objects(o.system.targets.Addresses())
	if err != nil {
		return err
	}
	for _, object := range objects {
		if err := o.create(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

// waitInForce waits until every entry VM has what was accepted in force.
func (o *operator) waitInForce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for o.system.witness.ConfigPending() {
		o.look(ctx)
		select {
		case <-ctx.Done():
			return fmt.Errorf("quickstart: the deployment was not in force on every entry VM within %s; see their logs (--log FILE)", readyTimeout)
		case <-time.After(confirmEvery):
		}
	}
	return nil
}

// watch looks at what is in force until ctx ends.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		o.look(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(confirmEvery):
		}
	}
}

// look asks each entry VM for the version it has in force.
func (o *operator) look(ctx context.Context) {
	for _, v := range o.system.all() {
		status, err := o.status(ctx, v)
		if err == nil {
			o.system.witness.ConfigSeen(v.lifeName(), status.ConfigVersion, time.Now())
		}
	}
}

func (o *operator) status(ctx context.Context, v *entryVM) (*oas.DeploymentStatus, error) {
	client, err := o.system.operatorClient(v)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return client.GetStatus(ctx)
}

// shift declares a cap and the shift that it bounds.
func (o *operator) shift(ctx context.Context, load float64) error {
	d := o.system.deployment
	service := d.Services[0]
	from, to := d.PlacesOf(d.ShiftFrom), d.PlacesOf(d.ShiftTo)
	rate := traffic.ZoneRate(d, service, load) * float64(len(from)) * shiftPercent / 100
	limit := witness.CapLimit{Service: service.Name, From: from, To: to, Requests: max(1, int(rate*capShare*capWindow.Seconds())), Window: capWindow}
	shift := oas.Shift{
		Kind: string(oas.KindShift), Metadata: oas.Metadata{Name: shiftName},
		Spec: oas.ShiftSpec{
			Service: oas.NewOptString(service.Name), From: d.ShiftFrom, To: d.ShiftTo,
			StepPercent: oas.NewOptInt(shiftStepPercent), StepSeconds: oas.NewOptInt(shiftStepSeconds),
		},
	}
	bound := oas.Cap{
		Kind: string(oas.KindCap), Metadata: oas.Metadata{Name: capName},
		Spec: oas.CapSpec{Shift: shiftName, Requests: limit.Requests, WindowMs: oas.NewOptInt64(capWindow.Milliseconds())},
	}
	// A cap names its shift, so the shift comes first and moves nothing until
	// its bound is there.
	shift.Spec.Percent = 0
	if err := o.create(ctx, oas.NewShiftObject(shift)); err != nil {
		return err
	}
	if err := o.create(ctx, oas.NewCapObject(bound)); err != nil {
		return err
	}
	o.mu.Lock()
	o.caps = append(o.caps, limit)
	o.mu.Unlock()
	return o.raise(ctx)
}

// capUsed reports whether the cap has counted work.
func (o *operator) capUsed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.caps {
		if o.system.witness.Bound(c) > 0 {
			return true
		}
	}
	return false
}

// retune makes a change in the middle of a run, so that faults meet one: it
// adds one to the retries that the first service allows. While the platform is
// out it must be refused, with when to come back.
func (o *operator) retune(ctx context.Context) error {
	name := oas.ObjectName(o.system.deployment.Services[0].Name)
	stored, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindService, Name: name})
	if err != nil {
		return describe(err, string(oas.KindService), string(name))
	}
	stored.Service.Spec.RetryPercent = oas.NewOptInt(stored.Service.Spec.RetryPercent.Value + 1)
	updated, err := o.client.UpdateObject(ctx, stored, oas.UpdateObjectParams{Kind: oas.KindService, Name: name})
	if err != nil {
		return describe(err, string(oas.KindService), string(name))
	}
	o.system.witness.ConfigAccepted(versionOf(updated), time.Now(), o.system.reachable())
	return nil
}

// raise sets the percent of the shift that is to be moved.
func (o *operator) raise(ctx context.Context) error {
	stored, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err != nil {
		return describe(err, string(oas.KindShift), shiftName)
	}
	stored.Shift.Spec.Percent = shiftPercent
	updated, err := o.client.UpdateObject(ctx, stored, oas.UpdateObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err != nil {
		return describe(err, string(oas.KindShift), shiftName)
	}
	o.system.witness.ConfigAccepted(versionOf(updated), time.Now(), o.system.lives())
	return nil
}

// plannedStop announces the stop of the target that runs most uploads in the
// region that the shift leaves.
func (o *operator) plannedStop(ctx context.Context) error {
	o.target = o.busiestUploadTarget()
	stop := oas.PlannedStop{
		Kind: string(oas.KindPlannedStop), Metadata: oas.Metadata{Name: stopName},
		Spec: oas.PlannedStopSpec{What: oas.PlannedStopSpecWhatTarget, Name: o.target},
	}
	if err := o.create(ctx, oas.NewPlannedStopObject(stop)); err != nil {
		return err
	}
	o.system.witness.Stopped(witness.Stop{Target: o.target, Accepted: time.Now()})
	return nil
}

// uploading reports whether a target that may be stopped runs an upload.
func (o *operator) uploading() bool {
	return o.system.witness.Running()[o.busiestUploadTarget()] > 0
}

func (o *operator) busiestUploadTarget() string {
	d := o.system.deployment
	running := o.system.witness.Running()
	best, most := "", -1
	for _, t := range d.Targets() {
		s, _ := d.Service(t.Service)
		if s.Work != deploy.WorkUpload || !contains(joined(d.PlacesOf(d.ShiftFrom)), t.Place) {
			continue
		}
		if running[t.Name] > most {
			best, most = t.Name, running[t.Name]
		}
	}
	return best
}

// progress reads how far the shift has moved.
func (o *operator) progress(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err == nil && object.Type == oas.ShiftObject {
		o.moved = max(o.moved, object.Shift.Status.Value.MovedPercent.Value)
	}
	return o.moved
}
