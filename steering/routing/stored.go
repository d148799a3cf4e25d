package routing

import (
	"time"

	"heatherlock/steering"
)

// Kinds of objects that entry VMs write themselves. They are distributed together with the
// operators' objects.
const (
	KindCapSeats      = "CapSeats"
	KindShiftProgress = "ShiftProgress"
)

// CapSeats is the stored assignment of a cap's permits to entry VMs. The object has the name of the
// cap. Permits that are not in a seat are available.
type CapSeats struct {
	// Version is the platform's version of this object. It is not part of the stored value.
	Version int64 `json:"-"`
	// CapVersion is the newest version of the Cap known to any writer of the object. Requests and
	// WindowMs are the permits and the window declared in that version. Requests is 0 after the cap
	// is deleted.
	CapVersion int64     `json:"capVersion"`
	Requests   int       `json:"requests"`
	WindowMs   int64     `json:"windowMs"`
	Seats      []CapSeat `json:"seats"` // sorted by VM
}

// CapSeat is the share of a cap's permits that one incarnation of an entry VM holds.
type CapSeat struct {
	VM          steering.VM          `json:"vm"`
	Incarnation steering.Incarnation `json:"incarnation"`
	Permits     int                  `json:"permits"`
}

// ShiftProgress is the stored progress of a shift. The object has the name of the shift.
type ShiftProgress struct {
	// Version is the platform's version of this object. It is not part of the stored value.
	Version int64 `json:"-"`
	// ShiftVersion is the version of the Shift on which the driver based this record.
	ShiftVersion int64 `json:"shiftVersion"`
	// Service and Route identify the callers that Moved applies to. Step and EverySeconds set the
	// pace at which they are moved back: callers return step by step even if the shift was deleted
	// or now names another route.
	Service      steering.Service `json:"service,omitempty"`
	Route        Route            `json:"route"`
	Step         int              `json:"step"`
	EverySeconds int64            `json:"everySeconds"`
	// Moved is the share of callers that is moved now, in percent.
	Moved int `json:"moved"`
	// State is the state of the shift in its state chart.
	State string `json:"state"`
	// HeldBy describes what blocks the next step forward; empty if nothing does.
	HeldBy string `json:"heldBy,omitempty"`
	// WaitsForTurn is set if the step waits for another shift into one of the same places.
	WaitsForTurn bool `json:"waitsForTurn,omitempty"`
	// RemainingSeconds is the estimated time until the shift is complete.
	RemainingSeconds int64 `json:"remainingSeconds"`
	// Since is the time of the last change of Moved by the driver's clock; zero before the first
	// change.
	Since time.Time `json:"since"`
	// Forward is set if the last change increased Moved.
	Forward bool `json:"forward"`
	// Driver is the entry VM that wrote this record, and Epoch is the epoch of its lease.
	Driver steering.VM `json:"driver"`
	Epoch  int64       `json:"epoch"`
}
