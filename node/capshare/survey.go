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
	// surveyEvery bounds how often the holders of a cap are asked.
	surveyEvery = time.Second
	// surveyKeep is the age from which an answer is not shown any more.
	surveyKeep = 10 * time.Second
	// surveyTimeout bounds one survey, surveyAtOnce its calls at one time.
	surveyTimeout = 2 * time.Second
	surveyAtOnce  = 8
)

// TotalUsage is the use of a cap by all its holders.
type TotalUsage struct {
	InUse int
	// Unresponsive counts the holders that did not answer; what they use is
	// missing.
	Unresponsive int
	// At is when the holders were asked.
	At time.Time
}

// surveys keeps the last total of each cap that an operator asked for.
type surveys struct {
	mu    sync.Mutex
	known map[string]*survey
}

type survey struct {
	running bool
	begun   time.Time
	total   TotalUsage
}

// TotalUsage returns the use of a cap as its holders last said, and asks them
// again when that is a second old. It returns at once; ok is false while
// nothing is known. The holders are asked only while somebody wants to know.
func (k *Caps) TotalUsage(name string) (total TotalUsage, ok bool) {
	now := time.Now()
	k.surveys.mu.Lock()
	defer k.surveys.mu.Unlock()
	s := k.surveys.known[name]
	if s == nil {
		s = &survey{}
		k.surveys.known[name] = s
	}
	if !s.running && now.Sub(s.begun) >= surveyEvery {
		s.begun = now
		s.running = k.background(func(ctx context.Context) { k.ask(ctx, name, s) })
	}
	return s.total, !s.total.At.IsZero() && now.Sub(s.total.At) < surveyKeep
}

// ask asks every holder of a seat.
func (k *Caps) ask(ctx context.Context, name string, s *survey) {
	ctx, stop := context.WithTimeout(ctx, surveyTimeout)
	defer stop()
	total := TotalUsage{At: time.Now()}
	inUse, silent := k.askHolders(ctx, name)
	total.InUse, total.Unresponsive = inUse, silent
	k.surveys.mu.Lock()
	defer k.surveys.mu.Unlock()
	s.running = false
	s.total = total
}

func (k *Caps) askHolders(ctx context.Context, name string) (inUse, silent int) {
	snapshot := k.config.Configs.Snapshot()
	if snapshot == nil || snapshot.Seats[name] == nil {
		return 0, 0
	}
	var used, unheard atomic.Int64
	var group errgroup.Group
	group.SetLimit(surveyAtOnce)
	for _, seat := range snapshot.Seats[name].Seats {
		group.Go(func() error {
			if n, heard := k.askHolder(ctx, name, seat); heard {
				used.Add(int64(n))
			} else {
				unheard.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(used.Load()), int(unheard.Load())
}

// askHolder asks one holder by a request for no permits.
func (k *Caps) askHolder(ctx context.Context, name string, seat routing.CapSeat) (inUse int, heard bool) {
	if seat.VM == k.self.VM {
		use, known := k.Use(name)
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
