package steering

import "net/http"

// ReasonInfo documents a refusal reason for callers and operators.
type ReasonInfo struct {
	// Status is the HTTP status code of the refusal.
	Status int
	// Meaning describes what happened.
	Meaning string
	// Remedy describes what the caller or the operator can do.
	Remedy string
}

// Reasons documents every refusal reason. `heatherlock why` prints these entries, and the
// metrics page is generated from them.
var Reasons = map[Reason]ReasonInfo{
	ReasonNoService:          {http.StatusNotFound, "no Service object matches the request's host or Heatherlock-Service header", "name a declared service, or apply a Service object"},
	ReasonNoTarget:           {http.StatusServiceUnavailable, "no reachable place has a target for the service", "apply a Place with targets for the service, or end the planned stops that hold them"},
	ReasonNotReady:           {http.StatusServiceUnavailable, "this entry VM has no configuration yet", "ask another entry VM; check that this one reaches a peer or the platform"},
	ReasonConfigBehind:       {http.StatusServiceUnavailable, "this entry VM waits for a newer configuration, and has no route for the request or has waited too long to go by the older one", "ask again, or ask another entry VM; see gateway_config_behind_ms if it lasts"},
	ReasonShuttingDown:       {http.StatusServiceUnavailable, "this entry VM is leaving", "look up entry VMs again"},
	ReasonStopped:            {http.StatusServiceUnavailable, "a planned stop covers every place that could serve the request", "come back after the stop, or delete the PlannedStop"},
	ReasonQueueFull:          {http.StatusServiceUnavailable, "the queue for this service is full", "come back after the time given"},
	ReasonNoSlot:             {http.StatusServiceUnavailable, "no target slot can come free before the deadline", "come back after the time given, or allow a longer deadline"},
	ReasonDeadline:           {http.StatusGatewayTimeout, "the request's deadline passed", "allow a longer deadline; repeat only if the request is idempotent or was not run"},
	ReasonLinkFull:           {http.StatusServiceUnavailable, "the place's link limit for work from elsewhere is reached", "come back after the time given, or raise the Place's linkInFlight"},
	ReasonCapReached:         {http.StatusServiceUnavailable, "the cap of the shift that brought the request here is reached", "come back after the time given, or raise the Cap"},
	ReasonRampLimited:        {http.StatusServiceUnavailable, "the receiving place is still warming up", "come back after the time given"},
	ReasonShed:               {http.StatusServiceUnavailable, "targets refused the request without running it", "come back after the time given; check the targets' real slots against the Place"},
	ReasonTargetFailed:       {http.StatusBadGateway, "the target could not be reached or broke off before answering", "repeat only if the request is idempotent or was not run"},
	ReasonTargetLost:         {http.StatusBadGateway, "the target went away while it held the request", "repeat only if the request is idempotent"},
	ReasonPoison:             {http.StatusUnprocessableEntity, "requests like this one took down targets that ran them", "do not repeat it; have the service's owner inspect the request"},
	ReasonRetryBudget:        {http.StatusServiceUnavailable, "the first try was not run and the retry budget is spent", "come back after the time given"},
	ReasonHopLimit:           {http.StatusLoopDetected, "the request was already handed over between zones once", "come back after the time given"},
	ReasonPeerUnreachable:    {http.StatusServiceUnavailable, "the entry VM that would have to take the request cannot be reached", "come back after the time given"},
	ReasonKeyOwnerGone:       {http.StatusConflict, "the entry VM that issued the key is gone, and with it the outcome", "check the outcome with the service itself; the request is not run again under this key"},
	ReasonKeyEvicted:         {http.StatusConflict, "the outcome of this key is no longer kept", "check the outcome with the service itself; the request is not run again under this key"},
	ReasonKeyMismatch:        {http.StatusUnprocessableEntity, "the key was used before with a different request", "check the outcome of the first request; use a fresh key for each request and the same content for each repeat"},
	ReasonKeyBusy:            {http.StatusConflict, "the same key is running and its answer cannot be shared", "come back after the time given with the same key"},
	ReasonKeysFull:           {http.StatusServiceUnavailable, "this entry VM keeps as many request keys as its memory bound allows", "come back after the time given with the same key, or raise limits.outcomeBytes"},
	ReasonResponseNotKept:    {http.StatusConflict, "the request ran, but its answer was too large to keep", "read the outcome from the service itself"},
	ReasonResponseTruncated:  {http.StatusBadGateway, "the target's answer ended early", "repeat only if the request is idempotent"},
	ReasonResponseMalformed:  {http.StatusBadGateway, "the target's answer broke the protocol", "repeat only if the request is idempotent; inspect the target"},
	ReasonResponseMismatched: {http.StatusBadGateway, "the target answered a different request", "repeat only if the request is idempotent; inspect the target"},
	ReasonBadRequest:         {http.StatusBadRequest, "the request is malformed", "correct the part named in the detail"},
	ReasonBodyTooLarge:       {http.StatusRequestEntityTooLarge, "the body is larger than the service allows", "send less, or raise the Service's maxBodyBytes"},
	ReasonHeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the configuration allows", "send less, or raise maxHeaderBytes"},
	ReasonSlowSender:         {http.StatusRequestTimeout, "the caller sent its header or body too slowly", "send again over a better link"},
	ReasonSlowReader:         {http.StatusRequestTimeout, "the caller took the answer too slowly, and the connection was broken off", "ask again over a better link; only counted, since the answer had begun"},
	ReasonTooManyConnections: {http.StatusServiceUnavailable, "this entry VM has as many connections as it allows", "use another entry VM of the look-up answer"},
	ReasonMemoryFull:         {http.StatusServiceUnavailable, "this entry VM holds as many bytes for slow callers and targets as its memory allows", "come back after the time given, or use another entry VM; see docs/operations/slow-readers.md"},
	ReasonCancelled:          {499, "the caller went away", "none needed"},

	ReasonAPIKeyMissing:      {http.StatusUnauthorized, "the request has no API key", "send the workspace's API key"},
	ReasonAPIKeyRepeated:     {http.StatusUnauthorized, "the request has several API keys", "send one API key"},
	ReasonAPIKeyMalformed:    {http.StatusUnauthorized, "the API key is empty, too long, or not a key alone", "send the API key alone, without a scheme or blanks"},
	ReasonAPIKeyUnknown:      {http.StatusUnauthorized, "no workspace holds this API key", "check the key; ask the operator whether it was taken away"},
	ReasonNoCommonHomeRegion: {http.StatusServiceUnavailable, "the route's and the workspace's home regions have none in common", "change the homes of the route or of the workspace"},
	ReasonOverAllowance:      {http.StatusTooManyRequests, "the workspace is beyond its allowance of requests", "come back after the time given, or raise the workspace's rate"},
	ReasonOverShare:          {http.StatusServiceUnavailable, "the service is short of capacity and the workspace is beyond its share of it", "come back after the time given, or add targets to the service"},
}
