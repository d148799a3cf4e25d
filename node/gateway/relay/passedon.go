package relay

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"heatherlock/steering"
	"heatherlock/steering/presence"
)

// errProcessGone reports that a request was given up because the process that had it is not expected to answer
// any more. Its connection may hang.
var errProcessGone = errors.New("the entry VM that has the request is not expected to answer it any more")

// process is a process of another entry VM.
type process struct {
	vm          steering.VM
	incarnation presence.Incarnation
}

// passedOn are the requests that one process has for this VM.
type passedOn struct {
	requests int
	// gone is done once the process is not expected to answer.
	gone   context.Context
	giveUp context.CancelFunc
}

// passedOnTable holds the requests that other entry VMs have for this one.
type passedOnTable map[process]*passedOn

// begin adds a request, which is to be given up once gone is done. f.mu must be held.
func (t passedOnTable) begin(p process) (gone context.Context) {
	at := t[p]
	if at == nil {
		at = &passedOn{}
		at.gone, at.giveUp = context.WithCancel(context.Background())
		t[p] = at
	}
	at.requests++
	return at.gone
}

// end removes a request. f.mu must be held.
func (t passedOnTable) end(p process, gone context.Context) {
	at := t[p]
	if at == nil || at.gone != gone {
		return // given up
	}
	if at.requests--; at.requests == 0 {
		at.giveUp() // releases the context
		delete(t, p)
	}
}

// processes returns the processes that have requests for this VM.
func (f *Relay) processes() []process {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]process, 0, len(f.passedOn))
	for p := range f.passedOn {
		all = append(all, p)
	}
	return all
}

// GiveUpAbandoned gives up the requests that were passed on to processes which are not expected to answer them
// any more. A VM that leaves still answers.
func (f *Relay) GiveUpAbandoned(processOf func(steering.VM) presence.Process) {
	for _, p := range f.processes() {
		now := processOf(p.vm)
		if !now.Abandons(p.incarnation) {
			continue
		}
		f.mu.Lock()
		at := f.passedOn[p]
		delete(f.passedOn, p)
		f.mu.Unlock()
		if at == nil {
			continue // all have been answered
		}
		at.giveUp()
		restarted := now.Restarted(p.incarnation)
		f.cfg.Metrics.GivenUp(now.State, restarted, at.requests)
		_ = f.cfg.Log.Log("msg", "requests passed on are given up", "peer", p.vm, "state", now.State.String(), "restarted", restarted, "requests", at.requests) // the log writer counts dropped lines
	}
}

// awaitProcess returns a context that is cancelled with errProcessGone once a process is not expected to answer
// any more. end must be called when the attempt has ended.
func (f *Relay) awaitProcess(ctx context.Context, p process) (awaiting context.Context, end func()) {
	f.mu.Lock()
	gone := f.passedOn.begin(p)
	f.mu.Unlock()
	awaiting, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(gone, func() { cancel(errProcessGone) })
	return awaiting, func() {
		stop()
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.passedOn.end(p, gone)
	}
}

// waitingVMs counts the requests that this VM has for others, by the VM that passed them on.
type waitingVMs map[steering.VM]int

func (w waitingVMs) begin(vm steering.VM) { w[vm]++ }

func (w waitingVMs) end(vm steering.VM) {
	if w[vm]--; w[vm] <= 0 {
		delete(w, vm)
	}
}

// RequestPeers returns the VMs for which this one has requests, and those that have requests for it.
func (f *Relay) RequestPeers() []steering.VM {
	all := f.WaitingVMs()
	for _, p := range f.processes() {
		all = append(all, p.vm)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// WaitingVMs returns the VMs for which this one has requests.
func (f *Relay) WaitingVMs() []steering.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]steering.VM, 0, len(f.waitingVMs))
	for vm := range f.waitingVMs {
		all = append(all, vm)
	}
	slices.Sort(all)
	return all
}
