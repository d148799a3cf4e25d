package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// Status is the stage that an incarnation has reached. It never decreases.
type Status uint8

// Statuses of an incarnation.
const (
	Live Status = iota
	Leaving
	Gone
)

// IncarnationKey identifies an incarnation of a VM and orders it among the others.
// A VM that is known only from the platform's list or the settings has the zero
// IncarnationKey.
type IncarnationKey struct {
	// Started is the start time of the process, in Unix nanoseconds by its own
	// clock.
	Started     int64
	Incarnation steering.Incarnation
}

// Compare orders incarnations by start time, and equal start times by name.
func (l IncarnationKey) Compare(o IncarnationKey) int {
	if c := cmp.Compare(l.Started, o.Started); c != 0 {
		return c
	}
	return cmp.Compare(l.Incarnation, o.Incarnation)
}

// Known reports whether l identifies an incarnation, that is, whether the VM is
// known from more than the platform's list or the settings.
func (l IncarnationKey) Known() bool { return l.Incarnation != "" }

// Location is where an incarnation runs and listens. It is fixed for an
// incarnation.
type Location struct {
	Zone            steering.Zone
	Region          steering.Region
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// compare defines a total order of places, so that the result of Join does not
// depend on the order of its arguments.
func (p Location) compare(o Location) int {
	return cmp.Or(
		cmp.Compare(p.Zone, o.Zone),
		cmp.Compare(p.Region, o.Region),
		cmp.Compare(p.CallerAddress, o.CallerAddress),
		cmp.Compare(p.PeerAddress, o.PeerAddress),
		cmp.Compare(p.OperatorAddress, o.OperatorAddress),
	)
}

// Load is the load that an incarnation reports of itself. The Load with the higher
// heartbeat number replaces the other.
type Load struct {
	Beat     uint64 // heartbeat number
	InFlight int32
}

func (l Load) compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Beat, o.Beat), cmp.Compare(l.InFlight, o.InFlight))
}

// Fact is the part of the state of a VM that all observers share.
type Fact struct {
	VM steering.VM
	IncarnationKey
	Location Location
	Status   Status
	// ConfigVersion is the highest configuration version known to be in force on
	// the VM.
	ConfigVersion int64
	Load          Load
}

// Join merges two facts about the same VM. The fact of the later incarnation
// replaces the other one. For the same incarnation Join returns the maximum of
// each part.
func Join(a, b Fact) Fact {
	if c := a.IncarnationKey.Compare(b.IncarnationKey); c != 0 {
		if c > 0 {
			return a
		}
		return b
	}
	if b.Location.compare(a.Location) > 0 {
		a.Location = b.Location
	}
	if b.Load.compare(a.Load) > 0 {
		a.Load = b.Load
	}
	a.Status = max(a.Status, b.Status)
	a.ConfigVersion = max(a.ConfigVersion, b.ConfigVersion)
	return a
}

// ID is a short hash that identifies an incarnation. Among 650 members, the
// probability that any two have the same ID is about 5 in 100,000; a View
// would then attribute the heartbeats of both to one of them.
type ID uint32

// IDOf returns the ID of an incarnation of a VM.
func IDOf(vm steering.VM, incarnation steering.Incarnation) ID {
	return ID(xxhash.Sum64String(string(vm) + "\x00" + string(incarnation)))
}

// ID returns the ID of the fact's incarnation.
func (f Fact) ID() ID { return IDOf(f.VM, f.Incarnation) }

// digest returns a hash of the parts on which two views must agree. It leaves out
// Load and ConfigVersion, which change all the time. It is zero for an incarnation
// that is gone, because each view removes these at a different time.
func (f Fact) digest() uint64 {
	if f.Status == Gone {
		return 0
	}
	d := xxhash.New()
	parts := []string{string(f.VM), string(f.Incarnation), string(f.Location.Zone), string(f.Location.Region),
		f.Location.CallerAddress, f.Location.PeerAddress, f.Location.OperatorAddress, string(rune('0' + f.Status))}
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	VM       steering.VM
	Location Location
	Status   Status
	// Since is when the VM entered the status.
	Since time.Time
}
