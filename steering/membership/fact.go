package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// Status is how far an incarnation's life has come. It only grows.
type Status uint8

// Statuses of an incarnation.
const (
	Live Status = iota
	Leaving
	Gone
)

// Life orders the incarnations of one VM. The zero Life belongs to a VM that
// is known from the platform's list or the settings only.
type Life struct {
	// Started is when the process started, in Unix nanoseconds of its own clock.
	Started     int64
	Incarnation steering.Incarnation
}

// Compare orders lives by start; equal starts are told apart by name.
func (l Life) Compare(o Life) int {
	if c := cmp.Compare(l.Started, o.Started); c != 0 {
		return c
	}
	return cmp.Compare(l.Incarnation, o.Incarnation)
}

// Known tells whether the incarnation has been heard of.
func (l Life) Known() bool { return l.Incarnation != "" }

// Place says where an incarnation runs and listens. It does not change during
// a life.
type Place struct {
	Zone            steering.Zone
	Region          steering.Region
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// compare gives places a fixed order, so that Join is total.
func (p Place) compare(o Place) int {
	return cmp.Or(
		cmp.Compare(p.Zone, o.Zone),
		cmp.Compare(p.Region, o.Region),
		cmp.Compare(p.CallerAddress, o.CallerAddress),
		cmp.Compare(p.PeerAddress, o.PeerAddress),
		cmp.Compare(p.OperatorAddress, o.OperatorAddress),
	)
}

// Load is what an incarnation says of its own work; a newer beat replaces it.
type Load struct {
	Beat     uint64
	InFlight int32
}

func (l Load) compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Beat, o.Beat), cmp.Compare(l.InFlight, o.InFlight))
}

// Fact is what is known of one VM.
type Fact struct {
	VM steering.VM
	Life
	Place  Place
	Status Status
	// ConfigVersion is the highest version known to be in force there.
	ConfigVersion int64
	Load          Load
}

// Join merges two facts on one VM. The later life wins whole; within one life
// every part grows.
func Join(a, b Fact) Fact {
	if c := a.Life.Compare(b.Life); c != 0 {
		if c > 0 {
			return a
		}
		return b
	}
	if b.Place.compare(a.Place) > 0 {
		a.Place = b.Place
	}
	if b.Load.compare(a.Load) > 0 {
		a.Load = b.Load
	}
	a.Status = max(a.Status, b.Status)
	a.ConfigVersion = max(a.ConfigVersion, b.ConfigVersion)
	return a
}

// ID names an incarnation in few bytes. Two of 650 members share one with a
// chance of about 5 in 100,000; the harm is that one's beats count for both.
type ID uint32

// IDOf returns the ID of an incarnation of a VM.
func IDOf(vm steering.VM, incarnation steering.Incarnation) ID {
	return ID(xxhash.Sum64String(string(vm) + "\x00" + string(incarnation)))
}

// ID returns the ID of the fact's incarnation.
func (f Fact) ID() ID { return IDOf(f.VM, f.Incarnation) }

// digest covers what two views must agree on. Load and ConfigVersion change
// all the time and are left out; so are gone incarnations, which each view
// forgets at its own time.
func (f Fact) digest() uint64 {
	if f.Status == Gone {
		return 0
	}
	d := xxhash.New()
	parts := []string{string(f.VM), string(f.Incarnation), string(f.Place.Zone), string(f.Place.Region),
		f.Place.CallerAddress, f.Place.PeerAddress, f.Place.OperatorAddress, string(rune('0' + f.Status))}
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Listed is one line of the platform's list of VMs.
type Listed struct {
	VM     steering.VM
	Place  Place
	Status Status
	// Since is when the VM came into the state.
	Since time.Time
}
