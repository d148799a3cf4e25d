package relay

import (
	"time"

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
	list *poison.List
	open map[steering.Target][]openCase
}

// openCase is a request that was in the hands of a target that broke off.
type openCase struct {
	mark    poison.Mark
	verdict poison.Verdict
	at      time.Time
}

func newSuspects() *suspects {
	return &suspects{list: poison.New(poison.Config{}), open: make(map[steering.Target][]openCase)}
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

// ended notes how a try ended.
func (s *suspects) ended(now time.Time, m poison.Mark, v poison.Verdict, target steering.Target, o placement.Outcome) {
	switch o {
	case placement.Broken:
		if len(s.open[target]) < maxOpenCases {
			s.open[target] = append(s.open[target], openCase{m, v, now})
			return
		}
	case placement.Served:
		s.settle(now, target, poison.Neither)
		s.list.End(now, m, v, target, poison.Finished)
		return
	case placement.Failed:
		s.settle(now, target, poison.Neither)
		s.list.End(now, m, v, target, poison.Answered)
		return
	case placement.Unreachable, placement.Replaced:
		s.settle(now, target, poison.Lost)
	}
	s.list.End(now, m, v, target, poison.Neither)
}

// settle decides the open cases of a target: of those within deathWait as e says,
// of older ones not against the request.
func (s *suspects) settle(now time.Time, target steering.Target, e poison.Ending) {
	for _, c := range s.open[target] {
		ending := e
		if now.Sub(c.at) > deathWait {
			ending = poison.Neither
		}
		s.list.End(now, c.mark, c.verdict, target, ending)
	}
	delete(s.open, target)
}

// restarted notes that a target has started again under its name: its former start
// ended, and the request in its hands may have been the cause.
func (s *suspects) restarted(now time.Time, target steering.Target) {
	s.settle(now, target, poison.Lost)
}

// tick decides the cases whose time is over.
func (s *suspects) tick(now time.Time) {
	for target, cases := range s.open {
		if now.Sub(cases[len(cases)-1].at) > deathWait {
			s.settle(now, target, poison.Neither)
		}
	}
}

// TakeFacts returns what peers are to know of suspects: what changed, and if all
// is set what they may have missed.
func (f *Relay) TakeFacts(now time.Time, all bool) []poison.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.tick(now)
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
