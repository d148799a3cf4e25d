package fleet

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// introduced is how many members one datagram introduces.
const introduced = 8

func (f *Fleet) read(ctx context.Context) {
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
			_ = f.cfg.Log.Log("msg", "heartbeat not understood", "err", err) // as above
			continue
		}
		if b.From.Name == "" && !f.complete(&b, id) {
			f.askBack(sender.String())
			continue
		}
		f.heard(b)
	}
}

// complete fills in the sender of a short beat, if it is known.
func (f *Fleet) complete(b *Beat, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.roster.Named(id)
	b.From = m
	return found
}

// askBack asks a sender that is not known here to introduce itself.
func (f *Fleet) askBack(address string) {
	f.mu.Lock()
	b := f.next()
	f.mu.Unlock()
	f.own(&b)
	b.Meets = true
	f.send(b, address)
}

func (f *Fleet) heard(b Beat) {
	now := time.Now()
	f.mu.Lock()
	met := f.roster.Met(b.From.Name)
	fresh := f.roster.Heard(now, b)
	for _, m := range b.Members {
		if f.roster.Add(now, m) {
			f.inquiry.learned()
		}
	}
	var known []Member
	reply := f.next()
	if b.Asks {
		known = f.roster.Live(now, f.leaving)
	}
	reply.Asks = f.inquiry.heard(now, b.Crowd == f.crowd)
	f.mu.Unlock()
	f.cfg.Heard(b)
	switch {
	case b.Asks:
		f.own(&reply)
		f.introduce(reply, known, b.From.Peer)
	case b.Meets || fresh && met || reply.Asks:
		f.own(&reply)
		f.send(reply, b.From.Peer)
	}
	if fresh {
		f.cfg.Changed()
	}
}

// introduce tells a VM of the others that live, a few a datagram.
func (f *Fleet) introduce(b Beat, known []Member, to string) {
	for from := 0; from < len(known); from += introduced {
		b.Members = known[from:min(from+introduced, len(known))]
		f.send(b, to)
		f.mu.Lock()
		b.Number = f.next().Number
		f.mu.Unlock()
	}
}
