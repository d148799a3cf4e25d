package deploy

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"heatherlock/api/oas"
)

// Zone is an availability zone. It holds one place of the same name.
type Zone struct {
	Name   string
	Region string
	// Block is the client block on loopback whose callers belong to the place.
	Block netip.Prefix
}

// EntryVM is one entry VM.
type EntryVM struct {
	Name   string
	Zone   string
	Region string
}

// Work says what callers do with a service.
type Work uint8

// Kinds of work.
const (
	WorkRead     Work = iota // GET, idempotent
	WorkPurchase             // POST, non-idempotent, keyed
	WorkUpload               // POST with a long body, non-idempotent, keyed
)

// Service is a service with its targets.
type Service struct {
	Name        string
	Work        Work
	Criticality oas.ServiceSpecCriticality
	Endpoints   int // over all zones
	Slots       int // of each endpoint
	Timeout     time.Duration
	// ServiceTime is the assumed median time of a request in a slot.
	ServiceTime time.Duration
	// UploadBytes is the size of an upload.
	UploadBytes int
}

// Delays are one-way.
type Delays struct {
	Zones   time.Duration // between availability zones of a region
	Regions time.Duration
	Clients time.Duration
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

// Target is one endpoint.
type Target struct {
	Name    string
	Service string
	Place   string
	Slots   int
}

// Deployment is a whole deployment.
type Deployment struct {
	Name     string
	Zones    []Zone
	Services []Service
	Delays   Delays
	// ShiftFrom and ShiftTo are the regions that the example shift joins.
	ShiftFrom, ShiftTo string
}

const (
	entryVMsPerZone = 2
	// MaxConnections is the number of connections an endpoint holds.
	MaxConnections = 400
	// firstBlock is the second byte of the first client block in 127/8.
	firstBlock = 16
)

// Names of the deployments.
const (
	ChileName    = "chile"
	PrairiesName = "prairies"
)

// Named returns a deployment by name.
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

// Stretched returns the deployment with service times n times as long.
func (d Deployment) Stretched(n int) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].ServiceTime *= time.Duration(n)
	}
	return d
}

// EntryVMs returns two entry VMs for each zone.
func (d Deployment) EntryVMs() []EntryVM {
	var all []EntryVM
	for _, z := range d.Zones {
		for i := range entryVMsPerZone {
			all = append(all, EntryVM{Name: fmt.Sprintf("%s-%d", z.Name, i+1), Zone: z.Name, Region: z.Region})
		}
	}
	return all
}

// Targets returns the endpoints, spread evenly over the zones.
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

// Service returns a service by name.
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

// Regions returns the region of each place.
func (d Deployment) Regions() map[string]string {
	regions := map[string]string{}
	for _, z := range d.Zones {
		regions[z.Name] = z.Region
	}
	return regions
}

// Host returns the host name by which callers name a service.
func (d Deployment) Host(service string) string {
	return strings.Join([]string{service, d.Name, "example"}, ".")
}
