package admit

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
)

// setRole changes this entry VM's part in the pool. The caller holds mu.
func (h *hosted) setRole(r role) {
	h.role = r
	h.term++
	clear(h.early)
	close(h.changed)
	h.changed = make(chan struct{})
}

// startTaking stops granting until open is called with the term returned.
// Waiting asks are sent elsewhere; what was granted is remembered for those
// whose holders cannot tell.
func (h *hosted) startTaking() (term int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.before == nil {
		h.before = map[string]*issued{}
	}
	maps.Copy(h.before, h.issued)
	h.letGo()
	h.setRole(roleTaking)
	return h.term
}

// leave stops counting the pool.
func (h *hosted) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role == roleOther {
		return
	}
	h.letGo()
	h.before = nil
	h.setRole(roleOther)
}

// letGo forgets grants and sends waiting asks elsewhere. The caller holds mu.
func (h *hosted) letGo() {
	for ticket := range h.waiting {
		h.pool.Cancel(ticket)
		h.reply(ticket, answer{kind: answerMoved})
	}
	for grant, known := range h.issued {
		delete(h.issued, grant)
		h.pool.Release(time.Now(), known.id, unsent())
	}
}

// holding is a slot in use that a member told about.
type holding struct {
	grant  string
	ask    string
	target steering.Target
	holder holder
}

// open starts counting with what is in use: what other members told, and what
// own returns of this entry VM's own holdings. It does nothing when the role
// changed since the term began.
//
// A grant may end between the moment its holder told of it and this call. It
// would then stay counted for ever. Such ends are remembered, and own holdings
// are read here, where none can end unseen.
func (h *hosted) open(term int, told survey, own func() ownHoldings, loads map[steering.Target]Load) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term || h.role != roleTaking {
		return false
	}
	now := time.Now()
	mine := own()
	told.asking[h.self] = mine.asking
	for _, in := range append(told.held, mine.held...) {
		if !h.early[in.grant] {
			h.adopt(now, in)
		}
	}
	h.adoptUntold(now, told)
	for target, load := range loads {
		h.reported(now, target, load)
	}
	h.asked = told.asked
	h.setRole(roleOwner)
	return true
}

// adoptUntold counts what this entry VM itself granted before it took the pool
// afresh, to holders that did not answer, or whose reply is still on its way to
// them. They cannot tell of it, and its slots would be given out twice. The
// caller holds mu.
func (h *hosted) adoptUntold(now time.Time, told survey) {
	for grant, known := range h.before {
		asking, answered := told.asking[known.holder.vm]
		if h.early[grant] || answered && !slices.Contains(asking, known.ask) {
			continue
		}
		h.adopt(now, holding{grant: grant, ask: known.ask, target: known.target, holder: known.holder})
	}
	h.before = nil
}

// adopt counts a slot that an earlier owner granted. The caller holds mu.
func (h *hosted) adopt(now time.Time, in holding) {
	if _, known := h.issued[in.grant]; known {
		return
	}
	id, ok := h.pool.Hold(now, in.target)
	if !ok {
		return
	}
	h.issued[in.grant] = &issued{
		id: id, ask: in.ask, holder: in.holder, target: in.target,
		checkAt: now.Add(h.checkAfter), checkAfter: h.checkAfter,
	}
}

// state returns the role and its term.
func (h *hosted) state() (role, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.role, h.term
}
