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
	// deathWait is how long after a broken exchange the target's death may show.
	// A crashed target refuses connections at once; one that served another
	// request meanwhile has lived on, and its request is no culprit.
	deathWait = 3 * time.Second
	// maxOpenCases bounds the broken exchanges that wait for that, a target.
	maxOpenCases = 16
	// toldFacts bounds the facts in a heartbeat.
	toldFacts = 6
)

// suspects holds back requests that crash each target that runs them.
//
// A broken exchange alone accuses nobody: targets lose answers and connections
// in other ways too, and a read that is held back for a quarter of an hour
// because its answer was lost twice would be a fault of our own. It counts once
// the target is found dead as well.
type suspects struct {
	list      *poison.List
	open      map[steering.Target][]openCase
	survivors *survivors
	log       log.Logger
}

// openCase is a request that was in the hands of a target that broke off.
type openCase struct {
	mark    poison.Mark
	verdict poison.Verdict
	sent    time.Time // when the target was given it
	at      time.Time // when the exchange broke
}

func newSuspects(targetBeat time.Duration, logger log.Logger) *suspects {
	return &suspects{list: poison.New(poison.Config{}), open: make(map[steering.Target][]openCase),
		survivors: newSurvivors(targetBeat), log: logger}
}

// markOf returns how a request is recognised when it comes again: by all that
// reaches the target but its id and its deadline.
func markOf(service steering.Service, r *callers.Request, call platform.Call) poison.Mark {
	body := r.Body[:min(len(r.Body), poison.FingerprintBytes)]
	content := poison.Content{Service: service, Method: r.Method, URI: r.Path, Headers: []string{call.Key}, Length: r.Length, Body: body}
	return poison.Mark{Content: content.Sum(), Whole: r.Rest == nil && len(r.Body) == len(body)}
}

// enter decides whether a request may be sent.
func (s *suspects) enter(now time.Time, m poison.Mark) (poison.Verdict, bool) {
	v := s.list.Check(now, m, true)
	switch v.Kind {
	case poison.Refuse:
		return v, false
	case poison.Wait:
		return poison.Verdict{}, true // a like request runs; holding this one back would be worse for its caller
	}
	return v, true
}

// ended notes how a try ended that was given to a target at sent.
func (s *suspects) ended(now time.Time, m poison.Mark, v poison.Verdict, target placement.Target, sent time.Time, o placement.Outcome) {
	e := poison.Neither
	switch o {
	case placement.Broken:
		if len(s.open[target.Name]) < maxOpenCases {
			s.open[target.Name] = append(s.open[target.Name], openCase{m, v, sent, now})
			return
		}
	case placement.Served:
		s.lives(now, target)
		e = poison.Finished
	case placement.Failed:
		s.lives(now, target)
		e = poison.Answered
	case placement.Shed:
		s.lives(now, target)
	case placement.Unreachable, placement.Replaced:
		s.settle(now, target.Name, poison.Lost, o.String())
	}
	s.list.End(now, m, v, target.Name, e)
}

// lives notes that a target has answered.
func (s *suspects) lives(now time.Time, target placement.Target) {
	s.settle(now, target.Name, poison.Neither, "")
	s.list.Answered(now, target.Name)
	s.survivors.answered(now, target.Name, target.Generation)
}

// settle decides the open cases of a target: of those within deathWait as e says,
// of older ones and of those it was given after its death not against the request. why
// tells how a death was found.
func (s *suspects) settle(now time.Time, target steering.Target, e poison.Ending, why string) {
	cases := s.open[target]
	delete(s.open, target)
	died := diedAt(cases)
	for _, c := range cases {
		ending := e
		if now.Sub(c.at) > deathWait || c.sent.After(died) {
			ending = poison.Neither
		}
		if held := s.list.EndSent(now, c.mark, c.verdict, target, c.sent, ending); held {
			_ = s.log.Log("msg", "target lost with a request in hand", "targets", []steering.Target{target}, "why", why,
				"content", strconv.FormatUint(uint64(c.mark.Content), 16), "after_ms", now.Sub(c.at).Milliseconds(),
				"alone", c.verdict.Kind == poison.Trial) // the writer counts what it drops
		}
	}
}

// diedAt returns when a target died that has shown no life since the first of the cases:
// when the last of the requests broke off that it had in hand at the first break. The
// connections to a dead target may be taken and broken for a while, by a proxy in front
// of it; what was sent on those did not take it down.
func diedAt(cases []openCase) (died time.Time) {
	for i, c := range cases {
		if i == 0 || c.sent.Before(cases[0].at) && c.at.After(died) {
			died = c.at
		}
	}
	return died
}

// restarted notes that a target has started again under its name: its former start
// ended, and the request in its hands may have been the cause.
func (s *suspects) restarted(now time.Time, target steering.Target) {
	s.settle(now, target, poison.Lost, "restarted")
	s.list.Restarted(target)
}

// tick decides the cases whose time is over. readAt is when the store was read last, and
// known returns the start of a target as of then.
func (s *suspects) tick(now, readAt time.Time, known func(steering.Target) (steering.Generation, bool)) {
	for target, cases := range s.open {
		if now.Sub(cases[len(cases)-1].at) > deathWait {
			s.settle(now, target, poison.Neither, "")
		}
	}
	if lived := s.survivors.settle(now, readAt, s.list, known); len(lived) > 0 {
		_ = s.log.Log("msg", "targets taken for lost have lived on", "targets", lived) // the writer counts what it drops
	}
}

// TakeFacts returns what peers are to know of suspects: what changed, and if all
// is set what they may have missed.
//
// What goes wrong when the age of the store's read is asked for under the lock: whoever reads
// the store holds its own lock while it tells the targets here, and each waits for the other
// for good. The VM then answers nobody, and tells nobody that it lives.
func (f *Relay) TakeFacts(now time.Time, all bool) []poison.Fact {
	readAt := now.Add(-f.storeAge())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.tick(now, readAt, f.cfg.Balancer.Generation)
	facts := f.suspects.list.TakeChanged()
	if len(facts) > toldFacts {
		facts = facts[:toldFacts]
	}
	if !all {
		return facts
	}
	return append(facts, f.suspects.list.Facts(now, toldFacts-len(facts))...)
}

// LearnFacts takes in what a peer knows of suspects.
func (f *Relay) LearnFacts(now time.Time, facts []poison.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.list.Learn(now, facts)
}
