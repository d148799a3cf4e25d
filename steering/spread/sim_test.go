package spread_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/spread"
)

// simVM is an entry VM in a simulation with virtual time.
type simVM struct {
	name                      steering.VM
	zone                      steering.Zone
	region                    steering.Region
	rank                      [2]int // in its zone, in its region
	room                      *spread.SendLimiter
	rate                      float64 // bytes per second
	outBusyUntil, inBusyUntil time.Time
	// inForce holds the versions that were in force on this VM, oldest first.
	inForce []inForce
	// wanted is the version that it assembles. receivedContent is how many bytes it has of all that
	// the versions have added.
	wanted, receivedContent int
	retryAt                 map[steering.VM]time.Time
	slotHolder              steering.VM // that has reserved a slot for it
	// bytes counts the bytes of answers that it received, sent the bytes of its requests.
	bytes, sent, requests int
}

// inForce is a version and the time at which it came into force.
type inForce struct {
	version int
	at      time.Time
}

// has returns the version in force at a time.
func (vm *simVM) has(at time.Time) int {
	for n := len(vm.inForce) - 1; n >= 0; n-- {
		if !vm.inForce[n].at.After(at) {
			return vm.inForce[n].version
		}
	}
	return 0
}

// answersWith returns the version with which it answers a request for a version: that version if it
// was in force recently, and otherwise the one in force.
func (vm *simVM) answersWith(at time.Time, version int) int {
	for n, f := range vm.inForce {
		replaced := n+1 < len(vm.inForce) && vm.inForce[n+1].at.Add(keepReplacedFor).Before(at)
		if f.version == version && !f.at.After(at) && !replaced {
			return version
		}
	}
	return vm.has(at)
}

// reached returns when a version or a newer one came into force.
func (vm *simVM) reached(version int) (at time.Time, ok bool) {
	for _, f := range vm.inForce {
		if f.version >= version {
			return f.at, true
		}
	}
	return time.Time{}, false
}

// transmitTime returns how long bytes take on the VM's link.
func (vm *simVM) transmitTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / vm.rate * float64(time.Second))
}

type event struct {
	at time.Time
	vm int
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// update is a version of the configuration: when one VM has read it, and how many bytes of routes
// it adds to the previous version.
type update struct {
	after time.Duration
	bytes int
}

// sim simulates how the configurations that one VM reads are distributed to all others.
type sim struct {
	vms   []*simVM
	queue queue
	start time.Time
	// updates are the versions, starting from 1.
	updates []update
	// requestBytes is the size of a request for parts.
	requestBytes int
	random       *rand.Rand
}

const (
	// compressionRatio is the effect of compression on routes.
	compressionRatio = 3
	outlineBytes     = 1 << 10
	// smallRequest is the size of a request for an outline or a slot.
	smallRequest = 200
	inRegion     = time.Millisecond
	crossRegion  = 35 * time.Millisecond
	// keepReplacedFor is how long a replaced version remains available.
	keepReplacedFor = 2 * time.Second
	// announceDelay is the time after which other VMs know that a VM has a version.
	announceDelay = 5 * time.Millisecond
)

func newSim(size, zones, regions, requestBytes int, megabits float64, updates ...update) *sim {
	s := &sim{start: time.Unix(1000, 0), requestBytes: requestBytes, updates: updates, random: rand.New(rand.NewPCG(1, 2))}
	inZone, inRegion := make(map[int]int), make(map[int]int)
	for n := range size {
		zone := n % zones
		region := zone % regions
		s.vms = append(s.vms, &simVM{name: steering.VM(rune(n)), zone: steering.Zone(rune(zone)), region: steering.Region(rune(region)), rank: [2]int{inZone[zone], inRegion[region]},
			room: spread.NewSendLimiter(megabits), rate: megabits * 1e6 / 8, retryAt: make(map[steering.VM]time.Time)})
		inZone[zone]++
		inRegion[region]++
		s.queue = append(s.queue, event{at: s.start.Add(announceDelay), vm: n})
	}
	for n, c := range updates {
		s.reader().inForce = append(s.reader().inForce, inForce{n + 1, s.start.Add(c.after)})
	}
	heap.Init(&s.queue)
	return s
}

// reader returns the VM that reads the store.
func (s *sim) reader() *simVM { return s.vms[len(s.vms)/2] }

// contentBytes returns how many bytes the configurations up to a version have added.
func (s *sim) contentBytes(version int) (bytes int) {
	for _, c := range s.updates[:version] {
		bytes += c.bytes
	}
	return bytes
}

// run simulates until all VMs have the last version. It returns the longest time from reading a
// version until it, or a newer one, was in force on all VMs.
func (s *sim) run(t *testing.T) (worst time.Duration) {
	t.Helper()
	for steps := 0; s.queue.Len() > 0; steps++ {
		assert.Assert(t, steps < 4_000_000, "the simulation does not end")
		e := heap.Pop(&s.queue).(event)
		vm := s.vms[e.vm]
		if vm != s.reader() && vm.has(e.at) < len(s.updates) {
			heap.Push(&s.queue, event{at: s.step(e.at, vm), vm: e.vm})
		}
	}
	for _, vm := range s.vms {
		for n, c := range s.updates {
			at, ok := vm.reached(n + 1)
			assert.Assert(t, ok)
			worst = max(worst, at.Sub(s.start.Add(c.after)))
		}
	}
	return worst
}

// behindFor returns how long a version newer than the VM's has existed.
func (s *sim) behindFor(now time.Time, vm *simVM) time.Duration {
	return now.Sub(s.start.Add(s.updates[vm.has(now)].after))
}

// step lets a VM send its next request, and returns when it continues.
func (s *sim) step(now time.Time, vm *simVM) time.Time {
	tooOld := max(vm.has(now), vm.wanted-1)
	var sources []spread.Source
	byName := make(map[steering.VM]*simVM)
	for _, other := range s.vms {
		if version := other.has(now.Add(-announceDelay)); version > tooOld && !now.Before(vm.retryAt[other.name]) {
			byName[other.name] = other
			sources = append(sources, spread.Source{VM: other.name, Zone: other.zone, Region: other.region, Version: uint64(version)})
		}
	}
	asker := spread.Requester{Zone: vm.zone, Region: vm.region, ZoneRank: vm.rank[0], RegionRank: vm.rank[1], Waited: s.behindFor(now, vm), SlotHolder: vm.slotHolder}
	source, found := spread.ChooseSource(asker, sources, s.random.IntN)
	if !found {
		return now.Add(30 * time.Millisecond)
	}
	return s.request(now, vm, byName[source.VM])
}

// request sends a request from one VM to another, and returns when the first continues.
func (s *sim) request(now time.Time, vm, from *simVM) time.Time {
	latency := inRegion
	if from.region != vm.region {
		latency = crossRegion
	}
	vm.requests++
	hasOutline := vm.wanted > vm.has(now)
	forSlot := hasOutline && vm.slotHolder != from.name && s.requestBytes > 2<<10
	requestBytes := smallRequest
	if hasOutline && !forSlot {
		requestBytes = s.requestBytes
	}
	vm.sent += requestBytes
	vm.outBusyUntil = later(vm.outBusyUntil, now).Add(vm.transmitTime(requestBytes))
	from.inBusyUntil = later(from.inBusyUntil, vm.outBusyUntil.Add(latency)).Add(from.transmitTime(requestBytes))
	arrived := from.inBusyUntil

	a := s.askFor(vm, from, arrived, hasOutline, forSlot)
	wait, fits := from.room.Turn(arrived, a)
	if fits {
		wait, fits = from.room.Reserve(arrived, a)
	}
	if !fits {
		vm.retryAt[from.name] = arrived.Add(latency + wait)
		vm.slotHolder = ""
		return arrived.Add(latency)
	}
	from.outBusyUntil = later(from.outBusyUntil, arrived).Add(from.transmitTime(a.Bytes))
	vm.inBusyUntil = later(vm.inBusyUntil, from.outBusyUntil.Add(latency-from.transmitTime(a.Bytes))).Add(vm.transmitTime(a.Bytes))
	done := later(vm.inBusyUntil, from.outBusyUntil.Add(latency))
	vm.bytes += a.Bytes
	switch {
	case a.Outline:
		vm.wanted = max(vm.wanted, from.has(arrived))
	case forSlot:
		vm.slotHolder = from.name
	default:
		vm.slotHolder = from.name
		vm.receivedContent += a.Bytes
	}
	if vm.wanted > vm.has(done) && vm.receivedContent >= s.contentBytes(vm.wanted) {
		vm.inForce = append(vm.inForce, inForce{vm.wanted, done})
		vm.slotHolder = ""
	}
	return done
}

// askFor returns the load that a request puts on the link of the VM that answers it.
func (s *sim) askFor(vm, from *simVM, arrived time.Time, hasOutline, forSlot bool) spread.LinkLoad {
	piece := spread.PieceBytes(vm.rate*8/1e6) / compressionRatio
	a := spread.LinkLoad{From: string(vm.name), Piece: piece, Outline: !hasOutline || from.answersWith(arrived, vm.wanted) != vm.wanted}
	left := s.contentBytes(vm.wanted) - vm.receivedContent
	switch {
	case a.Outline:
		a.Bytes = outlineBytes
	case forSlot:
		a.Bytes = smallRequest
	default:
		a.Bytes = min(left, piece)
		a.Last = left == a.Bytes
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
