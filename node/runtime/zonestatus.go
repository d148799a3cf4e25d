package runtime

import (
	"time"

	"heatherlock/steering"
)

// KindZoneStatus is the object kind of ZoneStatus on the platform. The object's
// name is the name of the zone.
const KindZoneStatus = "ZoneStatus"

const (
	// ZoneStatusInterval is the time between two writes of an unchanged status.
	ZoneStatusInterval = 15 * time.Second
	// ZoneStatusStaleAfter is the age from which a zone is considered cut off from the
	// platform. It allows for two missed writes and a change of the reader.
	ZoneStatusStaleAfter = 45 * time.Second
)

// ZoneStatus is the status that a zone reports about itself.
type ZoneStatus struct {
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Writer and Epoch identify the reader lease under which the status was
	// written.
	Writer steering.VM `json:"writer"`
	Epoch  int64       `json:"epoch"`
	// WrittenAt is the time of the write by the writer's clock.
	WrittenAt time.Time `json:"writtenAt"`
	// ConfigVersion is the lowest configuration version in force among the zone's
	// members.
	ConfigVersion int64          `json:"configVersion"`
	Members       []MemberStatus `json:"members"`
	Pools         []PoolStatus   `json:"pools,omitempty"`
	Draining      []DrainStatus  `json:"draining,omitempty"`
	Caps          []CapStatus    `json:"caps,omitempty"`
}

// CutOffSince reports whether the status is so old at now that the zone is
// considered cut off, and returns the time of its last write.
func (z ZoneStatus) CutOffSince(now time.Time) (time.Time, bool) {
	return z.WrittenAt, now.Sub(z.WrittenAt) >= ZoneStatusStaleAfter
}

// MemberStatus is the status of one entry VM of the zone.
type MemberStatus struct {
	VM            steering.VM `json:"vm"`
	State         string      `json:"state"` // live, suspect, leaving or gone
	ConfigVersion int64       `json:"configVersion"`
	InFlight      int         `json:"inFlight"`
	// AgeMs is the age in milliseconds of this information when the status was
	// written.
	AgeMs int64 `json:"ageMs"`
}

// PoolStatus is the status of one pool of the zone. AgeMs is the age of the figures
// in milliseconds when the status was written.
type PoolStatus struct {
	Place    steering.Place   `json:"place"`
	Service  steering.Service `json:"service"`
	Slots    int              `json:"slots"`
	InFlight int              `json:"inFlight"`
	Queued   int              `json:"queued"`
	AgeMs    int64            `json:"ageMs"`
}

// DrainStatus is the number of requests that a draining target still runs.
type DrainStatus struct {
	Target   steering.Target `json:"target"`
	InFlight int             `json:"inFlight"`
}

// CapStatus is the zone's share of a cap.
type CapStatus struct {
	Cap string `json:"cap"`
	// Permits is the number of permits of the zone's seats; InUse of them are used
	// in the current window.
	Permits int `json:"permits"`
	InUse   int `json:"inUse"`
}

// ZoneFacts holds the parts of a ZoneStatus that other components of the entry VM
// supply.
type ZoneFacts struct {
	Members  []MemberStatus
	Pools    []PoolStatus
	Draining []DrainStatus
	Caps     []CapStatus
}
