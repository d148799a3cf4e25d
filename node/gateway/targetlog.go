package gateway

import (
	"sort"

	"heatherlock/node/gateway/feed"
	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// maxLoggedNames bounds the target names in one log line.
const maxLoggedNames = 12

// targetLog holds the target states that were last logged, so that only changes are logged.
type targetLog struct {
	mu       lock.Mutex
	known    map[steering.Target]loggedTarget
	ejected  map[steering.Target]bool
	replaced map[steering.Target]bool
	// unusable holds the reason last logged for an invalid entry, by target; it has at most
	// maxUnusable elements.
	unusable map[steering.Target]string
}

// loggedTarget is the state of a target that was last logged.
type loggedTarget struct {
	closed     bool
	generation steering.Generation
}

// targetChanges collects the changes of targets to log.
type targetChanges struct{ added, closed, reopened, restarted, removed []steering.Target }

// logTargets logs which targets were added, removed or restarted, and which stopped or resumed
// taking new requests.
func (g *Gateway) logTargets(u feed.TargetUpdate) {
	b := &g.targetLog
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = make(map[steering.Target]loggedTarget, len(u.Changed))
	}
	var c targetChanges
	removed := u.Removed
	if u.Complete {
		removed = b.missingFrom(u.Changed)
	}
	for _, t := range u.Changed {
		c.note(b.known, t)
		delete(b.unusable, t.Name)
	}
	for _, name := range removed {
		if _, known := b.known[name]; known {
			delete(b.known, name)
			c.removed = append(c.removed, name)
		}
	}
	for _, change := range []struct {
		msg   string
		names []steering.Target
	}{{"targets came", c.added}, {"targets get nothing new", c.closed}, {"targets take new requests again", c.reopened}, {"targets restarted", c.restarted}, {"targets gone", c.removed}} {
		g.logNames(change.msg, change.names)
	}
}

// note records how a target differs from what was logged of it last.
func (c *targetChanges) note(known map[steering.Target]loggedTarget, t placement.Target) {
	was, found := known[t.Name]
	known[t.Name] = loggedTarget{closed: t.Closed, generation: t.Generation}
	if found && was.generation != t.Generation {
		c.restarted = append(c.restarted, t.Name)
	}
	switch {
	case !found:
		c.added = append(c.added, t.Name)
	case t.Closed && !was.closed:
		c.closed = append(c.closed, t.Name)
	case was.closed && !t.Closed:
		c.reopened = append(c.reopened, t.Name)
	}
}

// missingFrom returns the logged targets that are not among all targets.
func (b *targetLog) missingFrom(all []placement.Target) []steering.Target {
	listed := make(map[steering.Target]bool, len(all))
	for _, t := range all {
		listed[t.Name] = true
	}
	var missing []steering.Target
	for name := range b.known {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// logEjected logs which targets outlier ejection has ejected or readmitted since the last call.
func (g *Gateway) logEjected(ejected []steering.Target) {
	b := &g.targetLog
	b.mu.Lock()
	defer b.mu.Unlock()
	var began, ended []steering.Target
	b.ejected, began, ended = compare(b.ejected, ejected)
	g.logNames("targets passed over, they fail or do not answer", began)
	g.logNames("targets used again", ended)
}

// logReplaced logs which targets get no more requests because another target now answers at their
// address, as found by this VM or another.
func (g *Gateway) logReplaced(replaced []steering.Target) {
	b := &g.targetLog
	b.mu.Lock()
	defer b.mu.Unlock()
	var began []steering.Target
	b.replaced, began, _ = compare(b.replaced, replaced)
	g.logNames("targets replaced, others have their addresses", began)
}

// compare returns a set of targets, and the targets that it adds to and removes from an old set.
func compare(old map[steering.Target]bool, all []steering.Target) (now map[steering.Target]bool, added, removed []steering.Target) {
	now = make(map[steering.Target]bool, len(all))
	for _, name := range all {
		now[name] = true
		if !old[name] {
			added = append(added, name)
		}
	}
	for name := range old {
		if !now[name] {
			removed = append(removed, name)
		}
	}
	return now, added, removed
}

// maxUnusable bounds the remembered invalid entries, so that a flood of them fills neither the
// log nor the memory.
const maxUnusable = 64

// InvalidEntries implements feed.Sink: it counts entries that describe no valid target, and logs
// each with its reason unless that was the last reason logged for it.
func (g *Gateway) InvalidEntries(entries []platform.InvalidEntry) {
	g.metrics.Scope.Counter("gateway_entries_unusable").Inc(int64(len(entries)))
	b := &g.targetLog
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unusable == nil {
		b.unusable = make(map[steering.Target]string)
	}
	suppressed := 0
	for _, e := range entries {
		if b.unusable[e.Name] == e.Reason {
			continue
		}
		if _, logged := b.unusable[e.Name]; !logged && len(b.unusable) >= maxUnusable {
			suppressed++
			continue
		}
		b.unusable[e.Name] = e.Reason
		_ = g.log.Log("msg", "ignoring invalid target entry", "entry", e.Name, "why", e.Reason) // the log writer counts dropped lines
	}
	if suppressed > 0 {
		_ = g.log.Log("msg", "ignoring more invalid target entries", "count", suppressed) // the log writer counts dropped lines
	}
}

func (g *Gateway) logNames(msg string, names []steering.Target) {
	if len(names) == 0 {
		return
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	line := []any{"msg", msg, "count", len(names), "targets", names[:min(len(names), maxLoggedNames)]}
	_ = g.log.Log(line...) // the log writer counts dropped lines
}
