package operator

import "time"

// Runtime is what the entry VM knows of the running system. Every method
// returns at once; facts carry their age.
type Runtime interface {
	// ConfigVersion is the configuration in force here; 0 before the first.
	ConfigVersion() int64
	// PlatformReachable tells whether the platform answered this zone lately.
	PlatformReachable() bool
	Members() []MemberFact
	Zones() []ZoneFact
	Pools() []PoolFact
	// Shift, Stop and Cap return what is known of one object; ok is false
	// when nothing is.
	Shift(name string) (fact ShiftFact, ok bool)
	Stop(name string) (fact StopFact, ok bool)
	Cap(name string) (fact CapFact, ok bool)
}

// MemberFact is one entry VM.
type MemberFact struct {
	VM              string
	Incarnation     string // empty until heard from
	Zone            string
	Region          string
	OperatorAddress string
	State           MemberState
	Age             time.Duration
	ConfigVersion   int64
}

// MemberState is the state of an entry VM, in the words of the API.
type MemberState string

// States of an entry VM.
const (
	Live    MemberState = "live"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Gone    MemberState = "gone"
)

// ZoneFact is one availability zone.
type ZoneFact struct {
	Zone   string
	Region string
	// ConfigVersion is the lowest version in force in the zone.
	ConfigVersion int64
	Age           time.Duration
	// CutOffSince is set while nothing is heard from the zone.
	CutOffSince time.Time
}

// PoolFact is the slots of one service at one place.
type PoolFact struct {
	Place    string
	Zone     string
	Region   string
	Service  string
	Slots    int
	InFlight int
	Queued   int
	Age      time.Duration
}

// ShiftFact is a shift in motion.
type ShiftFact struct {
	MovedPercent int
	// HeldBy says what holds it back; empty when nothing does.
	HeldBy    string
	Remaining time.Duration
}

// StopFact is a planned stop.
type StopFact struct {
	// InFlight counts the requests that what is stopped still runs.
	InFlight int
	// AllReported is set when everybody who may still run some has reported.
	AllReported bool
}

// CapFact is a cap at work.
type CapFact struct {
	// PermitsHeld is the sum over the seats of all entry VMs.
	PermitsHeld int
	// PermitsInUse counts those in use now, if InUseKnown.
	PermitsInUse int
	InUseKnown   bool
}
