package capshare

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/routing"
)

const (
	// pollInterval bounds how often the holders of a cap are asked.
	pollInterval = time.Second
	// pollResultTTL is the age at which a result is no longer returned.
	pollResultTTL = 10 * time.Second
	// pollTimeout bounds one poll, and pollConcurrency its concurrent calls.
	pollTimeout     = 2 * time.Second
	pollConcurrency = 8
)

// TotalUsage is the usage of a cap by all its holders.
type TotalUsage struct {
	InUse int
	// Unresponsive is the number of holders that did not answer. Their usage is missing in
	// InUse.
	Unresponsive int
	// At is when the holders were asked.
	At time.Time
}

// usagePolls keeps the last total of each cap that an operator asked for.
type usagePolls struct {
	mu     sync.Mutex
	latest map[string]*usagePoll
}

type usagePoll struct {
	running   bool
	startedAt time.Time
	total     TotalUsage
}

// TotalUsage returns the usage of a cap as its holders reported it last, and starts a new poll
// if the last one started a second ago or earlier. It does not wait for the poll; ok is false
// while there is no recent result. The holders are polled only while
// TotalUsage is called.
func (k *Caps) TotalUsage(name string) (total TotalUsage, ok bool) {
	now := time.Now()
	k.usagePolls.mu.Lock()
	defer k.usagePolls.mu.Unlock()
	s := k.usagePolls.latest[name]
	if s == nil {
		s = &usagePoll{}
		k.usagePolls.latest[name] = s
	}
	if !s.running && now.Sub(s.startedAt) >= pollInterval {
		s.startedAt = now
		s.running = k.runInBackground(func(ctx context.Context) { k.pollUsage(ctx, name, s) })
	}
	return s.total, !s.total.At.IsZero() && now.Sub(s.total.At) < pollResultTTL
}

// pollUsage asks all holders of a seat and stores the total.
func (k *Caps) pollUsage(ctx context.Context, name string, s *usagePoll) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	total := TotalUsage{At: time.Now()}
	inUse, unanswered := k.pollHolders(ctx, name)
	total.InUse, total.Unresponsive = inUse, unanswered
	k.usagePolls.mu.Lock()
	defer k.usagePolls.mu.Unlock()
	s.running = false
	s.total = total
}

func (k *Caps) pollHolders(ctx context.Context, name string) (inUse, unanswered int) {
	snapshot := k.config.Configs.Snapshot()
	if snapshot == nil || snapshot.Seats[name] == nil {
		return 0, 0
	}
	var used, failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(pollConcurrency)
	for _, seat := range snapshot.Seats[name].Seats {
		group.Go(func() error {
			if n, answered := k.pollHolder(ctx, name, seat); answered {
				used.Add(int64(n))
			} else {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(used.Load()), int(failed.Load())
}

// pollHolder asks one holder by a loan request for no permits.
func (k *Caps) pollHolder(ctx context.Context, name string, seat routing.CapSeat) (inUse int, answered bool) {
	if seat.VM == k.self.VM {
		use, known := k.Usage(name)
		return use.InUse, known
	}
	m, known := k.config.Members.ByIncarnation(seat.Incarnation)
	if !known || m.PeerAddress == "" || m.State == seam.MemberGone {
		return 0, false
	}
	reply, err := k.config.Peer(m.PeerAddress).Borrow(ctx, &peerpb.BorrowRequest{
		FromVm: string(k.self.VM), FromIncarnation: string(k.self.Incarnation), Cap: name,
	})
	if err != nil {
		return 0, false
	}
	return int(reply.InUse), true
}
