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

// Objects that the operator of a run declares, and how their state is polled.
const (
	shiftName = "quickstart-shift"
	capName   = "quickstart-cap"
	stopName  = "quickstart-stop"

	shiftPercent     = 50
	shiftStepPercent = 50
	shiftStepSeconds = 1
	// capWindow is short because permits that are new in a seat stay unused for
	// about five windows, and a short run has to see them used.
	capWindow = 400 * time.Millisecond
	// capShare is the cap as a share of the requests that the complete shift would
	// move. It is below 1 so that the cap limits the shift.
	capShare = 0.6

	// pollInterval is the interval at which entry VMs are polled for the
	// configuration version in force.
	pollInterval  = 100 * time.Millisecond
	statusTimeout = 2 * time.Second
)

// operator declares objects through the operators' API and polls entry VMs until
// the objects are in force.
type operator struct {
	system        *system
	client        *oas.Client
	mu            sync.Mutex // guards caps
	caps          []witness.CapLimit
	movedPercent  int
	stoppedTarget string
}

func newOperator(s *system) (*operator, error) {
	// Faults are injected in the first zone, so the operator uses an entry VM of
	// the last one.
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

// create declares one object and reports its acceptance to the witness.
func (o *operator) create(ctx context.Context, object oas.Object) error {
	kind, name := deploy.Identity(object)
	stored, err := o.client.CreateObject(ctx, object, oas.CreateObjectParams{Kind: oas.Kind(kind)})
	if err != nil {
		return describeError(err, kind, name)
	}
	version := versionOf(stored)
	o.system.witness.ConfigAccepted(version, time.Now(), o.system.incarnationNames())
	return nil
}

// describeError converts a typed refusal of the operators' API to an error that
// contains its remedy.
func describeError(err error, kind, name string) error {
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

// waitInForce waits until every accepted object is in force on every entry VM.
func (o *operator) waitInForce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for o.system.witness.ConfigPending() {
		o.pollVersions(ctx)
		select {
		case <-ctx.Done():
			return fmt.Errorf("quickstart: the deployment was not in force on every entry VM within %s; see their logs (--log FILE)", readyTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// watch polls the configuration versions in force until ctx ends.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		o.pollVersions(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// pollVersions requests the configuration version in force from each entry VM and
// reports it to the witness.
func (o *operator) pollVersions(ctx context.Context) {
	for _, v := range o.system.all() {
		status, err := o.status(ctx, v)
		if err == nil {
			o.system.witness.ConfigSeen(v.incarnationName(), status.ConfigVersion, time.Now())
		}
	}
}

func (o *operator) status(ctx context.Context, v *entryVM) (*oas.DeploymentStatus, error) {
	client, err := o.system.operatorClient(v)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return client.GetStatus(ctx)
}

// shift declares a shift and the cap that limits it.
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
	// A cap refers to its shift, so the shift is created first. It moves nothing
	// until the cap exists.
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
	return o.raiseShift(ctx)
}

// capUsed reports whether any request has been counted against the cap.
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

// changeRetryPercent changes an object in the middle of a run, so that a
// configuration change happens during the injected faults: it adds one to the
// retry percentage of the first service. While the platform is down, the change
// must be refused with a time to retry after.
func (o *operator) changeRetryPercent(ctx context.Context) error {
	name := oas.ObjectName(o.system.deployment.Services[0].Name)
	stored, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindService, Name: name})
	if err != nil {
		return describeError(err, string(oas.KindService), string(name))
	}
	stored.Service.Spec.RetryPercent = oas.NewOptInt(stored.Service.Spec.RetryPercent.Value + 1)
	updated, err := o.client.UpdateObject(ctx, stored, oas.UpdateObjectParams{Kind: oas.KindService, Name: name})
	if err != nil {
		return describeError(err, string(oas.KindService), string(name))
	}
	o.system.witness.ConfigAccepted(versionOf(updated), time.Now(), o.system.reachableNames())
	return nil
}

// raiseShift sets the percentage of the shift to shiftPercent.
func (o *operator) raiseShift(ctx context.Context) error {
	stored, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err != nil {
		return describeError(err, string(oas.KindShift), shiftName)
	}
	stored.Shift.Spec.Percent = shiftPercent
	updated, err := o.client.UpdateObject(ctx, stored, oas.UpdateObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err != nil {
		return describeError(err, string(oas.KindShift), shiftName)
	}
	o.system.witness.ConfigAccepted(versionOf(updated), time.Now(), o.system.incarnationNames())
	return nil
}

// plannedStop declares the planned stop of the target that runs the most uploads in
// the region that the shift moves callers out of.
func (o *operator) plannedStop(ctx context.Context) error {
	o.stoppedTarget = o.busiestUploadTarget()
	stop := oas.PlannedStop{
		Kind: string(oas.KindPlannedStop), Metadata: oas.Metadata{Name: stopName},
		Spec: oas.PlannedStopSpec{What: oas.PlannedStopSpecWhatTarget, Name: o.stoppedTarget},
	}
	if err := o.create(ctx, oas.NewPlannedStopObject(stop)); err != nil {
		return err
	}
	o.system.witness.Stopped(witness.Stop{Target: o.stoppedTarget, Accepted: time.Now()})
	return nil
}

// runsUpload reports whether the target that plannedStop would choose runs an
// upload.
func (o *operator) runsUpload() bool {
	return o.system.witness.Running()[o.busiestUploadTarget()] > 0
}

func (o *operator) busiestUploadTarget() string {
	d := o.system.deployment
	running := o.system.witness.Running()
	best, most := "", -1
	for _, t := range d.Targets() {
		s, _ := d.Service(t.Service)
		if s.Work != deploy.WorkUpload || !listContains(commaSeparated(d.PlacesOf(d.ShiftFrom)), t.Place) {
			continue
		}
		if running[t.Name] > most {
			best, most = t.Name, running[t.Name]
		}
	}
	return best
}

// shiftProgress returns the percentage that the shift has moved so far. If it
// cannot be read, the last known value is returned.
func (o *operator) shiftProgress(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	object, err := o.client.GetObject(ctx, oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	if err == nil && object.Type == oas.ShiftObject {
		o.movedPercent = max(o.movedPercent, object.Shift.Status.Value.MovedPercent.Value)
	}
	return o.movedPercent
}
