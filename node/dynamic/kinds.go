package dynamic

import "heatherlock/steering/routing"

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
	KindShiftProgress = routing.KindShiftProgress
	// KindCapSeats holds the seats of a cap; its name is the cap's.
	KindCapSeats = routing.KindCapSeats
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
