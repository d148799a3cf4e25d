package runtime

import (
	"time"

	"heatherlock/steering"
)

// KindZoneStatus is the platform's kind for ZoneStatus objects; the object's
// name is the zone.
const KindZoneStatus = "ZoneStatus"

const (
	// ZoneStatusInterval is how often a status is written without a change.
	ZoneStatusInterval = 15 * time.Second
	// ZoneStatusOld is the age from which a zone counts as cut off from the
	// platform: two writes missed and a change of reader besides.
	ZoneStatusOld = 45 * time.Second
)

// ZoneStatus is one zone's word on itself.
type ZoneStatus struct {
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Writer and Epoch name the reader lease under which it was written.
	Writer steering.VM `json:"writer"`
	Epoch  int64       `json:"epoch"`
	// WrittenAt is the writer's clock.
	WrittenAt time.Time `json:"writtenAt"`
	// ConfigVersion is the lowest version in force among the zone's members.
	ConfigVersion int64          `json:"configVersion"`
	Members       []MemberStatus `json:"members"`
	Pools         []PoolStatus   `json:"pools,omitempty"`
	Draining      []DrainStatus  `json:"draining,omitempty"`
	Caps          []CapStatus    `json:"caps,omitempty"`
}

// CutOffSince says whether the zone's word is too old at now, and since when.
func (z ZoneStatus) CutOffSince(now time.Time) (time.Time, bool) {
	return z.WrittenAt, now.Sub(z.WrittenAt) >= ZoneStatusOld
}

// MemberStatus is one entry VM of the zone.
type MemberStatus struct {
	VM            steering.VM `json:"vm"`
	State         string      `json:"state"` // live, suspect, leaving or gone
	ConfigVersion int64       `json:"configVersion"`
	InFlight      int         `json:"inFlight"`
	// AgeMs is the age of these facts when the status was written.
	AgeMs int64 `json:"ageMs"`
}

// PoolStatus is one pool of the zone.
type PoolStatus struct {
	Place    steering.Place   `json:"place"`
	Service  steering.Service `json:"service"`
	Slots    int              `json:"slots"`
	InFlight int              `json:"inFlight"`
	Queued   int              `json:"queued"`
	AgeMs    int64            `json:"ageMs"`
}

// DrainStatus is what a draining target still runs.
type DrainStatus struct {
	Target   steering.Target `json:"target"`
	InFlight int             `json:"inFlight"`
}

// CapStatus is the zone's part of a cap.
type CapStatus struct {
	Cap string `json:"cap"`
	// Permits are held by the zone's seats, InUse of them in this window.
	Permits int `json:"permits"`
	InUse   int `json:"inUse"`
}

// ZoneFacts are the parts of a status that other parts of the entry VM know.
type ZoneFacts struct {
	Members  []MemberStatus
	Pools    []PoolStatus
	Draining []DrainStatus
	Caps     []CapStatus
}
