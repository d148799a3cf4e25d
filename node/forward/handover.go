package forward

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/ownership"
	"heatherlock/steering/request"
)

// maxSpills bounds the places asked after the own zone refused.
const maxSpills = 2

// maySpill reports whether the request may go to another zone: only from the
// entry VM that got it from the caller, only when nothing of it ran, and only
// for reasons that another place may not share.
func (x *exchange) maySpill(refusal *steering.Refusal) bool {
	if x.origin == fromZone || refusal.Ran != steering.RanNo || !passesElsewhere(refusal.Reason) {
		return false
	}
	if x.atMostOnce && x.life.Ran() != steering.RanNo {
		return false
	}
	return x.bodyUntouched() && x.remaining() > 0 && x.r.URL.Path != "*"
}

// spill asks entry VMs of other zones. own is this zone's refusal, which is
// the answer when nobody takes the request.
func (x *exchange) spill(own *steering.Refusal) *steering.Refusal {
	final := own
	for i, place := range x.f.remote.Candidates(x.service.Name, x.home) {
		if i == maxSpills || !x.bodyUntouched() {
			break
		}
		result, asked := x.tryPlace(place)
		if !asked {
			continue
		}
		if result.relayed() {
			x.f.counters.spilled.Inc(1)
			return nil
		}
		if result.refusal.Ran != steering.RanNo || !passesElsewhere(result.refusal.Reason) {
			return result.refusal
		}
		x.f.remote.Refused(place, x.service.Name, result.refusal)
		final = sooner(final, result.refusal)
	}
	return final
}

// sooner returns the refusal of the two with the nearer time to come back.
func sooner(a, b *steering.Refusal) *steering.Refusal {
	if b.RetryAfter > 0 && (a.RetryAfter == 0 || b.RetryAfter < a.RetryAfter) {
		return b
	}
	return a
}

// tryPlace hands the request over to an entry VM of the place's zone; asked is
// false when there is none.
func (x *exchange) tryPlace(place steering.Place) (result ending, asked bool) {
	known, ok := x.snapshot.Places[place]
	if !ok || known.Zone == x.f.self.Zone {
		return ending{}, false
	}
	member, ok := chooseMember(x.f.members.InZone(known.Zone), place, x.service.Name)
	if !ok {
		return ending{}, false
	}
	l := x.peerLeg(member)
	l.mark = func(h http.Header) {
		x.markPeer(h)
		h[headerHop] = []string{hopZone}
		h[headerPlace] = []string{string(place)}
		h[headerOrigin] = x.f.incarnationValue
	}
	l.hint = func(h http.Header) {
		if free := reported(h, headerFree); free >= 0 {
			x.f.remote.Hint(place, x.service.Name, free)
		}
	}
	x.traceHandOver(member.VM, "place "+string(place))
	return x.tryPeer(l, member), true
}

// chooseMember returns the entry VM of a zone that owns the pool, as far as
// this entry VM's view tells. Any other one would have to ask the owner for a
// grant, one message more within the deadline of a request that already
// crossed a link between zones.
func chooseMember(members []seam.Member, place steering.Place, service steering.Service) (seam.Member, bool) {
	usable := make([]steering.VM, 0, len(members))
	for _, member := range members {
		if member.State == seam.MemberLive && member.PeerAddress != "" {
			usable = append(usable, member.VM)
		}
	}
	owner := ownership.First(place, service, usable, 1)
	if len(owner) == 0 {
		return seam.Member{}, false
	}
	i := slices.IndexFunc(members, func(m seam.Member) bool { return m.VM == owner[0] })
	return members[i], true
}

// passHome hands a keyed request to the incarnation that issued the key. No
// other one may run it: it alone knows whether the key ran before.
func (x *exchange) passHome() *steering.Refusal {
	if x.origin != fromCaller {
		return steering.Unknown(steering.ReasonHomeGone, "the key was issued by an earlier life of this entry VM")
	}
	member, ok := x.f.members.ByIncarnation(x.keyHome)
	if !ok || member.State == seam.MemberGone {
		return steering.Unknown(steering.ReasonHomeGone, "incarnation "+string(x.keyHome)+" issued the key and is gone")
	}
	result := x.passTo(member)
	if result.relayed() {
		return nil
	}
	if result.kind == seam.OutcomeUnreachable {
		// Nothing was sent now, but the key may have run there before.
		refusal := steering.Unknown(steering.ReasonPeerDown, "the entry VM that issued the key cannot be reached")
		refusal.RetryAfter = peerDownRetry
		return refusal
	}
	x.claimed = result.kind == seam.OutcomeShed // home has looked the key up
	return result.refusal
}

// passTo hands the request to a peer that treats it as a caller's own.
func (x *exchange) passTo(member seam.Member) ending {
	l := x.peerLeg(member)
	l.mark = func(h http.Header) {
		x.markPeer(h)
		h[headerHop] = []string{hopHome}
		if x.key != "" {
			h[headerKey] = []string{string(x.key)}
		}
	}
	x.f.counters.handed.Inc(1)
	x.traceHandOver(member.VM, "home of the key, or leaving")
	return x.tryPeer(l, member)
}

func (x *exchange) peerLeg(member seam.Member) *leg {
	return &leg{
		transport: x.f.peers, scheme: x.f.peerScheme, address: member.PeerAddress,
		prefix: ForwardPrefix, via: x.f.selfName, peer: true, begun: func(bool) {},
	}
}

// tryPeer runs one try through a peer and keeps what it showed at first hand.
func (x *exchange) tryPeer(l *leg, member seam.Member) ending {
	if !x.fire(request.Send) {
		return ended(seam.OutcomeCancelled, mayNotSend())
	}
	result := x.try(l)
	x.endTry(result)
	switch result.kind {
	case seam.OutcomeUnreachable:
		x.f.members.Evidence(member.VM, false)
		if result.refusal.Reason == steering.ReasonTargetFailed {
			result.refusal = steering.Refuse(steering.ReasonPeerDown, peerDownRetry, result.refusal.Detail)
		}
	case seam.OutcomeBroken:
		x.f.members.Evidence(member.VM, false)
	case seam.OutcomeOK, seam.OutcomeFailed, seam.OutcomeShed:
		x.f.members.Evidence(member.VM, true)
	}
	return result
}

func (x *exchange) markPeer(h http.Header) {
	h[headerService] = []string{string(x.service.Name)}
	h[headerHome] = []string{string(x.home)}
	h[headerTimeout] = []string{x.remainingMs()}
	h[headerRequestID] = []string{string(x.id)}
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
}

// handLate passes a late arrival at a leaving entry VM to a peer of its zone.
// It returns done when the request has its answer. A request under a key of
// this incarnation stays: nobody else may run it.
func (x *exchange) handLate() (refusal *steering.Refusal, done bool) {
	if x.origin != fromCaller || !x.f.leaver.Leaving() || x.r.URL.Path == "*" {
		return nil, false
	}
	if x.atMostOnce && x.key != "" {
		return nil, false
	}
	member, ok := x.f.peerInZone()
	if !ok {
		return nil, false
	}
	result := x.passTo(member)
	if result.relayed() {
		return nil, true
	}
	if result.refusal.Ran == steering.RanNo && x.bodyUntouched() && x.remaining() > 0 {
		return nil, false // serve it here after all
	}
	return result.refusal, true
}

// peerInZone returns a live entry VM of this zone, a different one each time.
func (f *Forwarder) peerInZone() (seam.Member, bool) {
	members := f.members.InZone(f.self.Zone)
	turn := int(f.turn.Add(1) & maxTurn)
	for i := range members {
		member := members[(turn+i)%len(members)]
		if member.VM != f.self.VM && member.State == seam.MemberLive && member.PeerAddress != "" {
			return member, true
		}
	}
	return seam.Member{}, false
}

const maxTurn = 1<<31 - 1

// parseID accepts the request id of a peer.
func parseID(text string) (steering.RequestID, bool) {
	const maxID = 128
	if text == "" || len(text) > maxID {
		return "", false
	}
	return steering.RequestID(text), true
}

func (f *Forwarder) newID() steering.RequestID {
	return steering.RequestID(f.selfID + strconv.FormatUint(f.serial.Add(1), 36))
}

// keyPrefix returns the prefix for keys issued now, made once a minute.
func (f *Forwarder) keyPrefix(now time.Time) []string {
	return f.prefixes.at(now)
}
