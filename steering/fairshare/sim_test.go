package fairshare_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/fairshare"
)

// event is something that happens in a fleet in virtual time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// client is a workspace with its callers.
type client struct {
	name   steering.Workspace
	rank   int
	rate   float64 // requests per second over all VMs
	vms    int     // how many VMs they use; 0 means all
	asked  int
	served int
	// held counts the attempts that were refused by the share.
	held int
}

const (
	runTime  = 200 * time.Millisecond
	patience = 1500 * time.Millisecond // a caller retries once, after at most a third of it
	// reportBudget is what a VM may send a second in reports, to at most maxReceivers VMs.
	reportBudget = 1000
	maxReceivers = 64
)

// fleet is a service whose requests several VMs send to targets that share slots and a queue.
type fleet struct {
	now      time.Time
	queue    events
	random   *rand.Rand
	dividers []*fairshare.Divider
	clients  []*client
	slots    int
	waiting  int // longest queue
	load     int // running and waiting requests
	divide   bool
	// deliver decides on each report that a VM sends to another; nil delivers it unchanged at once.
	deliver func(from, to int, data []byte) (delay time.Duration, changed []byte)
	errs    int
	bytes   int // sent in reports
}

// newFleet returns a fleet in which each workspace asks for an equal part of the service's capacity.
func newFleet(vms, workspaces int, usual float64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, uint64(vms))), slots: 40, waiting: 20, divide: true}
	for i := range vms {
		f.dividers = append(f.dividers, fairshare.NewDivider(uint32(i)))
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() { f.report(i) })
	}
	for i := range workspaces {
		f.clients = append(f.clients, &client{name: steering.Workspace(fmt.Sprint("w", i)), rate: usual * f.capacity() / float64(workspaces)})
	}
	return f
}

// resize changes the capacity of the service, and the rates of all workspaces with it.
func (f *fleet) resize(slots int) {
	for _, c := range f.clients {
		c.rate *= float64(slots) / float64(f.slots)
	}
	f.slots, f.waiting = slots, f.waiting*slots/f.slots
}

func (f *fleet) capacity() float64 { return float64(f.slots) / runTime.Seconds() }

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now.Add(d), do}) }

// run lets time pass from an empty service on, with reports of each VM each second, or as often as the budget allows.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for _, c := range f.clients {
		f.arrive(c, end)
	}
	for len(f.queue) > 0 && f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) arrive(c *client, end time.Time) {
	wait := time.Duration(f.random.ExpFloat64() / c.rate * float64(time.Second))
	if f.now.Add(wait).After(end) {
		return
	}
	f.after(wait, func() {
		f.arrive(c, end)
		vms := c.vms
		if vms == 0 {
			vms = len(f.dividers)
		}
		c.asked++
		f.request(c, f.random.IntN(vms), true)
	})
}

// request is one attempt of a caller.
func (f *fleet) request(c *client, vm int, mayRetry bool) {
	d, r := f.dividers[vm], fairshare.Request{Service: "clips", Workspace: c.name, Rank: c.rank}
	retryAfter := runTime
	d.Record(f.now, r)
	ok, hint := true, time.Duration(0)
	if f.divide {
		ok, hint = d.Admit(f.now, r)
	}
	switch {
	case !ok:
		c.held++
		retryAfter = hint
	case f.load < f.slots+f.waiting:
		f.load++
		queued := time.Duration(max(f.load-f.slots, 0)) * runTime / time.Duration(f.slots)
		f.after(queued+time.Duration(float64(runTime)*(0.5+f.random.Float64())), func() {
			f.load--
			c.served++
			d.RecordServed(f.now, r)
		})
		return
	default:
		d.RecordShort(f.now, r.Service, r.Rank)
	}
	if mayRetry && retryAfter <= patience/3 {
		f.after(retryAfter, func() { f.request(c, vm, false) })
	}
}

func (f *fleet) report(from int) {
	pause := time.Second
	if data := f.dividers[from].Report(f.now); data != nil {
		receivers := min(len(f.dividers)-1, maxReceivers)
		pause = max(pause, time.Duration(float64(len(data)*receivers)/reportBudget*float64(time.Second)))
		f.bytes += len(data) * receivers
		for n := range receivers {
			to := (from + 1 + n) % len(f.dividers)
			delay, sent := 10*time.Millisecond, data
			if f.deliver != nil {
				delay, sent = f.deliver(from, to, data)
			}
			if sent != nil {
				f.after(delay, func() {
					if f.dividers[to].Merge(f.now, steering.VM(fmt.Sprint("vm-", from)), sent) != nil {
						f.errs++
					}
				})
			}
		}
	}
	f.after(pause, func() { f.report(from) })
}

// parts returns the part of each client's requests that were served.
func (f *fleet) parts() []float64 {
	var parts []float64
	for _, c := range f.clients {
		parts = append(parts, float64(c.served)/float64(max(c.asked, 1)))
	}
	return parts
}

// take returns the parts and begins to count anew.
func (f *fleet) take() []float64 {
	parts := f.parts()
	for _, c := range f.clients {
		c.asked, c.served, c.held = 0, 0, 0
	}
	return parts
}
