package allowances

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/identity"
)

// reportTick is the pause between two looks for what is due to be reported.
const reportTick = 100 * time.Millisecond

// Peer is an entry VM that may own workspaces.
type Peer struct {
	Name steering.VM
	// Address is host:port of its datagram socket for allowances.
	Address string
	// Weight is how much it bears, against others.
	Weight float64
}

// Config holds what a Service needs.
type Config struct {
	Self  steering.VM
	Slack allowance.Slack
	Log   log.Logger
	Scope tally.Scope
	// Low is called when the bucket of a workspace that this VM owns has become low: all
	// others are to hear of it by the next heartbeat.
	Low func()
	// Sent, when set, is told of each datagram sent.
	Sent func(to steering.VM, bytes int)
}

// Service decides which requests of workspaces with an allowance may run. It is safe for
// concurrent use.
type Service struct {
	cfg         Config
	conn        net.PacketConn
	incarnation uint32

	mu       sync.Mutex
	byID     map[allowance.ID]*identity.Workspace
	accounts map[allowance.ID]*account
	ledger   *allowance.Ledger
	live     []allowance.Candidate
	peers    map[steering.VM]peer
	members  int
	views    int // counts the changes of who lives
	tight    map[allowance.ID]time.Time
	counts   *counts
}

// peer is a Peer whose address was resolved.
type peer struct {
	name    steering.VM
	address *net.UDPAddr
}

// account is this VM's side of a workspace.
type account struct {
	*allowance.Account
	id      allowance.ID
	replied chan struct{} // closed with the next answer; nil if nobody waits
	owner   steering.VM
	view    int // of which owner is the owner
}

// New returns a service that exchanges datagrams on conn.
func New(cfg Config, conn net.PacketConn) *Service {
	return &Service{cfg: cfg, conn: conn, incarnation: rand.Uint32(), accounts: make(map[allowance.ID]*account),
		ledger: allowance.NewLedger(cfg.Slack), peers: make(map[steering.VM]peer), members: 1,
		tight: make(map[allowance.ID]time.Time), counts: newCounts()}
}

// Run exchanges datagrams until ctx ends, and then closes the connection.
func (s *Service) Run(ctx context.Context) {
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // ends the reader
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.read(ctx) })
	all.Go(func() { s.reportOn(ctx) })
	all.Wait()
}

// Configure puts the workspaces of a configuration in force; nil means that there are none.
func (s *Service) Configure(d *identity.Directory) {
	byID := make(map[allowance.ID]*identity.Workspace)
	for _, w := range d.All() {
		if w.Limited() {
			byID[allowance.IDOf(w.Name)] = w
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID = byID
	for id, a := range s.accounts {
		w := byID[id]
		if w == nil {
			a.wake()
			delete(s.accounts, id)
			continue
		}
		a.Configure(now, limitOf(w), s.members)
	}
}

// SetFleet tells who lives, this VM included, and how many entry VMs there are.
func (s *Service) SetFleet(live []Peer, members int) {
	peers := make(map[steering.VM]peer, len(live))
	candidates := make([]allowance.Candidate, 0, len(live))
	for _, p := range live {
		address, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			_ = s.cfg.Log.Log("msg", "entry VM cannot be asked for credits", "peer", p.Name, "err", err) // the writer counts what it drops
			continue
		}
		peers[p.Name] = peer{p.Name, address}
		candidates = append(candidates, allowance.Candidate{VM: p.Name, Hash: allowance.HashOf(p.Name), Weight: p.Weight})
	}
	members = max(members, len(live), 1)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sameVMs(s.live, candidates) {
		s.views++
	}
	s.live, s.peers, s.members = candidates, peers, members
	s.ledger.SetPart(now, float64(max(len(live), 1))/float64(members))
	for _, a := range s.accounts {
		a.Configure(now, a.Limit(), members)
	}
}

func sameVMs(a, b []allowance.Candidate) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Admit decides whether a request of a workspace may run. If not, retryAfter is when to
// come back. spread is a number from 0 to 1 of the request.
func (s *Service) Admit(ctx context.Context, w *identity.Workspace, spread float64) (retryAfter time.Duration, ok bool) {
	if !w.Limited() {
		return 0, true
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, w)
	a.Arrived(now)
	verdict := a.Admit(now)
	if verdict == allowance.Ask {
		limit := now.Add(allowance.AskFor)
		if a.Silent(now) {
			limit = now
		}
		verdict = s.ask(ctx, a, limit)
	}
	s.counts.add(w.Name, verdict == allowance.Admitted)
	if verdict == allowance.Admitted {
		return 0, true
	}
	return a.RetryAfter(time.Now(), spread), false
}

// ask waits for the owner's answer. The service's lock is held when it is called and when
// it returns, but not while it waits.
func (s *Service) ask(ctx context.Context, a *account, limit time.Time) allowance.Verdict {
	a.Wait()
	defer a.Waited()
	for {
		replied := a.next()
		s.report(time.Now(), a)
		now := time.Now()
		verdict := a.Admit(now)
		switch {
		case verdict != allowance.Ask:
			return verdict
		case ctx.Err() != nil:
			return allowance.Refused
		case !now.Before(limit):
			if a.Alone(now) {
				return allowance.Admitted
			}
			return allowance.Refused
		}
		s.mu.Unlock()
		pause(ctx, min(limit.Sub(now), allowance.AskAgain), replied)
		s.mu.Lock()
	}
}

// pause waits for a time, or until something happened.
func pause(ctx context.Context, d time.Duration, happened <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-happened:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Return gives back the credit of a request that was admitted and refused later, for a
// reason, without having run.
func (s *Service) Return(w *identity.Workspace, reason steering.Reason) {
	if !w.Limited() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(time.Now(), w).Return()
	s.counts.notRun(w.Name, reason)
}

// Ran counts one more run of a request that was admitted.
func (s *Service) Ran(w *identity.Workspace) {
	if !w.Limited() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(time.Now(), w).Ran()
}

// account returns this VM's side of a workspace.
func (s *Service) account(now time.Time, w *identity.Workspace) *account {
	id := allowance.IDOf(w.Name)
	a := s.accounts[id]
	if a == nil {
		a = &account{Account: allowance.NewAccount(now, limitOf(w), s.members), id: id, view: -1}
		a.Tight(s.tight[id])
		s.accounts[id] = a
	}
	return a
}

func limitOf(w *identity.Workspace) allowance.Limit {
	return allowance.Limit{Rate: w.Rate, Burst: w.Burst}
}

// next returns a channel that closes with the next answer.
func (a *account) next() <-chan struct{} {
	if a.replied == nil {
		a.replied = make(chan struct{})
	}
	return a.replied
}

func (a *account) wake() {
	if a.replied != nil {
		close(a.replied)
		a.replied = nil
	}
}

// TightToTell returns the workspaces whose buckets are low, as owned here or heard of.
func (s *Service) TightToTell() []allowance.TightNews {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.ledger.Flooded(now) {
		s.tight[id] = now.Add(allowance.TightFor)
	}
	var news []allowance.TightNews
	for id, until := range s.tight {
		left := until.Sub(now)
		if left <= 0 {
			delete(s.tight, id)
			continue
		}
		if len(news) < mostNews {
			news = append(news, allowance.TightNews{Workspace: id, LeftMs: uint16(left.Milliseconds())})
		}
	}
	return news
}

// mostNews bounds the news in one heartbeat: 400 bytes.
const mostNews = 32

// LearnTight takes in what a heartbeat told.
func (s *Service) LearnTight(news []allowance.TightNews) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range news {
		until := now.Add(min(time.Duration(n.LeftMs)*time.Millisecond, allowance.TightFor))
		if until.After(s.tight[n.Workspace]) {
			s.tight[n.Workspace] = until
		}
		if a := s.accounts[n.Workspace]; a != nil {
			a.Tight(until)
		}
	}
}
