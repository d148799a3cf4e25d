package dynamic

import "heatherlock/steering/routing"

// Kinds of stored objects.
const (
	KindService      = "Service"
	KindPlace        = "Place"
	KindClientBlocks = "ClientBlocks"
	KindShift        = "Shift"
	KindCap          = "Cap"
	KindPlannedStop  = "PlannedStop"
	// KindShard holds a part of the blocks of a ClientBlocks object that is too
	// big for one value.
	KindShard = "ClientBlocksShard"
	// KindShiftProgress holds the percentage that a shift has moved. The object
	// has the name of the shift.
	KindShiftProgress = routing.KindShiftProgress
	// KindCapSeats holds the division of a cap's permits among entry VMs. The
	// object has the name of the cap.
	KindCapSeats = routing.KindCapSeats
	// KindLease holds the reader lease of a zone. It is the only kind here that
	// is not in SyncedKinds.
	KindLease = "Lease"
)

// SyncedKinds returns the kinds that every entry VM keeps a copy of.
func SyncedKinds() []string {
	return []string{
		KindService, KindPlace, KindClientBlocks, KindShift, KindCap, KindPlannedStop,
		KindShard, KindShiftProgress, KindCapSeats,
	}
}
