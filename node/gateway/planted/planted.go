// Package planted holds defects that the fault soak must find. A usual build has
// none of them: Defect is a constant, and the compiler drops what it guards. A
// build with the tag planted_NAME has the defect NAME.
package planted

// Name is the name of a defect.
type Name string

// Defects.
const (
	None Name = ""
	// Twice sends a request that must run at most once again after a lost answer.
	Twice Name = "twice"
	// FalselyNotRun tells callers that a request has not run when its answer was lost.
	FalselyNotRun Name = "falsely_not_run"
	// Crossed passes on answers that belong to other requests.
	Crossed Name = "crossed"
	// LeavingIgnored goes on sending to targets that leave.
	LeavingIgnored Name = "leaving_ignored"
	// StaleConfig keeps the first configuration.
	StaleConfig Name = "stale_config"
	// ImmediateExit ends at once on SIGTERM.
	ImmediateExit Name = "cut_on_stop"
	// ReusedAddress sends to whoever holds an address.
	ReusedAddress Name = "reused_address"
)
