package gateway

import (
	"sort"
	"sync"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// namedInLine bounds the names in one line of the log.
const namedInLine = 12

// beliefs is what the log has told of the targets, so that it tells changes.
type beliefs struct {
	mu      sync.Mutex
	known   map[steering.Target]bool // closed or not
	ejected map[steering.Target]bool
}

// logTargets tells which targets came, went, closed and opened again.
func (g *Gateway) logTargets(targets []placement.Target) {
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	now := make(map[steering.Target]bool, len(targets))
	var came, closed, opened, gone []steering.Target
	for _, t := range targets {
		now[t.Name] = t.Closed
		was, known := b.known[t.Name]
		switch {
		case !known:
			came = append(came, t.Name)
		case t.Closed && !was:
			closed = append(closed, t.Name)
		case was && !t.Closed:
			opened = append(opened, t.Name)
		}
	}
	for name := range b.known {
		if _, found := now[name]; !found {
			gone = append(gone, name)
		}
	}
	b.known = now
	for _, change := range []struct {
		msg   string
		names []steering.Target
	}{{"targets came", came}, {"targets get nothing new", closed}, {"targets open again", opened}, {"targets gone", gone}} {
		g.logNames(change.msg, change.names)
	}
}

// logEjected tells which targets are passed over now and which no longer are.
func (g *Gateway) logEjected(ejected []steering.Target) {
	b := &g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	now := make(map[steering.Target]bool, len(ejected))
	var began, ended []steering.Target
	for _, name := range ejected {
		now[name] = true
		if !b.ejected[name] {
			began = append(began, name)
		}
	}
	for name := range b.ejected {
		if !now[name] {
			ended = append(ended, name)
		}
	}
	b.ejected = now
	g.logNames("targets passed over, they fail or do not answer", began)
	g.logNames("targets used again", ended)
}

func (g *Gateway) logNames(msg string, names []steering.Target) {
	if len(names) == 0 {
		return
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	line := []any{"msg", msg, "count", len(names), "targets", names[:min(len(names), namedInLine)]}
	_ = g.log.Log(line...) // the writer counts what it drops
}
