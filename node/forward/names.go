package forward

// Headers of the data path; see docs/design/000-interfaces.md.
const (
	headerService     = "Heatherlock-Service"
	headerKey         = "Heatherlock-Key"
	headerTimeout     = "Heatherlock-Timeout-Ms"
	headerRequestID   = "Heatherlock-Request-Id"
	headerVia         = "Heatherlock-Via"
	headerIncarnation = "Heatherlock-Incarnation"
	headerKeyPrefix   = "Heatherlock-Key-Prefix"
	headerReason      = "Heatherlock-Reason"
	headerRan         = "Heatherlock-Ran"
	headerRetryAfter  = "Heatherlock-Retry-After-Ms"
	headerReplayed    = "Heatherlock-Replayed"
	headerHop         = "Heatherlock-Hop"
	headerHome        = "Heatherlock-Home"
	headerPlace       = "Heatherlock-Place"
	headerOrigin      = "Heatherlock-Origin"
	headerFree        = "Heatherlock-Free"

	// ownPrefix starts every header above in canonical form.
	ownPrefix = "Heatherlock-"

	targetRequestID = "X-Request-Id"
	targetDeadline  = "X-Deadline-Ms"
	targetNotRun    = "Target-Not-Run"
	targetInFlight  = "Target-In-Flight"
	targetSlots     = "Target-Slots"

	hopZone = "1"
	hopHome = "home"

	// ForwardPrefix starts the path of a handed-over request.
	ForwardPrefix = "/forward"
)
