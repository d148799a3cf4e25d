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
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/poison"
	"heatherlock/steering/routing"
)

// Limits of the handling of a target that may be lost.
const (
	// probeTimeout limits the probe that checks whether a target is still running. A crashed
	// process refuses connections at once.
	probeTimeout = 250 * time.Millisecond
	// maxHoldTime limits how long a request waits for copies of it that are in flight, if no
	// similar request finished recently.
	maxHoldTime = time.Second
	// shareTimeout limits how long the response to a caller waits until the region's entry VMs have
	// been notified that its request crashed a target.
	shareTimeout = 250 * time.Millisecond
	// maxSharedFacts is the maximum number of facts in one message.
	maxSharedFacts = 1024
	// maxRotatedFacts is the maximum number of facts that heartbeats carry in rotation.
	maxRotatedFacts = 64
	// factsPerHeartbeat is how far each call of Facts advances the rotation, which is at most the
	// number of facts that a heartbeat carries.
	factsPerHeartbeat = 4
	// probePath is the target's health endpoint. Any response shows that the target is running.
	probePath = "/healthz"
)

// SuspectsConfig configures NewSuspects.
type SuspectsConfig struct {
	Self    seam.Member
	Members seam.Members
	// Peers returns a client for the address of a peer listener.
	Peers interface {
		To(address string) peerpb.Peer
	}
	Poison poison.Config
	Dial   Dial // nil means a net.Dialer
	Scope  tally.Scope
	Log    log.Logger
}

// RegionSuspects implements Suspects with the list of package poison, which it shares with the
// entry VMs of the region. It is safe for concurrent use.
//
// The caller of a request that crashed a target may repeat it at once through another entry VM,
// before heartbeats have propagated the loss. The response to that caller is therefore delayed, for
// at most shareTimeout, until the region's live entry VMs have been notified. Messages are only
// sent when a target was lost or a suspect was cleared.
type RegionSuspects struct {
	config   SuspectsConfig
	prober   *http.Client
	counters suspectCounters

	mu          sync.Mutex
	list        *poison.List
	tryEnded    chan struct{} // closed when a try ends while others wait for it
	hasWaiters  bool          // a request waits on tryEnded
	factsOffset int           // index of the first fact that Facts returns

	shareMu sync.Mutex // held during a round of messages; there is one at a time
}

type suspectCounters struct {
	losses, survived, trials, held, notified, notifyFailed tally.Counter
}

var _ Suspects = (*RegionSuspects)(nil)

// NewSuspects returns an empty suspect list.
func NewSuspects(c SuspectsConfig) *RegionSuspects {
	if c.Dial == nil {
		c.Dial = netDial()
	}
	return &RegionSuspects{
		config: c,
		// Connections are not kept, because only a new one shows that the process accepts
		// connections.
		prober: &http.Client{
			Timeout:   probeTimeout,
			Transport: responses.NewTransport(&http.Transport{DialContext: c.Dial, DisableKeepAlives: true}),
		},
		counters: suspectCounters{
			losses:       c.Scope.Counter("suspect_losses"),
			survived:     c.Scope.Counter("suspect_targets_survived"),
			trials:       c.Scope.Counter("suspect_trials"),
			held:         c.Scope.Counter("suspect_waits"),
			notified:     c.Scope.Counter("suspect_peers_told"),
			notifyFailed: c.Scope.Counter("suspect_peers_not_told"),
		},
		list:     poison.New(c.Poison),
		tryEnded: make(chan struct{}),
	}
}

// Begin implements Suspects.
func (s *RegionSuspects) Begin(ctx context.Context, m poison.Fingerprints) (poison.Verdict, *steering.Refusal) {
	verdict, tryEnded := s.check(m, false)
	if verdict.Kind == poison.Wait || verdict.Kind == poison.Hold {
		return s.wait(ctx, m, verdict, tryEnded)
	}
	return s.countTrial(verdict)
}

func (s *RegionSuspects) countTrial(v poison.Verdict) (poison.Verdict, *steering.Refusal) {
	if v.Kind == poison.Trial {
		s.counters.trials.Inc(1)
	}
	return v, v.Refusal
}

// wait checks the request again whenever a similar request may have ended.
func (s *RegionSuspects) wait(ctx context.Context, m poison.Fingerprints, v poison.Verdict, tryEnded <-chan struct{}) (poison.Verdict, *steering.Refusal) {
	s.counters.held.Inc(1)
	holdTimer := time.NewTimer(maxHoldTime)
	defer holdTimer.Stop()
	held := false
	for v.Kind == poison.Wait || v.Kind == poison.Hold {
		select {
		case <-tryEnded:
		case <-holdTimer.C:
			held = true
		case <-ctx.Done():
			return v, waitEndedRefusal(ctx)
		}
		v, tryEnded = s.check(m, held)
	}
	return s.countTrial(v)
}

func (s *RegionSuspects) check(m poison.Fingerprints, held bool) (poison.Verdict, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.list.Check(time.Now(), m, held)
	s.hasWaiters = s.hasWaiters || v.Kind == poison.Wait || v.Kind == poison.Hold
	return v, s.tryEnded
}

func waitEndedRefusal(ctx context.Context) *steering.Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return steering.Refuse(steering.ReasonDeadline, 0, "a like request is tried alone since a target was lost with it")
	}
	return steering.Refuse(steering.ReasonCancelled, 0, "the caller went away")
}

// SetTrialTarget implements Suspects.
func (s *RegionSuspects) SetTrialTarget(m poison.Fingerprints, v poison.Verdict, target steering.Target) {
	if v.Kind != poison.Trial {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.SetTrialTarget(m, target)
}

// End implements Suspects.
func (s *RegionSuspects) End(m poison.Fingerprints, v poison.Verdict, target routing.Target, e TryOutcome) {
	switch e {
	case TryErrorResponse:
		s.record(m, v, target.Name, poison.ErrorResponse)
	case TrySucceeded:
		if s.record(m, v, target.Name, poison.Finished) {
			go s.shareChanges()
		}
	case TryConnectionBroken:
		s.probeAndRecord(m, v, target)
	case TryTimedOut:
		// The caller's deadline has passed, so its refusal can't wait for the probe.
		go s.probeAndRecord(m, v, target)
	default:
		s.record(m, v, target.Name, poison.Inconclusive)
	}
}

// probeAndRecord checks whether the target was lost and records the result. A broken connection
// alone does not show a loss: an overloaded target or a bad link breaks connections too, and
// counting these against requests would refuse harmless ones during a brownout.
func (s *RegionSuspects) probeAndRecord(m poison.Fingerprints, v poison.Verdict, target routing.Target) {
	if s.alive(target.Address) {
		s.counters.survived.Inc(1)
		s.record(m, v, target.Name, poison.Inconclusive)
		return
	}
	s.counters.losses.Inc(1)
	level.Warn(s.config.Log).Log("msg", "target lost with a request in hand", "target", target.Name, "content", uint64(m.Content))
	s.record(m, v, target.Name, poison.TargetLost)
	s.shareChanges()
}

// alive probes the target over a new connection. A target that accepts the connection but is too
// slow to respond is overloaded, not lost. If it counted as lost, every request that timed out
// during an overload would become a suspect.
func (s *RegionSuspects) alive(address string) bool {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace),
		http.MethodGet, "http://"+address+probePath, nil)
	if err != nil {
		return true // an invalid address proves nothing about the target
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

// record ends a try in the list and reports whether there are changes to share with peers.
func (s *RegionSuspects) record(m poison.Fingerprints, v poison.Verdict, target steering.Target, e poison.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.End(time.Now(), m, v, target, e)
	if s.hasWaiters {
		close(s.tryEnded)
		s.tryEnded, s.hasWaiters = make(chan struct{}), false
	}
	return s.list.HasChanged()
}

// shareChanges sends the facts that changed on this entry VM to the region's entry VMs. Changes
// that occur during a round of messages are collected for the next round: however many targets are
// lost at once, each peer receives one message per round.
func (s *RegionSuspects) shareChanges() {
	s.shareMu.Lock()
	defer s.shareMu.Unlock()
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
		if s.notifies(member) {
			calls.Go(func() { s.notify(ctx, member.PeerAddress, request) })
		}
	}
	calls.Wait()
}

// notifies reports whether a member has to be notified. Members that are not live or leaving
// receive the facts with heartbeats once they are back.
func (s *RegionSuspects) notifies(m seam.Member) bool {
	return m.VM != s.config.Self.VM && m.Region == s.config.Self.Region && m.PeerAddress != "" &&
		(m.State == seam.MemberLive || m.State == seam.MemberLeaving)
}

func (s *RegionSuspects) notify(ctx context.Context, address string, request *peerpb.SuspectRequest) {
	if _, err := s.config.Peers.To(address).Suspect(ctx, request); err != nil {
		s.counters.notifyFailed.Inc(1)
		return
	}
	s.counters.notified.Inc(1)
}

// Facts returns the current facts for heartbeats. A heartbeat carries only a few facts, so each
// call starts at a different one.
func (s *RegionSuspects) Facts() []*peerpb.SuspectFact {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts := factsToWire(s.list.Facts(time.Now(), maxRotatedFacts))
	if len(facts) == 0 {
		return nil
	}
	s.factsOffset = (s.factsOffset + factsPerHeartbeat) % len(facts)
	return append(facts[s.factsOffset:], facts[:s.factsOffset]...)
}

// MergeFacts merges the facts of another entry VM into the list.
func (s *RegionSuspects) MergeFacts(facts []*peerpb.SuspectFact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.MergeFacts(time.Now(), factsFromWire(facts))
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
