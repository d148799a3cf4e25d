package reach

import (
	"time"

	"heatherlock/steering"
)

const (
	// SampleSize is how many targets a VM connects to in order to tell whether it is cut off.
	SampleSize = 4
	// ProbeInterval is the time between two attempts of a VM that is cut off to connect to targets.
	ProbeInterval = 400 * time.Millisecond
	// checkPause is the time between two checks, so that failing targets cause few connections.
	checkPause = time.Second
	// minFailing is how many targets must refuse connections for a check while others answer on open
	// connections.
	minFailing = 2
	// liveFor is how long after the last response the open connections count as live.
	liveFor = 500 * time.Millisecond
	// A VM that is cut off again within relapseTime of the last cut returns to its own links only after
	// minHold, and twice as long each time, up to maxHold.
	relapseTime = 10 * time.Second
	minHold     = time.Second
	maxHold     = 8 * time.Second
)

// Links is what a VM knows of its links to all targets together. The zero value is ready to use. It is
// not safe for concurrent use.
type Links struct {
	answeredAt time.Time // of the last response of any target
	openedAt   time.Time // of the last connection that was opened
	// failing holds targets to which no connection could be opened since openedAt, and troubleSince is
	// when the first failure began.
	failing      map[steering.Target]bool
	troubleSince time.Time
	checking     bool
	nextCheck    time.Time
	cutSince     time.Time // zero while the VM is not cut off
	restoredAt   time.Time
	hold         time.Duration
}

// Answered records a response of a target.
func (l *Links) Answered(now time.Time) { l.answeredAt = now }

// Opened records that a connection to a target was opened.
func (l *Links) Opened(now time.Time) {
	l.openedAt = now
	clear(l.failing)
	l.troubleSince = time.Time{}
}

// ConnectFailed records that a connection to a target could not be opened; began is when the attempt
// began. It reports whether to check the links, and then CheckEnded must be called.
func (l *Links) ConnectFailed(now, began time.Time, target steering.Target) (check bool) {
	if l.openedAt.After(began) || l.CutOff() {
		return false
	}
	if l.failing == nil {
		l.failing = make(map[steering.Target]bool)
	}
	l.failing[target] = true
	l.noteTrouble(began)
	return (!l.answeredAt.After(began) || len(l.failing) >= minFailing) && l.startCheck(now)
}

// Overdue records that a request which was started at began has no response although one was expected
// by now. It reports whether to check the links, and then CheckEnded must be called.
func (l *Links) Overdue(now, began time.Time) (check bool) {
	if l.answeredAt.After(began) || l.CutOff() || !l.startCheck(now) {
		return false
	}
	l.noteTrouble(began)
	return true
}

func (l *Links) noteTrouble(began time.Time) {
	if l.troubleSince.IsZero() || began.Before(l.troubleSince) {
		l.troubleSince = began
	}
}

func (l *Links) startCheck(now time.Time) bool {
	if l.checking || now.Before(l.nextCheck) {
		return false
	}
	l.checking = true
	return true
}

// CheckEnded records how many of a sample of targets accepted a connection. It reports whether the VM
// is cut off from now on. It is not if a connection was opened meanwhile.
func (l *Links) CheckEnded(now time.Time, accepted, failed int) (cutOff bool) {
	l.checking = false
	l.nextCheck = now.Add(checkPause)
	if accepted > 0 || failed == 0 || l.troubleSince.IsZero() {
		return false
	}
	l.cutSince = now
	if !l.restoredAt.IsZero() && now.Sub(l.restoredAt) < relapseTime {
		l.hold = min(max(2*l.hold, minHold), maxHold)
	} else {
		l.hold = 0
	}
	return true
}

// ProbeEnded records how many targets accepted a connection while the VM was cut off; helped says
// whether other VMs pass its requests on. It reports whether the VM reaches targets again.
func (l *Links) ProbeEnded(now time.Time, accepted int, helped bool) (restored bool) {
	if accepted == 0 || helped && now.Sub(l.cutSince) < l.hold {
		return false
	}
	l.cutSince, l.restoredAt, l.nextCheck = time.Time{}, now, now
	l.Opened(now)
	return true
}

// Checking reports whether a check is under way.
func (l *Links) Checking() bool { return l.checking }

// CutOff reports whether the VM cannot open connections to targets.
func (l *Links) CutOff() bool { return !l.cutSince.IsZero() }

// CutSince returns when the VM was found to be cut off; zero if it is not.
func (l *Links) CutSince() time.Time { return l.cutSince }

// TroubleSince returns when the first attempt began that showed the cut. What was learned of targets
// since then may be due to the VM's own links.
func (l *Links) TroubleSince() time.Time { return l.troubleSince }

// ConnectionsLive reports whether open connections of a VM that is cut off still carry responses.
func (l *Links) ConnectionsLive(now time.Time) bool {
	return l.CutOff() && l.answeredAt.After(l.cutSince) && now.Sub(l.answeredAt) < liveFor
}
