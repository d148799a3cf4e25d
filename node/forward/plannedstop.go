package forward

import (
	"sync"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

// errCutByStop is the cancellation cause for the tries on a target whose planned stop allows
// cutting them at its deadline.
var errCutByStop = errors.New("forward: cut by a planned stop at its deadline")

// activeTries is the set of tries that are in flight on targets. It is safe for concurrent use.
type activeTries struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

func (f *activeTries) add(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = make(map[*attempt]struct{})
	}
	f.all[a] = struct{}{}
}

func (f *activeTries) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, a)
}

func (f *activeTries) onTargets(covered func(steering.Target) bool) []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*attempt
	for a := range f.all {
		if covered(a.target.Name) {
			found = append(found, a)
		}
	}
	return found
}

// CancelTries cancels the tries of this entry VM on the targets for which covered returns true and
// returns how many there were. It must only be called for a planned stop whose operator asked for
// requests to be cut.
func (f *Forwarder) CancelTries(covered func(steering.Target) bool) int {
	found := f.activeTries.onTargets(covered)
	for _, a := range found {
		a.cut(errCutByStop)
	}
	f.counters.cut.Inc(int64(len(found)))
	return len(found)
}

// cutByStopRefusal returns the refusal for a request that a planned stop canceled.
func cutByStopRefusal(sent bool) *steering.Refusal {
	return &steering.Refusal{Reason: steering.ReasonStopped, Ran: ranIf(sent), Detail: "a planned stop cut the request at its deadline, as its operator asked"}
}
