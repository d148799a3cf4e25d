package placement

import (
	"time"

	"heatherlock/steering"
)

const (
	// noticeRetention is how long a notice is kept after the last response that it is based on, for
	// a target that is not declared. Its entry may come back, for example after an outage of the
	// store.
	noticeRetention = 10 * time.Minute
	// maxNotices bounds the notices of targets that are not declared.
	maxNotices = 4096
)

// Notice is what a target says of itself in a response.
type Notice struct {
	// Limited is set if the target names a limit, of Limit requests per second from all entry VMs
	// together.
	Limited bool
	Limit   float64
	// Complete is set if a notice that is missing from the response is not in force any more. A
	// response that the target gives before it reads a request may lack it.
	Complete bool
}

// notice is what a target has said of itself in its responses so far. It belongs to one start of
// the target and not to its entry, which may be removed and come back.
type notice struct {
	generation steering.Generation
	heardAt    time.Time
	limited    bool
	limit      float64
}

// notices holds the notices by target. A target without any has said nothing of itself.
type notices map[steering.Target]*notice

// of returns the notice of a target, or nil.
func (n notices) of(t Target) *notice {
	if found := n[t.Name]; found != nil && found.generation == t.Generation {
		return found
	}
	return nil
}

// add returns the notice of a target, and creates it if needed.
func (n notices) add(t Target) *notice {
	found := n.of(t)
	if found == nil {
		found = &notice{generation: t.Generation}
		n[t.Name] = found
	}
	return found
}

// NoticeChange says what a response changed in what is known of its target.
type NoticeChange struct {
	// Limit is set if the target names another limit than before, or none any more.
	Limit bool
}

// Heard records what a target said of itself in a response.
func (b *Balancer) Heard(now time.Time, t Target, said Notice) NoticeChange {
	known := b.notices.of(t)
	if known == nil {
		if !said.Limited {
			return NoticeChange{}
		}
		b.forgetNotices(now)
		known = b.notices.add(t)
	}
	known.heardAt = now
	return NoticeChange{Limit: known.setLimit(said)}
}

// setLimit records the limit in a response and reports whether it has changed.
func (n *notice) setLimit(said Notice) bool {
	if !said.Limited && !said.Complete || said.Limited == n.limited && said.Limit == n.limit {
		return false
	}
	n.limited, n.limit = said.Limited, said.Limit
	return true
}

// forgetNotices drops old notices of targets that are not declared once there are too many.
func (b *Balancer) forgetNotices(now time.Time) {
	if len(b.notices) < maxNotices+len(b.byName) {
		return
	}
	for name, n := range b.notices {
		if b.byName[name] == nil && now.Sub(n.heardAt) > noticeRetention {
			delete(b.notices, name)
		}
	}
}

// LimitedCount returns the number of targets that name a limit.
func (b *Balancer) LimitedCount() int {
	limited := 0
	for name, n := range b.notices {
		if s := b.byName[name]; s != nil && s.Generation == n.generation && n.limited {
			limited++
		}
	}
	return limited
}
