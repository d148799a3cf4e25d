package operator

import "time"

// Runtime provides the entry VM's knowledge of the running system. Its methods don't block. The
// Age of a fact is the time since the state was reported.
type Runtime interface {
	// ConfigVersion returns the version of the configuration in force on this entry VM, or 0
	// before the first.
	ConfigVersion() int64
	// PlatformReachable reports whether the platform recently responded to this zone.
	PlatformReachable() bool
	Members() []MemberFact
	Zones() []ZoneFact
	Pools() []PoolFact
	// Shift, Stop and Cap return the state of one object; ok is false if nothing is known.
	Shift(name string) (fact ShiftFact, ok bool)
	Stop(name string) (fact StopFact, ok bool)
	Cap(name string) (fact CapFact, ok bool)
}

// MemberFact is the state of one entry VM.
type MemberFact struct {
	VM              string
	Incarnation     string // empty until the first heartbeat is received
	Zone            string
	Region          string
	OperatorAddress string
	State           MemberState
	Age             time.Duration
	ConfigVersion   int64
}

// MemberState is the state of an entry VM as the API names it.
type MemberState string

// States of an entry VM.
const (
	Live    MemberState = "live"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Gone    MemberState = "gone"
)

// ZoneFact is the state of one availability zone.
type ZoneFact struct {
	Zone   string
	Region string
	// ConfigVersion is the lowest version in force in the zone.
	ConfigVersion int64
	Age           time.Duration
	// CutOffSince is the time since which the zone has been unreachable; zero if it is reachable.
	CutOffSince time.Time
}

// PoolFact is the load of one service's slots at one place.
type PoolFact struct {
	Place   string
	Zone    string
	Region  string
	Service string
	Slots   int
	// HeldBack is how many declared slots no request gets now.
	HeldBack int
	InFlight int
	Queued   int
	Age      time.Duration
}

// ShiftFact is the progress of a shift.
type ShiftFact struct {
	MovedPercent int
	// HeldBy is the reason why the shift makes no further step; empty if it isn't held.
	HeldBy    string
	Remaining time.Duration
}

// StopFact is the state of a planned stop.
type StopFact struct {
	// InFlight is the number of requests that the stopped part of the system is still running.
	InFlight int
	// AllReported is set once every entry VM that may still have such requests has reported.
	AllReported bool
}

// CapFact is the use of a cap's permits.
type CapFact struct {
	// PermitsHeld is the number of permits allocated to all entry VMs together.
	PermitsHeld int
	// PermitsInUse is the number of permits in use; valid only if InUseKnown is set.
	PermitsInUse int
	InUseKnown   bool
}
