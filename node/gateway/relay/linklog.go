package relay

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// linkLog summarizes for the log which targets answered lately.
type linkLog struct {
	answers     int
	answeredAt  time.Time
	unreachable map[steering.Target]int // attempts since the last line, by target
}

// note records how an attempt at a target ended.
func (l *linkLog) note(now time.Time, target steering.Target, o placement.Outcome) {
	switch o {
	case placement.Unreachable, placement.Silent:
		if l.unreachable == nil {
			l.unreachable = make(map[steering.Target]int)
		}
		l.unreachable[target]++
	case placement.Broken, placement.Abandoned:
	default:
		l.answers++
		l.answeredAt = now
	}
}

// minUnreachable is how many targets must have been unreachable since the last line for another one. A
// single one is logged when it is passed over.
const minUnreachable = 3

// LogLinks logs how many targets were unreachable since the last call, and how many responses arrived
// meanwhile. It tells a VM that has lost its links from targets that have failed.
func (f *Relay) LogLinks() {
	f.mu.Lock()
	l := f.linkLog
	f.linkLog = linkLog{answeredAt: l.answeredAt}
	f.mu.Unlock()
	if len(l.unreachable) < minUnreachable {
		return
	}
	attempts := 0
	for _, n := range l.unreachable {
		attempts += n
	}
	line := []any{"msg", "targets unreachable", "targets", len(l.unreachable), "attempts", attempts, "answers", l.answers, "store_age_ms", f.storeAge().Milliseconds()}
	if !l.answeredAt.IsZero() {
		line = append(line, "answered_ms_ago", time.Since(l.answeredAt).Milliseconds())
	}
	_ = f.cfg.Log.Log(line...) // the log writer counts dropped lines
}
