package capshare

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/caps"
)

const (
	// lendersPerRound bounds the holders asked for one shortage.
	lendersPerRound = 3
	// maxBorrowTimeout bounds one request for a loan; it is less than the term
	// in any case.
	maxBorrowTimeout = 500 * time.Millisecond
	// maxEmptyFor bounds how long a holder that had nothing is left alone.
	maxEmptyFor = time.Second
)

// Borrow answers a peer's request for a loan.
func (k *Caps) Borrow(_ context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	reply := &peerpb.BorrowReply{Nonce: in.Nonce}
	sh := k.share(in.Cap)
	if sh == nil || in.FromIncarnation == "" {
		return reply, nil
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	reply.InUse = uint32(sh.holder.InUse(now))
	if in.Permits == 0 || !k.config.ConfirmedSincePause() {
		return reply, nil
	}
	key := caps.LoanKey{From: steering.Incarnation(in.FromIncarnation), Nonce: in.Nonce}
	n := sh.holder.Lend(now, key, in.CapVersion, int(in.Permits))
	k.metrics.lent.Inc(int64(n))
	reply.Permits = uint32(n)
	reply.TermMs = sh.holder.Terms().Term.Milliseconds()
	return reply, nil
}

// borrowLoop asks other holders for loans while permits are short, one request
// at a time, so that its rate is bounded by the round trip and, once all had
// nothing to lend, by emptyFor.
func (k *Caps) borrowLoop(ctx context.Context, sh *share) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sh.hungry:
		}
		k.borrow(ctx, sh)
	}
}

func (k *Caps) borrow(ctx context.Context, sh *share) {
	for range lendersPerRound {
		lender, ask, ok := k.prepare(sh)
		if !ok {
			return
		}
		if k.borrowFrom(ctx, sh, lender, ask) || ctx.Err() != nil {
			return
		}
	}
}

// prepare chooses a lender and starts a request, unless nothing is short.
func (k *Caps) prepare(sh *share) (lender seam.Member, ask caps.LoanRequest, ok bool) {
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	want := sh.holder.Shortfall(now)
	if sh.holder.Free(now) == 0 {
		want = max(want, 1)
	}
	if want <= 0 {
		return seam.Member{}, caps.LoanRequest{}, false
	}
	lenders := k.lenders(sh, now)
	if len(lenders) == 0 {
		return seam.Member{}, caps.LoanRequest{}, false
	}
	return lenders[0], sh.holder.RequestLoan(now, want), true
}

// lenders lists the holders to ask, those of the own zone first, each time from
// another one on; sh.mu is held.
func (k *Caps) lenders(sh *share, now time.Time) []seam.Member {
	if sh.seats == nil {
		return nil
	}
	var found []seam.Member
	for _, seat := range sh.seats.Seats {
		if seat.VM == sh.self.VM || seat.Permits == 0 || now.Before(sh.empty[seat.VM]) {
			continue
		}
		m, known := k.config.Members.ByIncarnation(seat.Incarnation)
		if known && m.PeerAddress != "" && m.State != seam.MemberGone {
			found = append(found, m)
		}
	}
	if len(found) == 0 {
		return nil
	}
	sh.turn++
	first := sh.turn % len(found)
	found = slices.Concat(found[first:], found[:first])
	slices.SortStableFunc(found, func(a, b seam.Member) int { return cmp.Compare(sh.far(a), sh.far(b)) })
	return found
}

// far orders members by distance.
func (s *share) far(m seam.Member) int {
	switch {
	case m.Zone == s.self.Zone:
		return 0
	case m.Region == s.self.Region:
		return 1
	}
	return 2
}

// borrowFrom asks one holder, a second time with the same nonce when the first
// answer is lost, and reports whether permits came.
func (k *Caps) borrowFrom(ctx context.Context, sh *share, lender seam.Member, ask caps.LoanRequest) bool {
	request := &peerpb.BorrowRequest{
		FromVm: string(sh.self.VM), FromIncarnation: string(sh.self.Incarnation),
		Cap: sh.name, CapVersion: ask.Version, Permits: uint32(ask.Permits), Nonce: ask.Nonce,
	}
	reply, err := k.callBorrow(ctx, sh, lender, request)
	if err != nil && ctx.Err() == nil {
		k.metrics.borrowRepeated.Inc(1)
		reply, err = k.callBorrow(ctx, sh, lender, request)
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err != nil {
		level.Debug(k.config.Log).Log("part", "capshare", "msg", "loan", "cap", sh.name, "lender", lender.VM, "err", err)
		k.metrics.borrowFailed.Inc(1)
		sh.leaveAlone(now, lender.VM)
		return false
	}
	gained := sh.holder.ApplyLoan(now, reply.Nonce, int(reply.Permits), time.Duration(reply.TermMs)*time.Millisecond)
	k.metrics.borrowed.Inc(int64(gained))
	if gained == 0 {
		sh.leaveAlone(now, lender.VM)
		return false
	}
	sh.release()
	return true
}

// leaveAlone keeps requests away from a holder that had nothing.
func (s *share) leaveAlone(now time.Time, vm steering.VM) {
	s.empty[vm] = now.Add(min(s.holder.Terms().Window/2, maxEmptyFor))
}

func (k *Caps) callBorrow(ctx context.Context, sh *share, lender seam.Member, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	sh.mu.Lock()
	timeout := min(sh.holder.Terms().Term/4, maxBorrowTimeout)
	sh.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	reply, err := k.config.Peer(lender.PeerAddress).Borrow(ctx, in)
	if err == nil {
		k.config.Members.RecordReachability(lender.VM, true)
	}
	return reply, err
}
