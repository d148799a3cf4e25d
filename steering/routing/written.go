package routing

import (
	"time"

	"heatherlock/steering"
)

// Kinds of the objects that entry VMs write themselves and that are spread
// with the operators' objects.
const (
	KindCapSeats      = "CapSeats"
	KindShiftProgress = "ShiftProgress"
)

// CapSeats is the stored division of one cap's permits; the object's name is
// the cap's. What is not in a seat is free to be given to one.
type CapSeats struct {
	// Version is the platform's version of this object; not part of the value.
	Version int64 `json:"-"`
	// CapVersion is the newest version of the Cap that a writer knew, with the
	// permits and the window it declared. Requests is 0 after its deletion.
	CapVersion int64     `json:"capVersion"`
	Requests   int       `json:"requests"`
	WindowMs   int64     `json:"windowMs"`
	Seats      []CapSeat `json:"seats"` // by VM
}

// CapSeat is what one incarnation of an entry VM holds of a cap.
type CapSeat struct {
	VM          steering.VM          `json:"vm"`
	Incarnation steering.Incarnation `json:"incarnation"`
	Permits     int                  `json:"permits"`
}

// ShiftProgress is how far a shift has come; the object's name is the shift's.
type ShiftProgress struct {
	// Version is the platform's version of this object; not part of the value.
	Version int64 `json:"-"`
	// ShiftVersion is the version of the Shift that the driver followed.
	ShiftVersion int64 `json:"shiftVersion"`
	// Service and Route are what Moved applies to, and Step and EverySeconds
	// how it goes back: work that was moved goes back in steps also when the
	// shift was deleted or now names another route.
	Service      steering.Service `json:"service,omitempty"`
	Route        Route            `json:"route"`
	Step         int              `json:"step"`
	EverySeconds int64            `json:"everySeconds"`
	// Moved is the percent in force.
	Moved int `json:"moved"`
	// State is the state of the shift's chart.
	State string `json:"state"`
	// HeldBy says what holds the shift back; empty when nothing does.
	HeldBy string `json:"heldBy,omitempty"`
	// WaitsForTurn is set when another shift into one of the places steps first.
	WaitsForTurn bool `json:"waitsForTurn,omitempty"`
	// RemainingSeconds estimates the time left.
	RemainingSeconds int64 `json:"remainingSeconds"`
	// Since is when Moved last changed, on the driver's clock; zero before.
	Since time.Time `json:"since"`
	// Forward is set when that change was a step forward.
	Forward bool `json:"forward"`
	// Driver is the entry VM that wrote this, Epoch its lease's epoch.
	Driver steering.VM `json:"driver"`
	Epoch  int64       `json:"epoch"`
}
