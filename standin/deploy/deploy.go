package deploy

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"heatherlock/api/oas"
)

// Zone is an availability zone. It has one place, with the same name.
type Zone struct {
	Name   string
	Region string
	// Block is the block of loopback addresses whose callers have the place as
	// their home.
	Block netip.Prefix
}

// EntryVM is an entry VM with its zone and region.
type EntryVM struct {
	Name   string
	Zone   string
	Region string
}

// Work is the kind of requests that callers send to a service.
type Work uint8

// Request kinds.
const (
	WorkRead     Work = iota // GET, idempotent
	WorkPurchase             // POST, non-idempotent, with an idempotency key
	WorkUpload               // POST with a large body, non-idempotent, with an idempotency key
)

// Service is a service and the size of its set of targets.
type Service struct {
	Name        string
	Work        Work
	Criticality oas.ServiceSpecCriticality
	Endpoints   int // number of targets in all zones
	Slots       int // slots per target
	Timeout     time.Duration
	// ServiceTime is the assumed median time that a request occupies a slot.
	ServiceTime time.Duration
	// UploadBytes is the size of an upload; zero for other kinds of requests.
	UploadBytes int
}

// Delays are one-way network delays.
type Delays struct {
	Zones   time.Duration // between availability zones of a region
	Regions time.Duration // between regions
	Clients time.Duration // between callers and entry VMs
}

// Delay returns the one-way delay between two zones.
func (d Deployment) Delay(from, to string) time.Duration {
	regions := d.Regions()
	switch {
	case from == to:
		return 0
	case regions[from] == regions[to]:
		return d.Delays.Zones
	}
	return d.Delays.Regions
}

// Target is a target of a service in a place.
type Target struct {
	Name    string
	Service string
	Place   string
	Slots   int
}

// Deployment is a set of zones with their services and delays.
type Deployment struct {
	Name     string
	Zones    []Zone
	Services []Service
	Delays   Delays
	// ShiftFrom and ShiftTo are the source and destination region of the example
	// shift.
	ShiftFrom, ShiftTo string
}

const (
	entryVMsPerZone = 2
	// MaxConnections is the largest number of open connections of a target.
	MaxConnections = 400
	// firstBlock is the second byte of the first client block in 127/8.
	firstBlock = 16
)

// Names that Named accepts.
const (
	ChileName    = "chile"
	PrairiesName = "prairies"
)

// Named returns the deployment with the given name.
func Named(name string) (Deployment, error) {
	switch name {
	case ChileName:
		return Chile(), nil
	case PrairiesName:
		return Prairies(), nil
	}
	return Deployment{}, fmt.Errorf("deploy: no deployment %q; use %s or %s", name, ChileName, PrairiesName)
}

func zones(regions ...string) []Zone {
	var all []Zone
	for _, region := range regions {
		for _, letter := range []string{"a", "b"} {
			block := netip.AddrFrom4([4]byte{127, byte(firstBlock + len(all)), 0, 0})
			all = append(all, Zone{Name: region + "-" + letter, Region: region, Block: netip.PrefixFrom(block, 16)})
		}
	}
	return all
}

// Stretched returns a copy of the deployment with all service times multiplied by n.
func (d Deployment) Stretched(n int) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].ServiceTime *= time.Duration(n)
	}
	return d
}

// EntryVMs returns the entry VMs, two per zone.
func (d Deployment) EntryVMs() []EntryVM {
	var all []EntryVM
	for _, z := range d.Zones {
		for i := range entryVMsPerZone {
			all = append(all, EntryVM{Name: fmt.Sprintf("%s-%d", z.Name, i+1), Zone: z.Name, Region: z.Region})
		}
	}
	return all
}

// Targets returns the targets of all services, assigned to the zones in turn.
func (d Deployment) Targets() []Target {
	var all []Target
	for _, s := range d.Services {
		for i := range s.Endpoints {
			zone := d.Zones[i%len(d.Zones)]
			name := fmt.Sprintf("%s-%s-%d", s.Name, zone.Name, i/len(d.Zones)+1)
			all = append(all, Target{Name: name, Service: s.Name, Place: zone.Name, Slots: s.Slots})
		}
	}
	return all
}

// Service returns the service with the given name and whether it exists.
func (d Deployment) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// PlacesOf returns the places of a region.
func (d Deployment) PlacesOf(region string) []string {
	var places []string
	for _, z := range d.Zones {
		if z.Region == region {
			places = append(places, z.Name)
		}
	}
	return places
}

// Regions returns the region by place.
func (d Deployment) Regions() map[string]string {
	regions := map[string]string{}
	for _, z := range d.Zones {
		regions[z.Name] = z.Region
	}
	return regions
}

// Host returns the host name that callers use for a service.
func (d Deployment) Host(service string) string {
	return strings.Join([]string{service, d.Name, "example"}, ".")
}
