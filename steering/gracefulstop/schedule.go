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
	// answerTime is the time for writing the final responses to requests that still run.
	answerTime = 200 * time.Millisecond
	// runShare is the part of the time until SIGKILL for which work at targets is not broken off.
	runShare = 5.0 / 6
)

// Schedule holds the steps of a stop, as times since the VM was told to stop.
type Schedule struct {
	// Keep is until when connections are kept open. From then on each is closed with a response.
	Keep time.Duration
	// Accept is until when new connections are accepted. From then on idle ones are closed.
	Accept time.Duration
	// Answer is until when requests run. From then on each that has no response yet gets a final one of
	// the VM itself, and with it what is ready behind it on its connection.
	Answer time.Duration
	// End is when the process ends, whatever is still being written.
	End time.Duration
}

// Plan returns the steps of a stop if the process is killed after grace, and callers are told to cache
// directory responses for directoryTTL.
func Plan(grace, directoryTTL time.Duration) Schedule {
	accept := min(directoryTTL+acceptMargin, time.Duration(acceptShare*float64(grace)))
	end := max(grace-killMargin, accept)
	answer := min(max(end-answerTime, time.Duration(runShare*float64(grace)), accept), end)
	return Schedule{Keep: min(directoryTTL, time.Duration(keepShare*float64(accept))), Accept: accept, Answer: answer, End: end}
}
