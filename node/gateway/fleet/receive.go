package fleet

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// membersPerDatagram is how many members one datagram introduces.
const membersPerDatagram = 8

func (f *Fleet) receiveLoop(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, sender, err := f.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if f.Receive(buffer[:n], sender) {
			f.cfg.OnMembersChange()
		}
	}
}

// Receive handles a datagram, which holds one heartbeat or several. It returns whether a VM became
// live that was not.
func (f *Fleet) Receive(raw []byte, sender net.Addr) (changed bool) {
	for single := true; len(raw) > 0; single = false {
		b, id, rest, err := decodeNext(raw)
		if err != nil {
			_ = f.cfg.Log.Log("msg", "heartbeat not understood", "err", err) // the log writer counts the lines that it drops
			return changed
		}
		raw = rest
		switch {
		case b.From.Name != "" || f.fillSender(&b, id):
			changed = f.noteBeat(b) || changed
		case single && len(rest) == 0:
			f.requestSender(sender.String())
		}
	}
	return changed
}

// fillSender sets From in a heartbeat that was sent without addresses. It reports whether the
// sender is known.
func (f *Fleet) fillSender(b *Beat, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.roster.ByID(id)
	b.From = m
	return found
}

// requestSender asks an unknown sender for a heartbeat with its addresses.
func (f *Fleet) requestSender(address string) {
	f.mu.Lock()
	b := f.nextBeat()
	f.mu.Unlock()
	f.fillBeat(&b)
	b.WantsReply = true
	f.send(b, address)
}

// noteBeat handles a heartbeat: it updates the roster and replies if the sender requested that, has
// restarted or come back, or is to be queried for its members. It returns whether the sender was not
// live before.
func (f *Fleet) noteBeat(b Beat) (fresh bool) {
	now := f.cfg.Clock()
	f.mu.Lock()
	b.StoreDigest.AgeMs += f.roster.heldUp(now).Milliseconds()
	contacted := f.roster.Contacted(b.From.Name)
	fresh = f.roster.HandleBeat(now, b)
	for _, m := range b.Members {
		if f.roster.Add(now, m) {
			f.queryBackoff.reset()
		}
	}
	reply := f.nextBeat()
	known := f.membersFor(now, b)
	same := b.Crowd == f.liveSetHash
	f.roster.noteLiveSet(now, b.From.Name, same)
	unknown, knows := f.roster.takeUnknown(now, b.From.Zone)
	query := f.queryBackoff.noteBeat(now, same)
	// A VM of a zone with standbys lists its members once it knows that this VM's set differs, which
	// any heartbeat tells it.
	reply.WantsMembers = query && !f.roster.hasStandbys(b.From.Zone)
	relayed := f.roster.standby && b.From.Zone != f.cfg.Self.Zone
	f.mu.Unlock()
	f.cfg.HandleBeat(b)
	switch {
	case b.WantsMembers:
		f.fillBeat(&reply)
		f.introduce(reply, known, b.From.Peer)
	case len(unknown) > 0:
		f.fillBeat(&reply)
		reply.WantsMembers, reply.Mates = true, unknown
		f.send(reply, knows)
	case relayed && !b.WantsReply:
	case b.WantsReply || fresh && contacted || query:
		f.fillBeat(&reply)
		f.send(reply, b.From.Peer)
	}
	return fresh
}

// maxIntroductions is how many VMs a VM introduces to others from one tick to the next. Those that
// get no answer ask again.
const maxIntroductions = 2000

// membersFor returns the members to introduce to a VM that asks for some, or for all. Of other zones
// with standbys it gets only the delegates, which introduce the rest. f.mu must be held.
func (f *Fleet) membersFor(now time.Time, b Beat) []Member {
	if !b.WantsMembers {
		return nil
	}
	var known []Member
	if len(b.Mates) > 0 {
		known = f.roster.membersByShortID(b.Mates)
	} else {
		known = f.roster.liveForNewcomer(now, f.leaving)
	}
	if len(known) > f.introductions {
		return nil
	}
	f.introductions -= len(known)
	return known
}

// introduce sends a VM the live members, a few in each datagram.
func (f *Fleet) introduce(b Beat, known []Member, to string) {
	for from := 0; from < len(known); from += membersPerDatagram {
		b.Members = known[from:min(from+membersPerDatagram, len(known))]
		f.send(b, to)
		f.mu.Lock()
		b.Number = f.nextBeat().Number
		f.mu.Unlock()
	}
}
