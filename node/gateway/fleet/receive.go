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
		b, id, err := decode(buffer[:n])
		if err != nil {
			_ = f.cfg.Log.Log("msg", "heartbeat not understood", "err", err) // the log writer counts the lines that it drops
			continue
		}
		if b.From.Name == "" && !f.fillSender(&b, id) {
			f.requestSender(sender.String())
			continue
		}
		f.noteBeat(b)
	}
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
// restarted or come back, or is to be queried for its members.
func (f *Fleet) noteBeat(b Beat) {
	now := time.Now()
	f.mu.Lock()
	contacted := f.roster.Contacted(b.From.Name)
	fresh := f.roster.HandleBeat(now, b)
	for _, m := range b.Members {
		if f.roster.Add(now, m) {
			f.queryBackoff.reset()
		}
	}
	var known []Member
	reply := f.nextBeat()
	if b.WantsMembers {
		known = f.roster.Live(now, f.leaving)
	}
	reply.WantsMembers = f.queryBackoff.noteBeat(now, b.Crowd == f.liveSetHash)
	f.mu.Unlock()
	f.cfg.HandleBeat(b)
	switch {
	case b.WantsMembers:
		f.fillBeat(&reply)
		f.introduce(reply, known, b.From.Peer)
	case b.WantsReply || fresh && contacted || reply.WantsMembers:
		f.fillBeat(&reply)
		f.send(reply, b.From.Peer)
	}
	if fresh {
		f.cfg.OnMembersChange()
	}
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
