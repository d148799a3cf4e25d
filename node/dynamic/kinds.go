package dynamic

// Kinds of object that spread to every node.
const (
	KindService      = "Service"
	KindPlace        = "Place"
	KindClientBlocks = "ClientBlocks"
	KindShift        = "Shift"
	KindCap          = "Cap"
	KindPlannedStop  = "PlannedStop"
	// KindShard holds a part of a ClientBlocks object that is too big for one
	// value.
	KindShard = "ClientBlocksShard"
	// KindShiftProgress holds the percent a shift has moved; its name is the
	// shift's.
	KindShiftProgress = "ShiftProgress"
	// KindCapSeats holds the seats of a cap; its name is the cap's.
	KindCapSeats = "CapSeats"
	// KindLease holds the reader lease of a zone and is not spread.
	KindLease = "Lease"
)

// SpreadKinds returns the kinds that spread to every node.
func SpreadKinds() []string {
	return []string{
		KindService, KindPlace, KindClientBlocks, KindShift, KindCap, KindPlannedStop,
		KindShard, KindShiftProgress, KindCapSeats,
	}
}

// ShiftProgress is the value of a ShiftProgress object.
type ShiftProgress struct {
	// Moved is the percent in force, 0 to 100.
	Moved int `json:"moved"`
}
