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

	// reservedPrefix is the prefix of every header above in canonical form.
	reservedPrefix = "Heatherlock-"

	targetRequestID = "X-Request-Id"
	targetDeadline  = "X-Deadline-Ms"
	targetNotRun    = "Target-Not-Run"
	targetInFlight  = "Target-In-Flight"
	targetSlots     = "Target-Slots"

	hopSpillover = "1"
	hopPeer      = "home"

	// ForwardPrefix is the prefix of the path of a request that a peer hands over.
	ForwardPrefix = "/forward"
)
