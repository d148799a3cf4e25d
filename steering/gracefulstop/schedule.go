package gracefulstop

import "time"

const (
	// acceptMargin is how long after the end of the stated time callers with a directory response still
	// find the port open. It covers the time in which a look-up is answered and a connection is opened.
	acceptMargin = 800 * time.Millisecond
	// acceptShare bounds the time for accepting connections as a fraction of the time until SIGKILL, because
	// a request accepted last still needs time to run.
	acceptShare = 0.47
	// keepShare bounds the time for which connections are kept open as a fraction of the time for accepting,
	// because callers that are sent away have to be answered before the port is closed.
	keepShare = 0.75
	// killMargin is the part of the time until SIGKILL that is left unused.
	killMargin = 500 * time.Millisecond
)

// Schedule holds the steps of a stop, as times since the VM was told to stop.
type Schedule struct {
	// Keep is until when connections are kept open. From then on each is closed with a response.
	Keep time.Duration
	// Accept is until when new connections are accepted. From then on idle ones are closed.
	Accept time.Duration
	// End is when the process ends, whatever still runs.
	End time.Duration
}

// Plan returns the steps of a stop if the process is killed after grace, and callers are told to cache
// directory responses for directoryTTL.
func Plan(grace, directoryTTL time.Duration) Schedule {
	accept := min(directoryTTL+acceptMargin, time.Duration(acceptShare*float64(grace)))
	return Schedule{Keep: min(directoryTTL, time.Duration(keepShare*float64(accept))), Accept: accept, End: max(grace-killMargin, accept)}
}
