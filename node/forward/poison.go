package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/poison"
	"heatherlock/steering/routing"
)

// Bounds of what happens when a target seems lost.
const (
	// probeTimeout bounds the question whether the target still lives. A crashed
	// process refuses connections at once.
	probeTimeout = 250 * time.Millisecond
	// holdTime bounds how long a request waits for copies of it that are in
	// flight, when none like it finished of late.
	holdTime = time.Second
	// shareTimeout bounds how long a caller's answer waits for the region's
	// entry VMs to know what its request did.
	shareTimeout = 250 * time.Millisecond
	// maxSharedFacts bounds the facts of one message.
	maxSharedFacts = 1024
	// factsInTurn bounds the facts that beats carry in turn.
	factsInTurn = 64
	// factsPerBeat is how far Facts moves on, at most what a beat carries.
	factsPerBeat = 4
	// probePath is the target's health endpoint; any answer shows that it lives.
	probePath = "/healthz"
)

// SuspectsConfig is what NewSuspects needs.
type SuspectsConfig struct {
	Self    seam.Member
	Members seam.Members
	// Peers gives a client for a peer listener's address.
	Peers interface {
		To(address string) peerpb.Peer
	}
	Poison poison.Config
	Dial   Dial // nil means a net.Dialer
	Scope  tally.Scope
	Log    log.Logger
}

// RegionSuspects implements Suspects with the list of package poison, shared
// with the entry VMs of the region.
//
// The caller of a request that took down a target may repeat it at once through
// another entry VM, faster than beats spread the news. Therefore its answer is
// held back, for at most shareTimeout, until the region's live entry VMs have
// been told. Messages are sent only when a target was lost or a suspect cleared.
type RegionSuspects struct {
	config   SuspectsConfig
	prober   *http.Client
	counters suspectCounters

	mu      sync.Mutex
	list    *poison.List
	ended   chan struct{} // closed when a try ends that others wait for
	awaited bool          // somebody waits for that
	turn    int           // where Facts begins

	sharing sync.Mutex // one round of messages at a time
}

type suspectCounters struct {
	losses, survived, trials, held, told, untold tally.Counter
}

var _ Suspects = (*RegionSuspects)(nil)

// NewSuspects returns an empty memory of suspects.
func NewSuspects(c SuspectsConfig) *RegionSuspects {
	if c.Dial == nil {
		c.Dial = netDial()
	}
	return &RegionSuspects{
		config: c,
		// No connection is kept: only a new one shows that the process listens.
		prober: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{DialContext: c.Dial, DisableKeepAlives: true},
		},
		counters: suspectCounters{
			losses:   c.Scope.Counter("suspect_losses"),
			survived: c.Scope.Counter("suspect_targets_survived"),
			trials:   c.Scope.Counter("suspect_trials"),
			held:     c.Scope.Counter("suspect_waits"),
			told:     c.Scope.Counter("suspect_peers_told"),
			untold:   c.Scope.Counter("suspect_peers_not_told"),
		},
		list:  poison.New(c.Poison),
		ended: make(chan struct{}),
	}
}

// Enter implements Suspects.
func (s *RegionSuspects) Enter(ctx context.Context, m poison.Mark) (poison.Verdict, *steering.Refusal) {
	verdict, ended := s.check(m, false)
	if verdict.Kind == poison.Wait || verdict.Kind == poison.Hold {
		return s.wait(ctx, m, verdict, ended)
	}
	return s.entered(verdict)
}

func (s *RegionSuspects) entered(v poison.Verdict) (poison.Verdict, *steering.Refusal) {
	if v.Kind == poison.Trial {
		s.counters.trials.Inc(1)
	}
	return v, v.Refusal
}

// wait asks again whenever a like request may have ended.
func (s *RegionSuspects) wait(ctx context.Context, m poison.Mark, v poison.Verdict, ended <-chan struct{}) (poison.Verdict, *steering.Refusal) {
	s.counters.held.Inc(1)
	patience := time.NewTimer(holdTime)
	defer patience.Stop()
	held := false
	for v.Kind == poison.Wait || v.Kind == poison.Hold {
		select {
		case <-ended:
		case <-patience.C:
			held = true
		case <-ctx.Done():
			return v, goneWaiting(ctx)
		}
		v, ended = s.check(m, held)
	}
	return s.entered(v)
}

func (s *RegionSuspects) check(m poison.Mark, held bool) (poison.Verdict, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.list.Check(time.Now(), m, held)
	s.awaited = s.awaited || v.Kind == poison.Wait || v.Kind == poison.Hold
	return v, s.ended
}

func goneWaiting(ctx context.Context) *steering.Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return steering.Refuse(steering.ReasonDeadline, 0, "a like request is tried alone since a target was lost with it")
	}
	return steering.Refuse(steering.ReasonCancelled, 0, "the caller went away")
}

// Trying implements Suspects.
func (s *RegionSuspects) Trying(m poison.Mark, v poison.Verdict, target steering.Target) {
	if v.Kind != poison.Trial {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Trying(m, target)
}

// End implements Suspects.
func (s *RegionSuspects) End(m poison.Mark, v poison.Verdict, target routing.Target, e TryEnd) {
	switch e {
	case TryFailure:
		s.record(m, v, target.Name, poison.Answered)
	case TryWhole:
		if s.record(m, v, target.Name, poison.Finished) {
			go s.share()
		}
	case TryBroken:
		s.judge(m, v, target)
	case TrySilent:
		// The caller's deadline has passed, so its answer can't wait.
		go s.judge(m, v, target)
	default:
		s.record(m, v, target.Name, poison.Neither)
	}
}

// judge finds out whether the target was lost. A broken connection alone does
// not show it: a sick target or a bad link breaks connections too, and holding
// that against requests would refuse innocent ones in a brown-out.
func (s *RegionSuspects) judge(m poison.Mark, v poison.Verdict, target routing.Target) {
	if s.alive(target.Address) {
		s.counters.survived.Inc(1)
		s.record(m, v, target.Name, poison.Neither)
		return
	}
	s.counters.losses.Inc(1)
	level.Warn(s.config.Log).Log("msg", "target lost with a request in hand", "target", target.Name, "content", uint64(m.Content))
	s.record(m, v, target.Name, poison.Lost)
	s.share()
}

// alive asks the target over a new connection. A target that takes it but is
// too slow to answer is overloaded, not lost: were it taken for lost, every
// request that timed out in an overload would be suspected.
func (s *RegionSuspects) alive(address string) bool {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace),
		http.MethodGet, "http://"+address+probePath, nil)
	if err != nil {
		return true // an address that can't be asked proves nothing
	}
	res, err := s.prober.Do(r)
	if err != nil {
		var network net.Error
		return connected && errors.As(err, &network) && network.Timeout()
	}
	_, _ = io.CopyN(io.Discard, res.Body, discardBytes)
	_ = res.Body.Close()
	return true
}

// record ends a try and reports whether there is news for peers.
func (s *RegionSuspects) record(m poison.Mark, v poison.Verdict, target steering.Target, e poison.Ending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.End(time.Now(), m, v, target, e)
	if s.awaited {
		close(s.ended)
		s.ended, s.awaited = make(chan struct{}), false
	}
	return s.list.HasChanged()
}

// share tells the region's entry VMs what came up here. While one round is on
// its way, later news gathers for the next: however many targets are lost at
// once, each peer gets one message per round.
func (s *RegionSuspects) share() {
	s.sharing.Lock()
	defer s.sharing.Unlock()
	s.mu.Lock()
	facts := s.list.TakeChanged()
	s.mu.Unlock()
	if len(facts) == 0 {
		return
	}
	if len(facts) > maxSharedFacts {
		facts = facts[len(facts)-maxSharedFacts:]
	}
	request := &peerpb.SuspectRequest{FromVm: string(s.config.Self.VM), Facts: factsToWire(facts)}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range s.config.Members.All() {
		if s.tells(member) {
			calls.Go(func() { s.tell(ctx, member.PeerAddress, request) })
		}
	}
	calls.Wait()
}

// tells reports the members that must know. Those that are not seen as live
// learn by beats once they are back.
func (s *RegionSuspects) tells(m seam.Member) bool {
	return m.VM != s.config.Self.VM && m.Region == s.config.Self.Region && m.PeerAddress != "" &&
		(m.State == seam.MemberLive || m.State == seam.MemberLeaving)
}

func (s *RegionSuspects) tell(ctx context.Context, address string, request *peerpb.SuspectRequest) {
	if _, err := s.config.Peers.To(address).Suspect(ctx, request); err != nil {
		s.counters.untold.Inc(1)
		return
	}
	s.counters.told.Inc(1)
}

// Facts returns what is known, for beats. A beat carries a few facts only, so
// each call begins with other ones.
func (s *RegionSuspects) Facts() []*peerpb.SuspectFact {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts := factsToWire(s.list.Facts(time.Now(), factsInTurn))
	if len(facts) == 0 {
		return nil
	}
	s.turn = (s.turn + factsPerBeat) % len(facts)
	return append(facts[s.turn:], facts[:s.turn]...)
}

// Learn takes in facts of another entry VM.
func (s *RegionSuspects) Learn(facts []*peerpb.SuspectFact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Learn(time.Now(), factsFromWire(facts))
}

func factsToWire(facts []poison.Fact) []*peerpb.SuspectFact {
	wire := make([]*peerpb.SuspectFact, 0, len(facts))
	for _, f := range facts {
		wire = append(wire, &peerpb.SuspectFact{
			Fingerprint: uint64(f.ID), Deaths: f.Deaths, AgeMs: uint32(f.Age.Milliseconds()),
			Target: string(f.Target), Alone: f.Alone, Signature: uint64(f.Signature),
		})
	}
	return wire
}

func factsFromWire(wire []*peerpb.SuspectFact) []poison.Fact {
	facts := make([]poison.Fact, 0, min(len(wire), maxSharedFacts))
	for _, f := range wire[:min(len(wire), maxSharedFacts)] {
		facts = append(facts, poison.Fact{
			ID: poison.ID(f.Fingerprint), Target: steering.Target(f.Target), Deaths: f.Deaths, Alone: f.Alone, Signature: poison.ID(f.Signature),
			Age: time.Duration(f.AgeMs) * time.Millisecond,
		})
	}
	return facts
}
