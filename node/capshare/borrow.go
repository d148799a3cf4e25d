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
	// lendersPerRound bounds the number of holders asked for one shortage.
	lendersPerRound = 3
	// maxBorrowTimeout bounds one loan request. The timeout is always shorter than the term of
	// the loan.
	maxBorrowTimeout = 500 * time.Millisecond
	// maxLenderBackoff bounds the time during which a holder that lent nothing is not asked
	// again.
	maxLenderBackoff = time.Second
)

// Borrow answers a peer's loan request. A request for no permits only returns the number of
// permits in use.
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

// borrowLoop asks other holders for loans while permits are short. It sends one request at a
// time, so the request rate is bounded by the round trip and, once all holders had nothing to
// lend, by the lender backoff.
func (k *Caps) borrowLoop(ctx context.Context, sh *share) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sh.loanWanted:
		}
		k.borrow(ctx, sh)
	}
}

func (k *Caps) borrow(ctx context.Context, sh *share) {
	for range lendersPerRound {
		lender, ask, ok := k.nextLoan(sh)
		if !ok {
			return
		}
		if k.borrowFrom(ctx, sh, lender, ask) || ctx.Err() != nil {
			return
		}
	}
}

// nextLoan chooses a lender and starts a loan request. It returns false if no permit is missing
// or there is no holder to ask.
func (k *Caps) nextLoan(sh *share) (lender seam.Member, ask caps.LoanRequest, ok bool) {
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

// lenders returns the holders to ask: those of the own zone first, then those of the own region.
// Within each group the order rotates from call to call. The caller holds sh.mu.
func (k *Caps) lenders(sh *share, now time.Time) []seam.Member {
	if sh.seats == nil {
		return nil
	}
	var found []seam.Member
	for _, seat := range sh.seats.Seats {
		if seat.VM == sh.self.VM || seat.Permits == 0 || now.Before(sh.backoffUntil[seat.VM]) {
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
	sh.lenderOffset++
	first := sh.lenderOffset % len(found)
	found = slices.Concat(found[first:], found[:first])
	slices.SortStableFunc(found, func(a, b seam.Member) int { return cmp.Compare(sh.distanceRank(a), sh.distanceRank(b)) })
	return found
}

// distanceRank returns 0 for a member of the own zone, 1 for one of the own region, and 2 for any
// other.
func (s *share) distanceRank(m seam.Member) int {
	switch {
	case m.Zone == s.self.Zone:
		return 0
	case m.Region == s.self.Region:
		return 1
	}
	return 2
}

// borrowFrom asks one holder and reports whether it lent permits. If the call fails, borrowFrom
// retries it once with the same nonce, so that a lost reply does not lend twice.
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
		sh.backOffLender(now, lender.VM)
		return false
	}
	gained := sh.holder.ApplyLoan(now, reply.Nonce, int(reply.Permits), time.Duration(reply.TermMs)*time.Millisecond)
	k.metrics.borrowed.Inc(int64(gained))
	if gained == 0 {
		sh.backOffLender(now, lender.VM)
		return false
	}
	sh.signalFreed()
	return true
}

// backOffLender excludes a holder from loan requests for a while, because it had nothing to lend
// or did not answer.
func (s *share) backOffLender(now time.Time, vm steering.VM) {
	s.backoffUntil[vm] = now.Add(min(s.holder.Terms().Window/2, maxLenderBackoff))
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
