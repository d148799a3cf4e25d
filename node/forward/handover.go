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

// maxSpilloverPlaces is the maximum number of places asked after this zone refused.
const maxSpilloverPlaces = 2

// maySpillOver reports whether the request may go to another zone: only from the entry VM that
// received it from the caller (or from a peer that forwarded it as a caller's request), only if
// nothing of it ran, and only for reasons that may not apply to another place.
func (x *exchange) maySpillOver(refusal *steering.Refusal) bool {
	if x.origin == originSpillover || refusal.Ran != steering.RanNo || !isPlaceSpecific(refusal.Reason) {
		return false
	}
	if x.atMostOnce && x.life.Ran() != steering.RanNo {
		return false
	}
	return x.bodyUntouched() && x.remaining() > 0 && x.r.URL.Path != "*"
}

// spillOver hands the request over to entry VMs of other zones, one after the other. own is this
// zone's refusal. It returns nil once a response was sent to the caller. A refusal after which the
// request may have run, or that concerns the request and not one place, is returned at once;
// otherwise spillOver returns the refusal with the shortest retry delay.
func (x *exchange) spillOver(own *steering.Refusal) *steering.Refusal {
	final := own
	for i, place := range x.f.remote.Candidates(x.service.Name, x.home) {
		if i == maxSpilloverPlaces || !x.bodyUntouched() {
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
		if result.refusal.Ran != steering.RanNo || !isPlaceSpecific(result.refusal.Reason) {
			return result.refusal
		}
		x.f.remote.RecordRefusal(place, x.service.Name, result.refusal)
		final = earlierRetry(final, result.refusal)
	}
	return final
}

// earlierRetry returns the refusal with the shorter retry delay. A refusal without a delay counts
// as the longest.
func earlierRetry(a, b *steering.Refusal) *steering.Refusal {
	if b.RetryAfter > 0 && (a.RetryAfter == 0 || b.RetryAfter < a.RetryAfter) {
		return b
	}
	return a
}

// tryPlace hands the request over to an entry VM of the place's zone. asked is false if there is
// none.
func (x *exchange) tryPlace(place steering.Place) (result tryResult, asked bool) {
	known, ok := x.snapshot.Places[place]
	if !ok || known.Zone == x.f.self.Zone {
		return tryResult{}, false
	}
	member, ok := chooseMember(x.f.members.InZone(known.Zone), place, x.service.Name)
	if !ok {
		return tryResult{}, false
	}
	up := x.peerUpstream(member)
	up.mark = func(h http.Header) {
		x.setPeerHeaders(h)
		h[headerHop] = []string{hopSpillover}
		h[headerPlace] = []string{string(place)}
		h[headerOrigin] = x.f.incarnationValue
	}
	up.onPeerHeader = func(h http.Header) {
		if free := reportedCount(h, headerFree); free >= 0 {
			x.f.remote.Hint(place, x.service.Name, free)
		}
	}
	x.traceHandOver(member.VM, "place "+string(place))
	return x.tryPeer(up, member), true
}

// chooseMember returns the entry VM that owns the pool, according to this entry VM's view of the
// members. Any other entry VM would have to ask the owner for a grant, which costs one more message
// within the deadline of a request that already crossed a link between zones.
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

// forwardToKeyOwner forwards a keyed request to the incarnation that issued the key. No other
// incarnation may run it, because only the issuer knows whether the key ran before.
func (x *exchange) forwardToKeyOwner() *steering.Refusal {
	if x.origin != originCaller {
		return steering.RefuseUnknown(steering.ReasonKeyOwnerGone, "the key was issued by an earlier life of this entry VM")
	}
	member, ok := x.f.members.ByIncarnation(x.keyOwner)
	if !ok || member.State == seam.MemberGone {
		return steering.RefuseUnknown(steering.ReasonKeyOwnerGone, "incarnation "+string(x.keyOwner)+" issued the key and is gone")
	}
	result := x.forwardToPeer(member)
	if result.relayed() {
		return nil
	}
	if result.kind == seam.OutcomeUnreachable {
		// Nothing was sent now, but the key may have run at its owner before.
		refusal := steering.RefuseUnknown(steering.ReasonPeerUnreachable, "the entry VM that issued the key cannot be reached")
		refusal.RetryAfter = peerUnreachableRetry
		return refusal
	}
	x.claimed = result.kind == seam.OutcomeShed // the owner has looked up the key
	return result.refusal
}

// forwardToPeer forwards the request to a peer that treats it as received from its own caller.
func (x *exchange) forwardToPeer(member seam.Member) tryResult {
	up := x.peerUpstream(member)
	up.mark = func(h http.Header) {
		x.setPeerHeaders(h)
		h[headerHop] = []string{hopPeer}
		if x.key != "" {
			h[headerKey] = []string{string(x.key)}
		}
	}
	x.f.counters.handedOver.Inc(1)
	x.traceHandOver(member.VM, "home of the key, or leaving")
	return x.tryPeer(up, member)
}

func (x *exchange) peerUpstream(member seam.Member) *upstream {
	return &upstream{
		transport: x.f.peers, scheme: x.f.peerScheme, address: member.PeerAddress,
		prefix: ForwardPrefix, via: x.f.selfName, peer: true, onSent: func(bool) {},
	}
}

// tryPeer runs one try through a peer and reports to the membership whether the peer was reachable.
func (x *exchange) tryPeer(up *upstream, member seam.Member) tryResult {
	if !x.fire(request.Send) {
		return newTryResult(seam.OutcomeCancelled, noFurtherTry())
	}
	result := x.try(up)
	x.recordTryEnd(result)
	switch result.kind {
	case seam.OutcomeUnreachable:
		x.f.members.RecordReachability(member.VM, false)
		if result.refusal.Reason == steering.ReasonTargetFailed {
			result.refusal = steering.Refuse(steering.ReasonPeerUnreachable, peerUnreachableRetry, result.refusal.Detail)
		}
	case seam.OutcomeBroken:
		x.f.members.RecordReachability(member.VM, false)
	case seam.OutcomeOK, seam.OutcomeFailed, seam.OutcomeShed:
		x.f.members.RecordReachability(member.VM, true)
	}
	return result
}

func (x *exchange) setPeerHeaders(h http.Header) {
	h[headerService] = []string{string(x.service.Name)}
	h[headerHome] = []string{string(x.home)}
	h[headerTimeout] = []string{x.remainingMs()}
	h[headerRequestID] = []string{string(x.id)}
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
}

// forwardWhileLeaving forwards a request that arrives while this entry VM is leaving to a peer in
// its zone. done is true if the request was answered or its refusal is final. A keyed
// non-idempotent request is not forwarded, because no other entry VM may run a
// key of this incarnation.
func (x *exchange) forwardWhileLeaving() (refusal *steering.Refusal, done bool) {
	if x.origin != originCaller || !x.f.leaver.Leaving() || x.r.URL.Path == "*" {
		return nil, false
	}
	if x.atMostOnce && x.key != "" {
		return nil, false
	}
	member, ok := x.f.nextZonePeer()
	if !ok {
		return nil, false
	}
	result := x.forwardToPeer(member)
	if result.relayed() {
		return nil, true
	}
	if result.refusal.Ran == steering.RanNo && x.bodyUntouched() && x.remaining() > 0 {
		return nil, false // serve it here instead
	}
	return result.refusal, true
}

// nextZonePeer returns a live entry VM of this zone, rotating through them from call to call.
func (f *Forwarder) nextZonePeer() (seam.Member, bool) {
	members := f.members.InZone(f.self.Zone)
	roundRobin := int(f.roundRobin.Add(1) & roundRobinMask)
	for i := range members {
		member := members[(roundRobin+i)%len(members)]
		if member.VM != f.self.VM && member.State == seam.MemberLive && member.PeerAddress != "" {
			return member, true
		}
	}
	return seam.Member{}, false
}

const roundRobinMask = 1<<31 - 1

// parseID validates the request ID that a peer sent.
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

// keyPrefix returns the prefix for keys issued now. It changes once a minute.
func (f *Forwarder) keyPrefix(now time.Time) []string {
	return f.keyPrefixes.at(now)
}
