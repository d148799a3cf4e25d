package deploy

import (
	"encoding/json"
	"fmt"
	"time"

	"heatherlock/api/oas"
	"heatherlock/standin/target"
	"heatherlock/standin/witness"
)

// blocksName is the name of the object with a deployment's client blocks.
const blocksName = "callers"

// Objects returns the operators' objects of the deployment. Addresses holds the address
// of each target by name; a missing one is an error.
func (d Deployment) Objects(addresses map[string]string) ([]oas.Object, error) {
	var all []oas.Object
	for _, s := range d.Services {
		all = append(all, oas.NewServiceObject(d.service(s)))
	}
	for _, z := range d.Zones {
		place, err := d.place(z, addresses)
		if err != nil {
			return nil, err
		}
		all = append(all, oas.NewPlaceObject(place))
	}
	return append(all, oas.NewClientBlocksObject(d.blocks())), nil
}

func metadata(name string) oas.Metadata { return oas.Metadata{Name: oas.ObjectName(name)} }

func (d Deployment) service(s Service) oas.Service {
	return oas.Service{
		Kind:     string(oas.KindService),
		Metadata: metadata(s.Name),
		Spec: oas.ServiceSpec{
			Hosts:                []string{d.Host(s.Name)},
			Criticality:          oas.NewOptServiceSpecCriticality(s.Criticality),
			TimeoutMs:            oas.NewOptInt64(s.Timeout.Milliseconds()),
			NonIdempotentMethods: []string{"POST", "PATCH"},
		},
	}
}

func (d Deployment) place(z Zone, addresses map[string]string) (oas.Place, error) {
	p := oas.Place{Kind: string(oas.KindPlace), Metadata: metadata(z.Name), Spec: oas.PlaceSpec{Region: z.Region, Zone: z.Name}}
	for _, t := range d.Targets() {
		if t.Place != z.Name {
			continue
		}
		address, ok := addresses[t.Name]
		if !ok {
			return p, fmt.Errorf("deploy: no address for target %s; start every target first", t.Name)
		}
		p.Spec.Targets = append(p.Spec.Targets, oas.TargetSpec{
			Name: t.Name, Service: t.Service, Address: address, Slots: t.Slots,
			MaxConnections: oas.NewOptInt(MaxConnections),
		})
	}
	return p, nil
}

func (d Deployment) blocks() oas.ClientBlocks {
	b := oas.ClientBlocks{Kind: string(oas.KindClientBlocks), Metadata: metadata(blocksName)}
	for _, z := range d.Zones {
		b.Spec.Blocks = append(b.Spec.Blocks, oas.ClientBlock{Prefix: z.Block.String(), Place: z.Name})
	}
	return b
}

// Encode returns the JSON encoding of an object.
func Encode(o oas.Object) (json.RawMessage, error) { return o.MarshalJSON() }

// Identity returns the kind and name of an object, or empty strings for an unknown type.
func Identity(o oas.Object) (kind, name string) {
	switch o.Type {
	case oas.ServiceObject:
		return string(oas.KindService), string(o.Service.Metadata.Name)
	case oas.PlaceObject:
		return string(oas.KindPlace), string(o.Place.Metadata.Name)
	case oas.ClientBlocksObject:
		return string(oas.KindClientBlocks), string(o.ClientBlocks.Metadata.Name)
	case oas.ShiftObject:
		return string(oas.KindShift), string(o.Shift.Metadata.Name)
	case oas.CapObject:
		return string(oas.KindCap), string(o.Cap.Metadata.Name)
	case oas.PlannedStopObject:
		return string(oas.KindPlannedStop), string(o.PlannedStop.Metadata.Name)
	}
	return "", ""
}

// Cold start and service time distribution of the fake targets; see target.Config.
const (
	coldFactor       = 1.5
	coldRequests     = 40
	coldIdle         = 30 * time.Second
	serviceTimeSigma = 0.4
)

// Running is the set of running fake targets of a deployment, by name.
type Running struct {
	Targets map[string]*target.Target
}

// StartTargets starts every target of the deployment on a free loopback port. If one
// fails, it closes those already started. The caller must call Close.
func (d Deployment) StartTargets(seed uint64, crashMarker string, w *witness.Witness) (*Running, error) {
	r := &Running{Targets: map[string]*target.Target{}}
	for _, t := range d.Targets() {
		s, _ := d.Service(t.Service)
		started, err := target.Start(target.Config{
			Name: t.Name, Service: t.Service, Place: t.Place, Slots: t.Slots,
			MaxConnections: MaxConnections, ServiceTime: s.ServiceTime, Sigma: serviceTimeSigma,
			Cold: target.Cold{Factor: coldFactor, Warm: coldRequests, Idle: coldIdle},
			Seed: seed, CrashMarker: crashMarker, Witness: w,
		})
		if err != nil {
			r.Close()
			return nil, err
		}
		r.Targets[t.Name] = started
	}
	return r, nil
}

// Addresses returns the address of each target by name.
func (r *Running) Addresses() map[string]string {
	addresses := map[string]string{}
	for name, t := range r.Targets {
		addresses[name] = t.Address()
	}
	return addresses
}

// Close stops every target.
func (r *Running) Close() {
	for _, t := range r.Targets {
		_ = t.Close()
	}
}
