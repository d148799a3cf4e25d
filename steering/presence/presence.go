package presence

// State is what is known of another VM's process.
type State uint8

// States of a process.
const (
	// Unknown: it was never heard.
	Unknown State = iota
	// Live: it is heard, and has not announced that it leaves.
	Live
	// Leaving: it is heard, and has announced that it leaves.
	Leaving
	// Ended: it announced that it leaves, and is no longer heard.
	Ended
	// Lost: it is no longer heard and has not announced that it leaves.
	Lost
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"unknown", "live", "leaving", "ended", "lost"}[s]
}

// Of returns the state of a VM that is heard now or not, was heard at any time, and has announced in
// its last heartbeat that it leaves.
func Of(heard, everHeard, leaving bool) State {
	switch {
	case heard && leaving:
		return Leaving
	case heard:
		return Live
	case !everHeard:
		return Unknown
	case leaving:
		return Ended
	}
	return Lost
}

// TakesRequests reports whether the VM may be given anything new.
func (s State) TakesRequests() bool { return s == Live }

// Leaves reports whether the VM has announced that it leaves, so that it has little time left for what others do
// for it.
func (s State) Leaves() bool { return s == Leaving || s == Ended }

// Answers reports whether the VM is expected to answer the requests that it has.
func (s State) Answers() bool { return s == Live || s == Leaving }

// Incarnation distinguishes the processes of one VM; 0 means that it is not known.
type Incarnation uint32

// Process is what is known of a VM's newest process.
type Process struct {
	State       State
	Incarnation Incarnation
}

// Restarted reports whether a process other than the one before runs now.
func (now Process) Restarted(before Incarnation) bool {
	return before != 0 && now.Incarnation != 0 && now.Incarnation != before
}

// Abandons reports whether nothing more is to be expected of a request that the process before has:
// it has ended, is lost, or has been replaced.
func (now Process) Abandons(before Incarnation) bool {
	return !now.State.Answers() || now.Restarted(before)
}
