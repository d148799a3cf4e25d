package feed

import (
	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

// minHistory is how many changes of targets are recorded at least.
const minHistory = 1024

// history holds the latest changes of targets, so that an update for a peer that lacks a few of them
// need not look at all targets. The zero value is ready to use.
type history struct {
	changes []change
	// complete is the position after which all changes are held.
	complete storepos.Position
}

// change names a target that changed at a position.
type change struct {
	at   storepos.Position
	name steering.Target
}

// add records a change at a position, which is usually not before that of the last change.
func (h *history) add(at storepos.Position, name steering.Target) {
	if n := len(h.changes); n > 0 && at.Before(h.changes[n-1].at) {
		h.reset(h.changes[n-1].at)
	}
	h.changes = append(h.changes, change{at, name})
}

// reset drops all changes. Those after a position are recorded from now on.
func (h *history) reset(after storepos.Position) {
	h.changes, h.complete = nil, storepos.Later(h.complete, after)
}

// trim drops the older half of the changes if there are more than limit.
func (h *history) trim(limit int) {
	if len(h.changes) <= limit {
		return
	}
	dropped := len(h.changes) / 2
	h.complete = h.changes[dropped-1].at
	h.changes = append([]change(nil), h.changes[dropped:]...)
}

// since returns the targets that changed after a position, each once; known is false if not all
// these changes are held.
func (h *history) since(after storepos.Position) (names []steering.Target, known bool) {
	if after.Before(h.complete) {
		return nil, false
	}
	found := make(map[steering.Target]bool)
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].at.After(after); i-- {
		if name := h.changes[i].name; !found[name] {
			found[name] = true
			names = append(names, name)
		}
	}
	return names, true
}
