package forward

import (
	"sync"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

// errCut ends the tries on a target whose planned stop allows it.
var errCut = errors.New("forward: cut by a planned stop at its deadline")

// flights are the tries that targets hold now.
type flights struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

func (f *flights) add(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = make(map[*attempt]struct{})
	}
	f.all[a] = struct{}{}
}

func (f *flights) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, a)
}

func (f *flights) on(covered func(steering.Target) bool) []*attempt {
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

// Cut ends what the targets covered still run for this entry VM and returns
// how many tries that were. Only an operator who asked for it in a planned stop
// may cause that.
func (f *Forwarder) Cut(covered func(steering.Target) bool) int {
	found := f.flights.on(covered)
	for _, a := range found {
		a.cut(errCut)
	}
	f.counters.cut.Inc(int64(len(found)))
	return len(found)
}

// wasCut is the refusal of a request that a planned stop cut.
func wasCut(sent bool) *steering.Refusal {
	return &steering.Refusal{Reason: steering.ReasonStopped, Ran: ranIf(sent), Detail: "a planned stop cut the request at its deadline, as its operator asked"}
}
