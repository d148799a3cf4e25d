package dynamic

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/steering"
	"heatherlock/steering/config"
	"heatherlock/steering/lookup"
	"heatherlock/steering/routing"
	"heatherlock/steering/shift"
)

// Problem describes a stored object, or a part of one, that was left out of the
// snapshot.
type Problem struct {
	Kind    string
	Name    string
	Version int64
	Detail  string
	Remedy  string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("dynamic: %s/%s at version %d left out: %s; %s", p.Kind, p.Name, p.Version, p.Detail, p.Remedy)
}

const (
	remedyObject    = "correct the object and apply it again; `heatherlock check` shows every problem"
	remedyReference = "declare what it names, or delete the object"
)

// compiled is a snapshot with the problems found while compiling it.
type compiled struct {
	snapshot *routing.Snapshot
	problems []*Problem
	// overlaps counts the blocks whose prefix occurs in an earlier block. A
	// table with overlaps cannot be updated block by block.
	overlaps int
}

// compile converts a set into a snapshot. If previous is not nil, it is the
// result of compiling previousSet, and compile reuses its block table, updated
// where block objects have changed.
func compile(set *config.Set, previousSet *config.Set, previous *compiled) *compiled {
	c := &compiler{set: set, out: &compiled{snapshot: emptySnapshot(set.Version())}}
	c.forEach(KindService, c.service)
	c.forEach(KindPlace, c.place)
	c.forEach(KindShift, c.shift)
	c.forEach(KindShiftProgress, c.progress)
	c.forEach(KindCap, c.cap)
	c.forEach(KindCapSeats, c.seats)
	c.forEach(KindPlannedStop, c.stop)
	c.updateBlocks(previousSet, previous)
	return c.out
}

func emptySnapshot(version int64) *routing.Snapshot {
	table, _ := lookup.NewTable(func(func(routing.Block) bool) {})
	return &routing.Snapshot{
		Version:  version,
		Services: map[steering.Service]*routing.Service{},
		ByHost:   map[string]*routing.Service{},
		Places:   map[steering.Place]*routing.Place{},
		Targets:  map[steering.Target]*routing.Target{},
		Shifts:   map[string]*routing.Shift{},
		Caps:     map[string]*routing.Cap{},
		Stops:    map[string]*routing.Stop{},
		Seats:    map[string]*routing.CapSeats{},
		Progress: map[string]*routing.ShiftProgress{},
		Blocks:   table,
	}
}

type compiler struct {
	set *config.Set
	out *compiled
}

// forEach calls f for every object of the kind in the order of their names, so
// that all entry VMs that compile the same set leave out the same objects.
func (c *compiler) forEach(kind string, f func(config.Object) error) {
	for _, o := range objectsOfKind(c.set, kind) {
		if err := f(o); err != nil {
			c.report(o, err)
		}
	}
}

func objectsOfKind(set *config.Set, kind string) []config.Object {
	var found []config.Object
	for o := range set.Objects {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b config.Object) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// referenceError reports that an object refers to something that is not declared.
type referenceError struct{ detail string }

func (e *referenceError) Error() string { return e.detail }

func (c *compiler) report(o config.Object, err error) {
	remedy := remedyObject
	var reference *referenceError
	if errors.As(err, &reference) {
		remedy = remedyReference
	}
	c.out.problems = append(c.out.problems, &Problem{Kind: o.Kind, Name: o.Name, Version: o.Version, Detail: err.Error(), Remedy: remedy})
}

// oasObject is implemented by the generated types of declared objects.
type oasObject interface {
	UnmarshalJSON([]byte) error
	Validate() error
}

// decode unmarshals and validates the value of o.
func decode(o config.Object, into oasObject) error {
	if err := into.UnmarshalJSON(o.Value); err != nil {
		return err
	}
	return into.Validate()
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var criticalities = map[oas.ServiceSpecCriticality]routing.Criticality{
	oas.ServiceSpecCriticalityCritical:  routing.Critical,
	oas.ServiceSpecCriticalityNormal:    routing.Normal,
	oas.ServiceSpecCriticalitySheddable: routing.Sheddable,
}

func (c *compiler) service(o config.Object) error {
	var in oas.Service
	if err := decode(o, &in); err != nil {
		return err
	}
	spec := in.Spec
	service := &routing.Service{
		Name:          steering.Service(o.Name),
		Version:       o.Version,
		Hosts:         spec.Hosts,
		Criticality:   criticalities[spec.Criticality.Or(oas.ServiceSpecCriticalityNormal)],
		Timeout:       milliseconds(spec.TimeoutMs.Value),
		MaxBodyBytes:  spec.MaxBodyBytes.Value,
		NonIdempotent: spec.NonIdempotentMethods,
		RetryPercent:  spec.RetryPercent.Value,
		HedgeAfter:    milliseconds(spec.HedgeAfterMs.Value),
	}
	c.out.snapshot.Services[service.Name] = service
	for _, host := range spec.Hosts {
		if owner, ok := c.out.snapshot.ByHost[host]; ok {
			c.report(o, fmt.Errorf("host %q already belongs to service %s", host, owner.Name))
			continue
		}
		c.out.snapshot.ByHost[host] = service
	}
	return nil
}

func (c *compiler) place(o config.Object) error {
	var in oas.Place
	if err := decode(o, &in); err != nil {
		return err
	}
	place := &routing.Place{
		Name:         steering.Place(o.Name),
		Version:      o.Version,
		Region:       steering.Region(in.Spec.Region),
		Zone:         steering.Zone(in.Spec.Zone),
		LinkInFlight: in.Spec.LinkInFlight.Value,
	}
	for _, spec := range in.Spec.Targets {
		c.target(o, place, spec)
	}
	c.out.snapshot.Places[place.Name] = place
	return nil
}

// target adds a target to its place. A target whose name is already in use is
// left out: in requests and planned stops, the name would be ambiguous between
// two endpoints.
func (c *compiler) target(o config.Object, place *routing.Place, spec oas.TargetSpec) {
	name := steering.Target(spec.Name)
	if existing, ok := c.out.snapshot.Targets[name]; ok {
		c.report(o, fmt.Errorf("target %s already belongs to place %s", name, existing.Place))
		return
	}
	target := routing.Target{
		Name:           name,
		Service:        steering.Service(spec.Service),
		Place:          place.Name,
		Address:        spec.Address,
		Slots:          spec.Slots,
		MaxConnections: spec.MaxConnections.Value,
	}
	place.Targets = append(place.Targets, target)
	c.out.snapshot.Targets[name] = &target
}

func (c *compiler) shift(o config.Object) error {
	var in oas.Shift
	if err := decode(o, &in); err != nil {
		return err
	}
	declared := &routing.Shift{
		Name:    o.Name,
		Version: o.Version,
		Service: steering.Service(in.Spec.Service.Value),
		Route:   routing.Route{From: in.Spec.From, To: in.Spec.To},
		From:    routing.ResolvePlaces(c.out.snapshot.Places, in.Spec.From),
		To:      routing.ResolvePlaces(c.out.snapshot.Places, in.Spec.To),
		Percent: in.Spec.Percent,
		Step:    in.Spec.StepPercent.Value,
		Every:   time.Duration(in.Spec.StepSeconds.Value) * time.Second,
	}
	if len(declared.From) == 0 {
		return &referenceError{detail: fmt.Sprintf("from names no place, zone or region: %q", in.Spec.From)}
	}
	if len(declared.To) == 0 {
		return &referenceError{detail: fmt.Sprintf("to names no place, zone or region: %q", in.Spec.To)}
	}
	c.out.snapshot.Shifts[declared.Name] = declared
	return nil
}

// progress sets the percentage that a shift has moved. It keeps a deleted shift
// in force until its traffic has moved back.
func (c *compiler) progress(o config.Object) error {
	var in routing.ShiftProgress
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return err
	}
	if in.Moved < 0 || in.Moved > 100 {
		return fmt.Errorf("moved is %d, not within 0 to 100", in.Moved)
	}
	in.Version = o.Version
	c.out.snapshot.Progress[o.Name] = &in
	if inForce := shift.InForce(o.Name, c.out.snapshot.Shifts[o.Name], &in, c.out.snapshot.Places); inForce != nil {
		c.out.snapshot.Shifts[o.Name] = inForce
	}
	return nil
}

// seats keeps the division of a cap's permits among entry VMs. It keeps it for
// a cap that is no longer declared as well, because the entry VMs that hold
// permits of the cap must still clear their seats.
func (c *compiler) seats(o config.Object) error {
	var in routing.CapSeats
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return err
	}
	in.Version = o.Version
	c.out.snapshot.Seats[o.Name] = &in
	return nil
}

func (c *compiler) cap(o config.Object) error {
	var in oas.Cap
	if err := decode(o, &in); err != nil {
		return err
	}
	// A cap whose shift is missing stays in the snapshot: its seats must not
	// be lost when the cap and the shift arrive one after the other.
	c.out.snapshot.Caps[o.Name] = &routing.Cap{
		Name:     o.Name,
		Version:  o.Version,
		Shift:    in.Spec.Shift,
		Requests: in.Spec.Requests,
		Window:   milliseconds(in.Spec.WindowMs.Value),
	}
	return nil
}

func (c *compiler) stop(o config.Object) error {
	var in oas.PlannedStop
	if err := decode(o, &in); err != nil {
		return err
	}
	c.out.snapshot.Stops[o.Name] = &routing.Stop{
		Name:            o.Name,
		Version:         o.Version,
		Kind:            routing.StopKind(in.Spec.What),
		Subject:         in.Spec.Name,
		At:              in.Spec.At.Value,
		Deadline:        in.Spec.Deadline.Value,
		AbortAtDeadline: in.Spec.CutAtDeadline.Value,
	}
	return nil
}

// parseBlocks returns the blocks with a valid prefix, and an error if any other
// was left out.
func parseBlocks(in []oas.ClientBlock) ([]routing.Block, error) {
	blocks := make([]routing.Block, 0, len(in))
	var lastErr error
	for _, block := range in {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			lastErr = errors.Wrap(err, "prefix")
			continue
		}
		blocks = append(blocks, routing.Block{Prefix: prefix.Masked(), Place: steering.Place(block.Place)})
	}
	return blocks, lastErr
}
