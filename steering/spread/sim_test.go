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

// simVM is an entry VM of a deployment that is played with virtual time: what it has, and
// until when its link is busy each way.
type simVM struct {
	name    steering.VM
	zone    steering.Zone
	region  steering.Region
	rank    [2]int // in its zone, in its region
	room    *spread.Room
	rate    float64 // bytes a second
	out, in time.Time
	// inForce holds the versions that came into force here, oldest first.
	inForce []inForce
	// aim is the version of the outline that it goes by, got how many bytes of all that
	// configurations ever added it has.
	aim, got int
	avoid    map[steering.VM]time.Time
	place    steering.VM // that keeps a place for it
	// bytes are those told to it, sent those of its questions.
	bytes, sent, asked int
}

// inForce is a version and when it came into force.
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

// tells returns the version by which it answers at a time whoever asks for one: that one if it
// was in force of late, else that in force.
func (vm *simVM) tells(at time.Time, version int) int {
	for n, f := range vm.inForce {
		replaced := n+1 < len(vm.inForce) && vm.inForce[n+1].at.Add(recentFor).Before(at)
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

// sending is how long bytes take on the VM's link.
func (vm *simVM) sending(bytes int) time.Duration {
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

// update is a version of the configuration: when one VM has read it, and how many bytes of
// routes it adds to the one before.
type update struct {
	after time.Duration
	bytes int
}

// sim plays how configurations that one VM reads reach all others.
type sim struct {
	vms   []*simVM
	queue queue
	start time.Time
	// updates are the versions from 1 on.
	updates []update
	// question is how many bytes a question for parts takes.
	question int
	draw     *rand.Rand
}

const (
	// packed is what compression makes of routes.
	packed       = 3
	outlineBytes = 1 << 10
	// shortQuestion is a question for an outline or a place.
	shortQuestion = 200
	inRegion      = time.Millisecond
	crossRegion   = 35 * time.Millisecond
	// recentFor is how long a version that was replaced is still told.
	recentFor = 2 * time.Second
	// heard is how long after a VM has it the others know: it announces it.
	heard = 5 * time.Millisecond
)

func newSim(size, zones, regions, question int, megabits float64, updates ...update) *sim {
	s := &sim{start: time.Unix(1000, 0), question: question, updates: updates, draw: rand.New(rand.NewPCG(1, 2))}
	inZone, inRegion := make(map[int]int), make(map[int]int)
	for n := range size {
		zone := n % zones
		region := zone % regions
		s.vms = append(s.vms, &simVM{name: steering.VM(rune(n)), zone: steering.Zone(rune(zone)), region: steering.Region(rune(region)), rank: [2]int{inZone[zone], inRegion[region]},
			room: spread.NewRoom(megabits), rate: megabits * 1e6 / 8, avoid: make(map[steering.VM]time.Time)})
		inZone[zone]++
		inRegion[region]++
		s.queue = append(s.queue, event{at: s.start.Add(heard), vm: n})
	}
	for n, c := range updates {
		s.reader().inForce = append(s.reader().inForce, inForce{n + 1, s.start.Add(c.after)})
	}
	heap.Init(&s.queue)
	return s
}

// reader is the VM that reads the store.
func (s *sim) reader() *simVM { return s.vms[len(s.vms)/2] }

// total is how many bytes configurations up to a version have added.
func (s *sim) total(version int) (bytes int) {
	for _, c := range s.updates[:version] {
		bytes += c.bytes
	}
	return bytes
}

// run plays until all have the last version, and returns how long after it was read any
// version, or a newer one, came into force on the last VM.
func (s *sim) run(t *testing.T) (worst time.Duration) {
	t.Helper()
	for steps := 0; s.queue.Len() > 0; steps++ {
		assert.Assert(t, steps < 4_000_000, "no end")
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

// knownFor is how long a VM has known of a version newer than the one it has.
func (s *sim) knownFor(now time.Time, vm *simVM) time.Duration {
	return now.Sub(s.start.Add(s.updates[vm.has(now)].after))
}

// step lets a VM ask, and returns when it goes on.
func (s *sim) step(now time.Time, vm *simVM) time.Time {
	outgrown := max(vm.has(now), vm.aim-1)
	var sources []spread.Source
	byName := make(map[steering.VM]*simVM)
	for _, other := range s.vms {
		if version := other.has(now.Add(-heard)); version > outgrown && !now.Before(vm.avoid[other.name]) {
			byName[other.name] = other
			sources = append(sources, spread.Source{VM: other.name, Zone: other.zone, Region: other.region, Version: uint64(version)})
		}
	}
	asker := spread.Asker{Zone: vm.zone, Region: vm.region, ZoneRank: vm.rank[0], RegionRank: vm.rank[1], Waited: s.knownFor(now, vm), Place: vm.place}
	source, found := spread.Choose(asker, sources, s.draw.IntN)
	if !found {
		return now.Add(30 * time.Millisecond)
	}
	return s.ask(now, vm, byName[source.VM])
}

// ask lets a VM ask another, and returns when it goes on.
func (s *sim) ask(now time.Time, vm, from *simVM) time.Time {
	way := inRegion
	if from.region != vm.region {
		way = crossRegion
	}
	vm.asked++
	drafts := vm.aim > vm.has(now)
	forPlace := drafts && vm.place != from.name && s.question > 2<<10
	question := shortQuestion
	if drafts && !forPlace {
		question = s.question
	}
	vm.sent += question
	vm.out = later(vm.out, now).Add(vm.sending(question))
	from.in = later(from.in, vm.out.Add(way)).Add(from.sending(question))
	arrived := from.in

	a := s.askOf(vm, from, arrived, drafts, forPlace)
	wait, fits := from.room.Turn(arrived, a)
	if fits {
		wait, fits = from.room.Promise(arrived, a)
	}
	if !fits {
		vm.avoid[from.name] = arrived.Add(way + wait)
		vm.place = ""
		return arrived.Add(way)
	}
	from.out = later(from.out, arrived).Add(from.sending(a.Bytes))
	vm.in = later(vm.in, from.out.Add(way-from.sending(a.Bytes))).Add(vm.sending(a.Bytes))
	done := later(vm.in, from.out.Add(way))
	vm.bytes += a.Bytes
	switch {
	case a.Outline:
		vm.aim = max(vm.aim, from.has(arrived))
	case forPlace:
		vm.place = from.name
	default:
		vm.place = from.name
		vm.got += a.Bytes
	}
	if vm.aim > vm.has(done) && vm.got >= s.total(vm.aim) {
		vm.inForce = append(vm.inForce, inForce{vm.aim, done})
		vm.place = ""
	}
	return done
}

// askOf returns what a question that arrives asks of the link of the VM that is asked.
func (s *sim) askOf(vm, from *simVM, arrived time.Time, drafts, forPlace bool) spread.Ask {
	piece := spread.PieceBytes(vm.rate*8/1e6) / packed
	a := spread.Ask{From: string(vm.name), Piece: piece, Outline: !drafts || from.tells(arrived, vm.aim) != vm.aim}
	left := s.total(vm.aim) - vm.got
	switch {
	case a.Outline:
		a.Bytes = outlineBytes
	case forPlace:
		a.Bytes = shortQuestion
	default:
		a.Bytes = min(left, piece)
		a.End = left == a.Bytes
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
