package relay

import (
	"strconv"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/gateway/callers"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

const (
	// crashConfirmWait is how long after a broken exchange a crash of the target may be detected. A
	// crashed target refuses connections at once. A target that responded to another request in the
	// meantime did not crash, and the broken request is not to blame.
	crashConfirmWait = 3 * time.Second
	// maxPendingLosses bounds the broken exchanges per target that wait for a crash to be
	// confirmed.
	maxPendingLosses = 16
	// maxSharedFacts bounds the facts about poison requests in a heartbeat.
	maxSharedFacts = 6
)

// poisonFilter holds back requests that crash each target that runs them.
//
// A broken exchange alone does not count against a request: responses and connections get lost for
// other reasons too, and it would be a fault to refuse a read for 15 minutes because its response
// was lost twice. It counts once the target is also found to have crashed.
type poisonFilter struct {
	list        *poison.List
	pending     map[steering.Target][]pendingLoss
	falseLosses *falseLosses
	log         log.Logger
}

// pendingLoss is a request that was in flight at a target when the exchange broke.
type pendingLoss struct {
	fingerprints poison.Fingerprints
	verdict      poison.Verdict
	sent         time.Time // when it was sent to the target
	brokenAt     time.Time // when the exchange broke
}

func newPoisonFilter(heartbeatInterval time.Duration, logger log.Logger) *poisonFilter {
	return &poisonFilter{list: poison.New(poison.Config{}), pending: make(map[steering.Target][]pendingLoss),
		falseLosses: newFalseLosses(heartbeatInterval), log: logger}
}

// fingerprintsOf returns the fingerprints by which a repeated request is recognized. They cover all
// that the target receives except the request's ID and deadline.
func fingerprintsOf(service steering.Service, r *callers.Request, call platform.RequestInfo) poison.Fingerprints {
	body := r.Body[:min(len(r.Body), poison.FingerprintBytes)]
	content := poison.Content{Service: service, Method: r.Method, URI: r.Path, Headers: []string{call.Key}, Length: r.Length, Body: body}
	return poison.Fingerprints{Content: content.Sum(), BodyComplete: r.BodyRest == nil && len(r.Body) == len(body)}
}

// admit decides whether a request may be sent.
func (s *poisonFilter) admit(now time.Time, m poison.Fingerprints) (poison.Verdict, bool) {
	v := s.list.Check(now, m, true)
	switch v.Kind {
	case poison.Refuse:
		return v, false
	case poison.Wait:
		return poison.Verdict{}, true // a similar request is running; delaying this one would be worse for its caller
	}
	return v, true
}

// attemptEnded records the outcome of an attempt that was sent to a target at sent.
func (s *poisonFilter) attemptEnded(now time.Time, m poison.Fingerprints, v poison.Verdict, target placement.Target, sent time.Time, o placement.Outcome) {
	e := poison.Inconclusive
	switch o {
	case placement.Broken:
		if len(s.pending[target.Name]) < maxPendingLosses {
			s.pending[target.Name] = append(s.pending[target.Name], pendingLoss{m, v, sent, now})
			return
		}
	case placement.Served:
		s.targetResponded(now, target)
		e = poison.Finished
	case placement.Failed:
		s.targetResponded(now, target)
		e = poison.ErrorResponse
	case placement.Shed:
		s.targetResponded(now, target)
	case placement.Unreachable, placement.Replaced:
		s.resolve(now, target.Name, poison.TargetLost, o.String())
	}
	s.list.End(now, m, v, target.Name, e)
}

// targetResponded records that a target has responded, so that it has not crashed.
func (s *poisonFilter) targetResponded(now time.Time, target placement.Target) {
	s.resolve(now, target.Name, poison.Inconclusive, "")
	s.list.TargetResponded(now, target.Name)
	s.falseLosses.responded(now, target.Name, target.Generation)
}

// resolve decides the pending losses of a target. Those that broke within crashConfirmWait end as
// e. Older ones, and requests that were sent after the target's crash, do not count against the
// request. why says for the log how a crash was detected.
func (s *poisonFilter) resolve(now time.Time, target steering.Target, e poison.Outcome, why string) {
	losses := s.pending[target]
	delete(s.pending, target)
	crashedAt := crashTime(losses)
	for _, c := range losses {
		ending := e
		if now.Sub(c.brokenAt) > crashConfirmWait || c.sent.After(crashedAt) {
			ending = poison.Inconclusive
		}
		if held := s.list.EndWithSendTime(now, c.fingerprints, c.verdict, target, c.sent, ending); held {
			_ = s.log.Log("msg", "target lost with a request in hand", "targets", []steering.Target{target}, "why", why,
				"content", strconv.FormatUint(uint64(c.fingerprints.Content), 16), "after_ms", now.Sub(c.brokenAt).Milliseconds(),
				"alone", c.verdict.Kind == poison.Trial) // the log writer counts dropped lines
		}
	}
}

// crashTime returns when a target crashed, given its pending losses since it last responded. Of the
// requests that were in flight when the first connection broke, it takes the one whose connection
// broke last. A proxy in front of a crashed target may accept and break connections for a while;
// requests sent on those did not cause the crash.
func crashTime(losses []pendingLoss) (crashedAt time.Time) {
	for i, c := range losses {
		if i == 0 || c.sent.Before(losses[0].brokenAt) && c.brokenAt.After(crashedAt) {
			crashedAt = c.brokenAt
		}
	}
	return crashedAt
}

// linksCut withdraws what was learned since the links of this VM to all targets were cut. Broken exchanges
// and refused connections then say nothing of the requests.
func (s *poisonFilter) linksCut(now, since time.Time) {
	for target := range s.pending {
		s.resolve(now, target, poison.Inconclusive, "")
	}
	s.list.RetractLossesSince(now, since)
}

// restarted records that a target restarted under its name. Its previous generation ended, and a
// request that was in flight there may be the cause.
func (s *poisonFilter) restarted(now time.Time, target steering.Target) {
	s.resolve(now, target, poison.TargetLost, "restarted")
	s.list.TargetRestarted(target)
}

// tick resolves the pending losses whose wait is over. readAt is when the store was last read, and
// generationOf returns the generation of a target as of then.
func (s *poisonFilter) tick(now, readAt time.Time, generationOf func(steering.Target) (steering.Generation, bool)) {
	for target, losses := range s.pending {
		if now.Sub(losses[len(losses)-1].brokenAt) > crashConfirmWait {
			s.resolve(now, target, poison.Inconclusive, "")
		}
	}
	if running := s.falseLosses.resolve(now, readAt, s.list, generationOf); len(running) > 0 {
		_ = s.log.Log("msg", "targets taken for lost have lived on", "targets", running) // the log writer counts dropped lines
	}
}

// TakePoisonFacts returns the facts about poison requests to send to peers: those that changed
// since the last call and, if all is set, also earlier ones that peers may have missed.
//
// The age of the store read is requested before the lock is taken. The store reader holds its own
// lock while it passes targets to SetTargets, so asking for the age under the lock would deadlock:
// the VM would serve no requests and send no heartbeats.
func (f *Relay) TakePoisonFacts(now time.Time, all bool) []poison.Fact {
	readAt := now.Add(-f.storeAge())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poisonFilter.tick(now, readAt, f.cfg.Balancer.Generation)
	facts := f.poisonFilter.list.TakeChanged()
	if len(facts) > maxSharedFacts {
		facts = facts[:maxSharedFacts]
	}
	if !all {
		return facts
	}
	return append(facts, f.poisonFilter.list.Facts(now, maxSharedFacts-len(facts))...)
}

// MergePoisonFacts merges a peer's facts about poison requests.
func (f *Relay) MergePoisonFacts(now time.Time, facts []poison.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poisonFilter.list.MergeFacts(now, facts)
}
