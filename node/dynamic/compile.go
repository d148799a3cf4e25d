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

// Problem is a stored object, or a part of one, that was left out.
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

// compiled is one snapshot with what had to be left out of it.
type compiled struct {
	snapshot *routing.Snapshot
	problems []*Problem
	// overlaps counts prefixes that occur in more than one block; such a table
	// cannot be changed block by block.
	overlaps int
}

// compile turns a set into a snapshot. previous, when there is one, lends its
// block table, which is changed only where block objects changed.
func compile(set *config.Set, previousSet *config.Set, previous *compiled) *compiled {
	c := &compiler{set: set, out: &compiled{snapshot: emptySnapshot(set.Version())}}
	c.eachOf(KindService, c.service)
	c.eachOf(KindPlace, c.place)
	c.eachOf(KindShift, c.shift)
	c.eachOf(KindShiftProgress, c.progress)
	c.eachOf(KindCap, c.cap)
	c.eachOf(KindCapSeats, c.seats)
	c.eachOf(KindPlannedStop, c.stop)
	c.blocks(previousSet, previous)
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

// eachOf calls f for every object of the kind, by name, so that every node
// that compiles a set leaves out the same objects.
func (c *compiler) eachOf(kind string, f func(config.Object) error) {
	for _, o := range ofKind(c.set, kind) {
		if err := f(o); err != nil {
			c.report(o, err)
		}
	}
}

func ofKind(set *config.Set, kind string) []config.Object {
	var found []config.Object
	for o := range set.Objects {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b config.Object) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// referenceError says that an object names something that is not declared.
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

// stored is what the generated kinds have in common.
type stored interface {
	UnmarshalJSON([]byte) error
	Validate() error
}

func decode(o config.Object, into stored) error {
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
		if taken, ok := c.out.snapshot.ByHost[host]; ok {
			c.report(o, fmt.Errorf("host %q already belongs to service %s", host, taken.Name))
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

// target adds a target to its place. A name that is taken is left out: work
// and stops that name it would mean either of two endpoints.
func (c *compiler) target(o config.Object, place *routing.Place, spec oas.TargetSpec) {
	name := steering.Target(spec.Name)
	if taken, ok := c.out.snapshot.Targets[name]; ok {
		c.report(o, fmt.Errorf("target %s already belongs to place %s", name, taken.Place))
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
		From:    routing.Resolve(c.out.snapshot.Places, in.Spec.From),
		To:      routing.Resolve(c.out.snapshot.Places, in.Spec.To),
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

// progress sets the percent a shift has moved, and keeps a shift that was
// deleted in force until it has gone back.
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

// seats keeps the division of a cap's permits, also of a cap that is not
// declared any more: its holders must still clear their seats.
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
	// be lost because two objects arrive one after the other.
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
		Name:     o.Name,
		Version:  o.Version,
		Kind:     routing.StopKind(in.Spec.What),
		Subject:  in.Spec.Name,
		At:       in.Spec.At.Value,
		Deadline: in.Spec.Deadline.Value,
		Cut:      in.Spec.CutAtDeadline.Value,
	}
	return nil
}

func parseBlocks(in []oas.ClientBlock) ([]routing.Block, error) {
	blocks := make([]routing.Block, 0, len(in))
	var bad error
	for _, block := range in {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			bad = errors.Wrap(err, "prefix")
			continue
		}
		blocks = append(blocks, routing.Block{Prefix: prefix.Masked(), Place: steering.Place(block.Place)})
	}
	return blocks, bad
}
