package allowances

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/identity"
)

// reportCheckInterval is the interval at which the service checks for due reports.
const reportCheckInterval = 100 * time.Millisecond

// Peer is an entry VM that may own workspaces and the limits of targets.
type Peer struct {
	Name   steering.VM
	Region steering.Region
	// Address is the host:port of its UDP socket for allowances.
	Address string
	// Weight is its capacity relative to that of other entry VMs.
	Weight float64
}

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self  steering.VM
	Slack allowance.Slack
	Log   log.Logger
	Scope tally.Scope
	// OnLowBucket, if set, is called when the bucket of a workspace that this VM owns becomes low
	// while its callers send more than its rate. All other VMs must be informed by the next
	// heartbeat.
	OnLowBucket func()
	// OnFirstLimit, if set, is called when the first limit of a target becomes known. The service
	// then needs the live entry VMs.
	OnFirstLimit func()
	// OnSend, if set, is called for each datagram with its recipient and size.
	OnSend func(to steering.VM, bytes int)
}

// Service decides which requests of workspaces with an allowance may run, and which may be sent to
// targets that name a limit. It is safe for concurrent use.
type Service struct {
	cfg  Config
	conn net.PacketConn

	mu lock.Mutex
	// incarnation is that of new accounts. Owners take accounts of different incarnations for those of
	// different processes.
	incarnation uint32
	byID        map[allowance.ID]*identity.Workspace
	accounts    map[allowance.ID]*account
	ledger      *allowance.Ledger
	live        []allowance.Candidate
	// liveIn holds the live VMs by region.
	liveIn  map[steering.Region][]allowance.Candidate
	regions map[steering.VM]steering.Region
	// targets holds the limits that targets name, and targetLedger the buckets of those that this VM
	// owns.
	targets      map[allowance.ID]*targetLimit
	targetLedger *allowance.Ledger
	peers        map[steering.VM]peer
	members      int
	liveShare    float64 // of the VMs that are heard
	agreeing     float64 // see SetAgreeingShare
	fleetVersion int     // incremented when the live VMs or their weights change
	lowUntil     map[allowance.ID]time.Time
	counts       *counts
}

// peer is a Peer with its resolved address.
type peer struct {
	name    steering.VM
	address *net.UDPAddr
}

// account is this VM's account of a workspace: the credits that it holds, and the owner that lends
// them.
type account struct {
	*allowance.Account
	id           allowance.ID
	replied      chan struct{} // closed at the next reply; nil if no request waits
	incarnation  uint32
	owner        steering.VM
	ownerVersion int // the fleetVersion for which owner was determined
	// target is the limit of the target that the account is for; nil for a workspace.
	target *targetLimit
}

// New returns a service that exchanges datagrams on conn. Run must be called to start it.
func New(cfg Config, conn net.PacketConn) *Service {
	return &Service{cfg: cfg, conn: conn, incarnation: rand.Uint32(), accounts: make(map[allowance.ID]*account),
		ledger: allowance.NewLedger(cfg.Slack), targetLedger: allowance.NewLedger(allowance.Slack{}), targets: make(map[allowance.ID]*targetLimit), peers: make(map[steering.VM]peer), members: 1, liveShare: 1, agreeing: 1,
		lowUntil: make(map[allowance.ID]time.Time), counts: newCounts()}
}

// Run exchanges datagrams until ctx ends, and then closes the connection.
func (s *Service) Run(ctx context.Context) {
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // unblocks readLoop
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.readLoop(ctx) })
	all.Go(func() { s.reportLoop(ctx) })
	all.Wait()
}

// Configure puts the workspaces of a configuration in force. A nil directory means that there are
// none.
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
		if a.target != nil {
			continue
		}
		w := byID[id]
		if w == nil {
			a.notifyWaiters()
			delete(s.accounts, id)
			continue
		}
		a.Configure(now, limitOf(w), s.members)
	}
}

// HasLimits reports whether any workspace has an allowance, or any target names a limit.
func (s *Service) HasLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) > 0 || len(s.targets) > 0
}

// Fleet are the entry VMs among which allowances are divided.
type Fleet struct {
	// Live are the VMs that may own an allowance: this one as well, unless it leaves.
	Live []Peer
	// Answering is the number of VMs that are heard, with those that leave, which still use credits.
	Answering int
	// Members is the number of VMs in the fleet, with those that are not heard.
	Members int
}

// SetFleet sets the entry VMs.
func (s *Service) SetFleet(f Fleet) {
	live, members := f.Live, f.Members
	peers := make(map[steering.VM]peer, len(live))
	candidates := make([]allowance.Candidate, 0, len(live))
	liveIn, regions := make(map[steering.Region][]allowance.Candidate), make(map[steering.VM]steering.Region)
	for _, p := range live {
		address, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			_ = s.cfg.Log.Log("msg", "cannot resolve the allowance address of an entry VM", "peer", p.Name, "err", err) // the log writer counts dropped lines
			continue
		}
		peers[p.Name] = peer{p.Name, address}
		candidate := allowance.Candidate{VM: p.Name, Hash: allowance.HashOf(p.Name), Weight: p.Weight}
		candidates = append(candidates, candidate)
		liveIn[p.Region] = append(liveIn[p.Region], candidate)
		regions[p.Name] = p.Region
	}
	answering := max(f.Answering, len(live), 1)
	members = max(members, answering)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sameCandidates(s.live, candidates) {
		s.fleetVersion++
	}
	s.live, s.liveIn, s.regions, s.peers, s.members = candidates, liveIn, regions, peers, members
	s.liveShare = float64(answering) / float64(members)
	s.ledger.SetFleetShare(now, s.liveShare)
	s.targetLedger.SetFleetShare(now, s.liveShare*s.agreeing)
	for _, a := range s.accounts {
		a.Configure(now, a.Limit(), members)
	}
}

// SetAgreeingShare sets the share of the live VMs that see the same live VMs as this one, and so the same owners.
// This VM lends that part of the limits of targets: VMs with another view may take another one for the owner.
func (s *Service) SetAgreeingShare(share float64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreeing = share
	s.targetLedger.SetFleetShare(now, s.liveShare*s.agreeing)
}

func sameCandidates(a, b []allowance.Candidate) bool {
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

// Admit decides whether a request of a workspace may run. If it may not, retryAfter is when the
// caller should retry. jitter is a number from 0 to 1 derived from the request; it spreads retries
// over time.
func (s *Service) Admit(ctx context.Context, w *identity.Workspace, jitter float64) (retryAfter time.Duration, ok bool) {
	if !w.Limited() {
		return 0, true
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, w)
	a.RecordArrival(now)
	verdict := a.Admit(now)
	if verdict == allowance.AskOwner {
		limit := now.Add(a.ReplyTimeout())
		if a.OwnerUnresponsive(now) {
			limit = now
		}
		verdict = s.askOwner(ctx, a, limit)
	}
	s.counts.add(w.Name, verdict == allowance.Admitted)
	if verdict == allowance.Admitted {
		return 0, true
	}
	return a.RetryAfter(time.Now(), jitter), false
}

// askOwner reports to the owner and waits until its reply decides the request, at most until limit.
// The caller holds s.mu, which is released while askOwner waits.
func (s *Service) askOwner(ctx context.Context, a *account, limit time.Time) allowance.Verdict {
	a.AddWaiting()
	defer a.RemoveWaiting()
	for {
		replied := a.nextReply()
		s.report(time.Now(), a)
		now := time.Now()
		verdict := a.Admit(now)
		switch {
		case verdict != allowance.AskOwner:
			return verdict
		case a.target != nil && !a.target.InForce:
			return allowance.Admitted
		case ctx.Err() != nil:
			return allowance.Refused
		case !now.Before(limit):
			if a.AdmitWithoutOwner(now) {
				return allowance.Admitted
			}
			return allowance.Refused
		}
		s.mu.Unlock()
		waitFor(ctx, min(limit.Sub(now), allowance.ReportRetryInterval), replied)
		s.mu.Lock()
	}
}

// waitFor waits for d, until event is closed, or until ctx ends.
func waitFor(ctx context.Context, d time.Duration, event <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-event:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ReturnCredit gives back the credit of an admitted request that was refused for the given reason
// without running.
func (s *Service) ReturnCredit(w *identity.Workspace, reason steering.Reason) {
	if !w.Limited() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(time.Now(), w).ReturnCredit()
	s.counts.addNotRun(w.Name, reason)
}

// RecordExtraRun counts an additional run of an admitted request.
func (s *Service) RecordExtraRun(w *identity.Workspace) {
	if !w.Limited() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(time.Now(), w).RecordExtraRun()
}

// account returns this VM's account of a workspace, and creates it if needed.
func (s *Service) account(now time.Time, w *identity.Workspace) *account {
	id := allowance.IDOf(w.Name)
	a := s.accounts[id]
	if a == nil {
		a = &account{Account: allowance.NewAccount(now, limitOf(w), s.members), id: id, incarnation: s.incarnation, ownerVersion: -1}
		a.MarkLow(s.lowUntil[id])
		s.accounts[id] = a
	}
	return a
}

func limitOf(w *identity.Workspace) allowance.Limit {
	return allowance.Limit{Rate: w.Rate, Burst: w.Burst}
}

// nextReply returns a channel that is closed at the next reply.
func (a *account) nextReply() <-chan struct{} {
	if a.replied == nil {
		a.replied = make(chan struct{})
	}
	return a.replied
}

func (a *account) notifyWaiters() {
	if a.replied != nil {
		close(a.replied)
		a.replied = nil
	}
}

// LowBucketNotices returns notices about the workspaces whose buckets are low, for a heartbeat.
// They come from this VM's own ledger and from other VMs' heartbeats.
func (s *Service) LowBucketNotices() []allowance.LowBucketNotice {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.ledger.Overloaded(now) {
		s.lowUntil[id] = now.Add(allowance.LowBucketTTL)
	}
	var notices []allowance.LowBucketNotice
	for id, until := range s.lowUntil {
		left := until.Sub(now)
		if left <= 0 {
			delete(s.lowUntil, id)
			continue
		}
		if len(notices) < maxNotices {
			notices = append(notices, allowance.LowBucketNotice{Workspace: id, LeftMs: uint16(left.Milliseconds())})
		}
	}
	return notices
}

// maxNotices bounds the low-bucket notices in a heartbeat, to 400 bytes.
const maxNotices = 32

// ApplyLowBucketNotices applies the low-bucket notices of a heartbeat.
func (s *Service) ApplyLowBucketNotices(notices []allowance.LowBucketNotice) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range notices {
		until := now.Add(min(time.Duration(n.LeftMs)*time.Millisecond, allowance.LowBucketTTL))
		if until.After(s.lowUntil[n.Workspace]) {
			s.lowUntil[n.Workspace] = until
		}
		if a := s.accounts[n.Workspace]; a != nil {
			a.MarkLow(until)
		}
	}
}
