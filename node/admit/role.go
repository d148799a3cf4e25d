package admit

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
)

// setRole changes this entry VM's role in the pool and begins a new term. The
// caller holds mu.
func (p *poolState) setRole(r role) {
	p.role = r
	p.term++
	clear(p.releasedEarly)
	close(p.changed)
	p.changed = make(chan struct{})
}

// startTakeover stops granting until startGranting is called with the returned
// term. Waiting slot requests end with resultNotOwner, so that they are retried.
// Grants of this entry VM are kept in previousGrants, for holders that can't
// report them.
func (p *poolState) startTakeover() (term int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.previousGrants == nil {
		p.previousGrants = map[string]*issued{}
	}
	maps.Copy(p.previousGrants, p.issued)
	p.dropGrants()
	p.setRole(roleTakingOver)
	return p.term
}

// relinquish ends this entry VM's ownership of the pool.
func (p *poolState) relinquish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role == roleNotOwner {
		return
	}
	p.dropGrants()
	p.previousGrants = nil
	p.setRole(roleNotOwner)
}

// dropGrants removes all grants and ends waiting slot requests with
// resultNotOwner, so that they are retried. The caller holds mu.
func (p *poolState) dropGrants() {
	for ticket := range p.waiting {
		p.pool.Cancel(ticket)
		p.reply(ticket, result{kind: resultNotOwner})
	}
	for grant, known := range p.issued {
		delete(p.issued, grant)
		p.pool.Release(time.Now(), known.id, unusedPoolOutcome())
	}
}

// holding is a slot in use, as reported by the member that holds it.
type holding struct {
	grant       string
	slotRequest string
	target      steering.Target
	holder      holder
}

// startGranting ends a takeover. It adopts the slots in use, which are those
// that other members reported and those that own returns for this entry VM, and
// starts granting. It returns false and does nothing if the role has changed since
// the term began.
//
// A grant may end between its holder's report and this call. If it were adopted,
// its slot would stay in use forever. The ends are therefore recorded during the
// takeover, and this VM's own holdings are read under the lock, so that none can
// end unnoticed.
func (p *poolState) startGranting(term int, reported survey, own func() ownHoldings, loads map[steering.Target]Load) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term || p.role != roleTakingOver {
		return false
	}
	now := time.Now()
	mine := own()
	reported.pending[p.self] = mine.pending
	for _, in := range append(reported.held, mine.held...) {
		if !p.releasedEarly[in.grant] {
			p.adopt(now, in)
		}
	}
	p.adoptUnreported(now, reported)
	for target, load := range loads {
		p.applyLoad(now, target, load)
	}
	p.surveyed = reported.surveyed
	p.setRole(roleOwner)
	return true
}

// adoptUnreported adopts the grants that this entry VM itself made before a
// repeated takeover and that their holders can't report: the holder did not
// respond, or the reply with the grant has not reached it yet. Otherwise their
// slots would be granted twice. The caller holds mu.
func (p *poolState) adoptUnreported(now time.Time, reported survey) {
	for grant, known := range p.previousGrants {
		pending, answered := reported.pending[known.holder.vm]
		if p.releasedEarly[grant] || answered && !slices.Contains(pending, known.slotRequest) {
			continue
		}
		p.adopt(now, holding{grant: grant, slotRequest: known.slotRequest, target: known.target, holder: known.holder})
	}
	p.previousGrants = nil
}

// adopt records a slot in use that was granted by an earlier owner or in an
// earlier term. The caller holds mu.
func (p *poolState) adopt(now time.Time, in holding) {
	if _, known := p.issued[in.grant]; known {
		return
	}
	id, ok := p.pool.RestoreGrant(now, in.target)
	if !ok {
		return
	}
	p.issued[in.grant] = &issued{
		id: id, slotRequest: in.slotRequest, holder: in.holder, target: in.target,
		checkAt: now.Add(p.checkAfter), checkAfter: p.checkAfter,
	}
}

// state returns the role and the current term.
func (p *poolState) state() (role, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role, p.term
}
