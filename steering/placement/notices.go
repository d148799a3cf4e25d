package placement

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

const (
	// noticeRetention is how long a notice is kept after the last response that it is based on, for
	// a target that is not declared. Its entry may come back, for example after an outage of the
	// store.
	noticeRetention = 10 * time.Minute
	// maxNotices bounds the notices of targets that are not declared.
	maxNotices = 4096
	// returnTime is how long it takes until all keys are back on a target that names no limit any
	// more, or that has rested, but no longer than it has rested. Its caches are cold for most of them.
	returnTime = 2 * time.Second
	// endConfirmation is how long after the end of a limit a request has to be sent so that its response
	// outranks all that other entry VMs may have heard before the end.
	endConfirmation = time.Second
)

// Notice is what a target says of itself in a response.
type Notice struct {
	// Limited is set if the target names a limit, of Limit requests per second from all entry VMs
	// together.
	Limited bool
	Limit   float64
	// AskedAt is when the request was sent. Zero means that the response arrived at once.
	AskedAt time.Time
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// Rest is how long the target wants no request from this entry VM; 0 if it does not say.
	Rest time.Duration
	// Complete is set if a notice that is missing from the response is not in force any more. A
	// response that the target gives before it reads a request may lack it.
	Complete bool
}

// notice is what a target has said of itself in its responses so far. It belongs to one start of
// the target and not to its entry, which may be removed and come back.
type notice struct {
	generation steering.Generation
	heardAt    time.Time
	stated     StatedLimits
	// limitEndedAt is when a limit ended last. endConfirmed is set once a request has been answered without a
	// limit that was sent endConfirmation later.
	limitEndedAt time.Time
	endConfirmed bool
	// leaving is never taken back.
	leaving bool
	// restUntil is until when the target wants no request from this entry VM.
	restUntil time.Time
	// noCreditUntil is until when the target gets no request from this entry VM because the VMs use
	// its limit up.
	noCreditUntil time.Time
	// returnsAt is when keys begin to come back to the target, returnTime how long it takes until all
	// are back.
	returnsAt  time.Time
	returnTime time.Duration
}

// notices holds the notices by target. A target without any has said nothing of itself.
type notices map[steering.Target]*notice

// of returns the notice of a target, or nil.
func (n notices) of(t Target) *notice {
	if len(n) == 0 {
		return nil
	}
	if found := n[t.Name]; found != nil && found.generation == t.Generation {
		return found
	}
	return nil
}

// limitOf returns the limit that a target names, or nil.
func (n notices) limitOf(t Target) *NamedLimit {
	found := n.of(t)
	if found == nil {
		return nil
	}
	limit := found.stated.Current()
	if !limit.InForce {
		return nil
	}
	return &limit
}

// leaving reports whether a target has said that it leaves.
func (n notices) leaving(t Target) bool {
	found := n.of(t)
	return found != nil && found.leaving
}

// closedUntil returns until when a target gets no request with the key from this entry VM, as far
// as its notices say; a time that has passed if it may get one now.
func (n notices) closedUntil(now time.Time, s *targetState, key uint64) time.Time {
	found := n.of(s.Target)
	switch {
	case found == nil:
		return time.Time{}
	case found.restUntil.After(now):
		return found.restUntil
	case found.noCreditUntil.After(now):
		return found.noCreditUntil
	}
	return found.returnOf(rendezvous.Mix(key ^ s.hash))
}

// returnOf returns when a key comes back to the target. The keys come back one after the other, in
// an order that is the same on all entry VMs and independent of the order of targets for a key.
func (n *notice) returnOf(key uint64) time.Time {
	if n.returnsAt.IsZero() {
		return time.Time{}
	}
	return n.returnsAt.Add(time.Duration(rendezvous.Unit(rendezvous.Mix(key)) * float64(n.returnTime)))
}

// NoticeChange says what a response changed in what is known of its target.
type NoticeChange struct {
	// Limit is set if the target names another limit than before, or none any more.
	Limit bool
	// LimitEnded is set while other entry VMs may not take the end of a limit from this one yet, and are to be
	// told again.
	LimitEnded bool
	// Leaving is set if the target says for the first time that it leaves.
	Leaving bool
	// Rest is set if the target asks for rest and was not resting.
	Rest bool
}

// Heard records what a target said of itself in a response.
func (b *Balancer) Heard(now time.Time, t Target, said Notice) NoticeChange {
	known := b.notices.of(t)
	if known == nil {
		if !said.Limited && !said.Leaving && said.Rest <= 0 {
			return NoticeChange{}
		}
		known = b.addNotice(now, t)
	}
	known.heardAt = now
	c := NoticeChange{Leaving: said.Leaving && !known.leaving}
	known.leaving = known.leaving || said.Leaving
	if until := now.Add(said.Rest); said.Rest > 0 && until.After(known.restUntil) {
		c.Rest = !known.restUntil.After(now)
		known.rest(until, said.Rest)
		if s := b.stateOf(t); s != nil {
			s.service.noticed[s] = true
		}
	}
	if s := b.stateOf(t); c.Leaving && s != nil {
		s.close()
	}
	if said.Limited || said.Complete {
		c.Limit = b.setLimit(now, t, known, NamedLimit{InForce: said.Limited, PerSecond: said.Limit, AskedAt: said.AskedAt, HeardAt: now})
	}
	c.LimitEnded = !said.Limited && said.Complete && known.confirmEnd(said.AskedAt)
	return c
}

// confirmEnd reports whether other entry VMs are to be told that the limit has ended, by the response to a
// request that was sent at askedAt.
func (n *notice) confirmEnd(askedAt time.Time) bool {
	if n.limitEndedAt.IsZero() || n.endConfirmed {
		return false
	}
	n.endConfirmed = !askedAt.Before(n.limitEndedAt.Add(endConfirmation))
	return true
}

// rest records that the target wants no request until the given time, after a rest of d.
func (n *notice) rest(until time.Time, d time.Duration) {
	n.restUntil = until
	n.returnsAt, n.returnTime = until, min(d, returnTime)
}

// resting reports whether a target wants no request now.
func (n notices) resting(now time.Time, t Target) bool {
	found := n.of(t)
	return found != nil && found.restUntil.After(now)
}

// ApplyLimit records what a target said to another entry VM of its limit. It reports whether the limit has
// changed.
func (b *Balancer) ApplyLimit(now time.Time, t Target, said NamedLimit) bool {
	known := b.notices.of(t)
	if known == nil {
		known = b.addNotice(now, t)
	}
	return b.setLimit(now, t, known, said)
}

// maxToldLimits bounds what Limits returns, and so the headers of a request that is passed on.
const maxToldLimits = 32

// TargetLimit is the limit that a target names, as one entry VM tells it to another.
type TargetLimit struct {
	Target     steering.Target
	Generation steering.Generation
	Told       ToldLimit
}

// Limits returns limits that targets of a service name, among them that of first if it names one. If there are
// more than maxToldLimits, each call returns others.
func (b *Balancer) Limits(now time.Time, service steering.Service, first steering.Target) []TargetLimit {
	v := b.services[service]
	if v == nil || len(v.noticed) == 0 {
		return nil
	}
	var all []TargetLimit
	add := func(s *targetState) {
		if limit := b.notices.limitOf(s.Target); limit != nil {
			all = append(all, TargetLimit{Target: s.Name, Generation: s.Generation, Told: limit.Tell(now)})
		}
	}
	if s := b.byName[first]; s != nil && v.noticed[s] {
		add(s)
	}
	for s := range v.noticed { // in random order
		if len(all) == maxToldLimits {
			break
		}
		if s.Name != first {
			add(s)
		}
	}
	return all
}

// ApplyToldLimit records a limit that another entry VM told.
func (b *Balancer) ApplyToldLimit(now time.Time, l TargetLimit) {
	b.ApplyLimit(now, Target{Name: l.Target, Generation: l.Generation}, l.Told.Limit(now))
}

// LimitReached records that there is no credit for a target before wait has passed.
func (b *Balancer) LimitReached(now time.Time, t Target, wait time.Duration) {
	if known := b.notices.of(t); known != nil {
		known.noCreditUntil = now.Add(wait)
	}
}

// MaySend reports whether a request that was placed on a target may still be sent, as far as the
// target's notices since then say.
func (b *Balancer) MaySend(now time.Time, p Pick) bool {
	known := b.notices.of(p.Target)
	switch {
	case known == nil:
		return true
	case known.leaving, known.restUntil.After(now):
		return false
	}
	return p.Limit != nil || !known.stated.Current().InForce
}

// addNotice adds an empty notice of a target.
func (b *Balancer) addNotice(now time.Time, t Target) *notice {
	b.forgetNotices(now)
	added := &notice{generation: t.Generation}
	b.notices[t.Name] = added
	return added
}

// setLimit records what a target said of its limit, and reports whether another limit holds than before.
func (b *Balancer) setLimit(now time.Time, t Target, known *notice, said NamedLimit) bool {
	before := known.stated.Current()
	known.stated.Add(said)
	limit := known.stated.Current()
	if compareLimits(before, limit) == 0 {
		return false
	}
	known.limitEndedAt, known.endConfirmed = time.Time{}, false
	if !limit.InForce {
		known.limitEndedAt = now
		known.noCreditUntil, known.returnsAt, known.returnTime = time.Time{}, now, returnTime
	} else {
		known.returnsAt = time.Time{}
	}
	if s := b.stateOf(t); s != nil {
		s.service.noticed[s] = true
	}
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

// maxClosings bounds what Closings returns.
const maxClosings = 32

// Closing is what a target said to an entry VM for which it is to get no requests through that VM.
type Closing struct {
	Target     steering.Target
	Generation steering.Generation
	Leaving    bool
	// Rest is how much longer the target wants no request.
	Rest time.Duration
}

// Closings returns targets of a service that have said that they leave, or that rest now.
func (b *Balancer) Closings(now time.Time, service steering.Service) []Closing {
	var all []Closing
	for name, n := range b.notices {
		s := b.byName[name]
		if s == nil || s.Service != service || s.Generation != n.generation || !n.leaving && !n.restUntil.After(now) || len(all) == maxClosings {
			continue
		}
		all = append(all, Closing{Target: name, Generation: n.generation, Leaving: n.leaving, Rest: max(n.restUntil.Sub(now), 0)})
	}
	return all
}

// Leavings returns all targets that have said to this entry VM, or to one that told it, that they leave.
func (b *Balancer) Leavings() []Closing {
	var all []Closing
	for name, n := range b.notices {
		if n.leaving {
			all = append(all, Closing{Target: name, Generation: n.generation, Leaving: true})
		}
	}
	return all
}

// ApplyClosing records what a target said to another entry VM, through which or for which this one sends
// requests.
func (b *Balancer) ApplyClosing(now time.Time, c Closing) {
	b.Heard(now, Target{Name: c.Target, Generation: c.Generation}, Notice{Leaving: c.Leaving, Rest: c.Rest})
}

// LimitedCount returns the number of targets that name a limit.
func (b *Balancer) LimitedCount() int {
	limited := 0
	for _, v := range b.services {
		for s := range v.noticed {
			if b.notices.limitOf(s.Target) != nil {
				limited++
			}
		}
	}
	return limited
}
