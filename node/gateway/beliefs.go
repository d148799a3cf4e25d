package gateway

import (
	"sort"
	"sync"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// namedInLine bounds the names in one line of the log.
const namedInLine = 12

// beliefs is what the log has told of the targets, so that it tells changes.
type beliefs struct {
	mu       sync.Mutex
	known    map[steering.Target]belief
	ejected  map[steering.Target]bool
	replaced map[steering.Target]bool
	// unusable holds, by target, why its entry names none; at most mostUnusable.
	unusable map[steering.Target]string
}

// belief is what was told of a target.
type belief struct {
	closed     bool
	generation steering.Generation
}

// logTargets tells which targets came, went, closed and opened again.
func (g *Gateway) logTargets(targets []placement.Target) {
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	now := make(map[steering.Target]belief, len(targets))
	var came, closed, opened, restarted, gone []steering.Target
	for _, t := range targets {
		now[t.Name] = belief{closed: t.Closed, generation: t.Generation}
		was, known := b.known[t.Name]
		if known && was.generation != t.Generation {
			restarted = append(restarted, t.Name)
		}
		switch {
		case !known:
			came = append(came, t.Name)
		case t.Closed && !was.closed:
			closed = append(closed, t.Name)
		case was.closed && !t.Closed:
			opened = append(opened, t.Name)
		}
	}
	for name := range b.known {
		if _, found := now[name]; !found {
			gone = append(gone, name)
		}
	}
	b.known = now
	b.forgetUsable(now)
	for _, change := range []struct {
		msg   string
		names []steering.Target
	}{{"targets came", came}, {"targets get nothing new", closed}, {"targets open again", opened}, {"targets started again", restarted}, {"targets gone", gone}} {
		g.logNames(change.msg, change.names)
	}
}

// logEjected tells which targets are passed over now and which no longer are.
func (g *Gateway) logEjected(ejected []steering.Target) {
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	var began, ended []steering.Target
	b.ejected, began, ended = compare(b.ejected, ejected)
	g.logNames("targets passed over, they fail or do not answer", began)
	g.logNames("targets used again", ended)
}

// logReplaced tells which targets get nothing more since another one answers at their
// address, as this VM or another has found.
func (g *Gateway) logReplaced(replaced []steering.Target) {
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	var began []steering.Target
	b.replaced, began, _ = compare(b.replaced, replaced)
	g.logNames("targets replaced, others have their addresses", began)
}

// compare returns a new set of targets, and what came and went since an old one.
func compare(old map[steering.Target]bool, all []steering.Target) (now map[steering.Target]bool, came, went []steering.Target) {
	now = make(map[steering.Target]bool, len(all))
	for _, name := range all {
		now[name] = true
		if !old[name] {
			came = append(came, name)
		}
	}
	for name := range old {
		if !now[name] {
			went = append(went, name)
		}
	}
	return now, came, went
}

// mostUnusable bounds the entries remembered as told, so that a flood of spoiled ones
// neither fills the log nor the memory.
const mostUnusable = 64

// Unusable implements feed.Sink: it counts the entries that name no target, and tells
// each once with the reason.
func (g *Gateway) Unusable(entries []platform.BadEntry) {
	g.metrics.Scope.Counter("gateway_entries_unusable").Inc(int64(len(entries)))
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unusable == nil {
		b.unusable = make(map[steering.Target]string)
	}
	untold := 0
	for _, e := range entries {
		if b.unusable[e.Name] == e.Reason {
			continue
		}
		if _, told := b.unusable[e.Name]; !told && len(b.unusable) >= mostUnusable {
			untold++
			continue
		}
		b.unusable[e.Name] = e.Reason
		_ = g.log.Log("msg", "entry names no target, it is left out", "entry", e.Name, "why", e.Reason) // the writer counts what it drops
	}
	if untold > 0 {
		_ = g.log.Log("msg", "more entries name no target", "count", untold) // as above
	}
}

// forgetUsable forgets the entries that name a target again, so that the next fault is told.
func (b *beliefs) forgetUsable(known map[steering.Target]belief) {
	for name := range b.unusable {
		if _, usable := known[name]; usable {
			delete(b.unusable, name)
		}
	}
}

func (g *Gateway) logNames(msg string, names []steering.Target) {
	if len(names) == 0 {
		return
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	line := []any{"msg", msg, "count", len(names), "targets", names[:min(len(names), namedInLine)]}
	_ = g.log.Log(line...) // the writer counts what it drops
}
