// Package planted names defects that the fault soak must find when they are built in on purpose.
// A normal build has none of them: Defect is a constant, so that the compiler removes the code
// that it guards. A build with the tag planted_NAME has the defect NAME.
package planted

// Name is the name of a defect, as in the build tag.
type Name string

const (
	// None is the value of Defect in a normal build.
	None Name = ""
	// UnsafeRetry resends a request that is not idempotent after its response was lost.
	UnsafeRetry Name = "twice"
	// FalselyNotRun tells callers that a request has not run although its response was lost.
	FalselyNotRun Name = "falsely_not_run"
	// MismatchedResponse forwards responses that belong to other requests.
	MismatchedResponse Name = "crossed"
	// LeavingIgnored keeps sending requests to targets that are leaving.
	LeavingIgnored Name = "leaving_ignored"
	// StaleConfig keeps the first configuration instead of applying newer ones.
	StaleConfig Name = "stale_config"
	// ImmediateExit exits on SIGTERM without finishing the running requests.
	ImmediateExit Name = "cut_on_stop"
	// NoHelpers refuses requests at a VM that is cut off from all targets instead of passing them on.
	NoHelpers Name = "no_helpers"
	// LockOrder asks the store reader for something while the placement lock is held.
	LockOrder Name = "lock_order"
	// LimitIgnored sends requests to targets that name a limit without credits.
	LimitIgnored Name = "limit_ignored"
	// ReusedAddress sends requests to whichever target holds an address, without checking that it
	// is the intended one.
	ReusedAddress Name = "reused_address"
)
