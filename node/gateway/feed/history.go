package feed

import "heatherlock/steering"

// minHistory is how many changes of targets are recorded at least.
const minHistory = 1024

// history holds the latest changes of targets, so that an update for a peer that lacks a few of them
// need not look at all targets. The zero value is ready to use.
type history struct {
	changes []change
	// complete is the revision after which all changes are held.
	complete int64
}

// change names a target that changed at a revision.
type change struct {
	revision int64
	name     steering.Target
}

// add records a change at a revision, which is usually not below that of the change before.
func (h *history) add(revision int64, name steering.Target) {
	if n := len(h.changes); n > 0 && revision < h.changes[n-1].revision {
		h.reset(h.changes[n-1].revision)
	}
	h.changes = append(h.changes, change{revision, name})
}

// reset drops all changes. Those after revision are recorded from now on.
func (h *history) reset(revision int64) {
	h.changes, h.complete = nil, max(h.complete, revision)
}

// trim drops the older half of the changes if there are more than limit.
func (h *history) trim(limit int) {
	if len(h.changes) <= limit {
		return
	}
	dropped := len(h.changes) / 2
	h.complete = h.changes[dropped-1].revision
	h.changes = append([]change(nil), h.changes[dropped:]...)
}

// since returns the targets that changed after a revision, each once; known is false if not all
// these changes are held.
func (h *history) since(revision int64) (names []steering.Target, known bool) {
	if revision < h.complete {
		return nil, false
	}
	found := make(map[steering.Target]bool)
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].revision > revision; i-- {
		if name := h.changes[i].name; !found[name] {
			found[name] = true
			names = append(names, name)
		}
	}
	return names, true
}
