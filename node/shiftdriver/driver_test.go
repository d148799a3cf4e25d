package shiftdriver

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
	"heatherlock/steering/routing"
	"heatherlock/steering/shift"
)

const (
	ttl              = 5 * time.Second
	propagationDelay = 300 * time.Millisecond
)

// system is two receiving zones with a driver each, which use the platform stand-in. It runs
// under synctest.
type system struct {
	t     *testing.T
	store *standin.Store

	mu             sync.Mutex
	declared       *routing.Shift
	inUse          int
	downZones      map[steering.Zone]bool
	allZoneReaders bool
	moved          []movedChange
	newest         int64
	running        sync.WaitGroup
}

// movedChange is one change of the moved share as the platform stored it.
type movedChange struct {
	at    time.Time
	moved int
}

// view is the configuration and membership that one driver sees.
type view struct {
	seam.Members
	system *system
	zone   steering.Zone

	mu       sync.Mutex
	snapshot *routing.Snapshot
}

func (v *view) Self() seam.Member {
	return seam.Member{VM: steering.VM(v.zone) + "-1", Zone: v.zone}
}

func (v *view) InZone(zone steering.Zone) []seam.Member {
	v.system.mu.Lock()
	defer v.system.mu.Unlock()
	if v.system.downZones[zone] {
		return nil
	}
	return []seam.Member{{Zone: zone}}
}

func (v *view) Subscribe(func(*routing.Snapshot)) {}

func (v *view) Snapshot() *routing.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

func (v *view) pools() []Pool {
	v.system.mu.Lock()
	defer v.system.mu.Unlock()
	return []Pool{
		{Place: "sur-1", Service: "tickets", Slots: 10, InUse: v.system.inUse},
		{Place: "sur-2", Service: "tickets", Slots: 10, InUse: v.system.inUse},
	}
}

func newSystem(t *testing.T) *system {
	w := &system{t: t, store: standin.NewStore(standin.Options{}), downZones: map[steering.Zone]bool{}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); w.running.Wait() })
	for _, zone := range []steering.Zone{"sur-a", "sur-b"} {
		w.start(ctx, zone)
	}
	return w
}

func (w *system) start(ctx context.Context, zone steering.Zone) {
	v := &view{system: w, zone: zone}
	d, err := New(Config{
		Configs: v, Members: v, Platform: w.store.As(string(zone), string(zone)), Pools: v.pools, TTL: ttl,
		Leader: func() (int64, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return 1, w.allZoneReaders || !w.downZones[zone]
		},
		CapRefusals: func(string) int64 { return 0 },
	})
	assert.NilError(w.t, err)
	w.running.Go(func() { _ = d.Run(ctx) })
	w.running.Go(func() {
		for ctx.Err() == nil {
			s := w.current(w.progress())
			v.mu.Lock()
			v.snapshot = s
			v.mu.Unlock()
			time.Sleep(propagationDelay)
		}
	})
}

func (w *system) declare(percent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.declared = &routing.Shift{
		Name: "move", Version: int64(percent + 1), Service: "tickets", Route: routing.Route{From: "centro", To: "sur"},
		From: []steering.Place{"centro"}, To: []steering.Place{"sur-1", "sur-2"}, Percent: percent, Step: 20, Every: time.Second,
	}
}

// current returns a snapshot with the record p, which the platform returned. p is read without
// holding w.mu, because a goroutine blocked on a mutex stops synctest's virtual time.
func (w *system) current(p *routing.ShiftProgress) *routing.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	place := func(name steering.Place, zone steering.Zone, region steering.Region) *routing.Place {
		return &routing.Place{Name: name, Zone: zone, Region: region, Targets: []routing.Target{{Name: steering.Target("t-" + name), Service: "tickets", Place: name}}}
	}
	s := &routing.Snapshot{
		Places: map[steering.Place]*routing.Place{
			"centro": place("centro", "centro-a", "centro"), "sur-1": place("sur-1", "sur-a", "sur"), "sur-2": place("sur-2", "sur-b", "sur"),
		},
		Shifts: map[string]*routing.Shift{}, Progress: map[string]*routing.ShiftProgress{},
	}
	if p != nil {
		s.Progress["move"] = p
		if n := len(w.moved); p.Version > w.newest && (n == 0 && p.Moved != 0 || n > 0 && w.moved[n-1].moved != p.Moved) {
			w.moved = append(w.moved, movedChange{time.Now(), p.Moved})
		}
		w.newest = max(w.newest, p.Version)
	}
	if inForce := shift.InForce("move", w.declared, s.Progress["move"], s.Places); inForce != nil {
		s.Shifts["move"] = inForce
	}
	return s
}

func (w *system) progress() *routing.ShiftProgress {
	stored, err := w.store.As("test", "").Get(context.Background(), routing.KindShiftProgress, "move")
	if err != nil {
		return nil
	}
	var p routing.ShiftProgress
	assert.NilError(w.t, json.Unmarshal(stored.Value, &p))
	p.Version = stored.Version
	return &p
}

// steps checks the size of all changes so far and the time between them, and returns the moved
// shares in order. A snapshot contains a change with a delay of up to propagationDelay.
func (w *system) steps() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var shares []int
	last := movedChange{}
	for _, c := range w.moved {
		assert.Assert(w.t, c.moved-last.moved <= 20 && last.moved-c.moved <= 20, "a step from %d to %d", last.moved, c.moved)
		assert.Assert(w.t, last.at.IsZero() || c.at.Sub(last.at) >= ttl-propagationDelay, "steps %s apart", c.at.Sub(last.at))
		shares = append(shares, c.moved)
		last = c
	}
	return shares
}

// Guards against a shift that jumps or moves twice as fast as declared because a step isn't
// conditional on the record before it. Two drivers act as zone reader, replies to their writes
// are lost, the first driver's zone fails half way, and the shift is deleted while the platform
// is slow.
func TestStepsAreMadeOnceByAnyDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		w.declare(60)
		w.store.LoseReplies(2)
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		w.downZones["sur-a"], w.allZoneReaders = true, true
		w.mu.Unlock()
		time.Sleep(30 * time.Second)
		assert.DeepEqual(t, w.steps(), []int{20, 40, 60})
		assert.Equal(t, w.progress().State, string(shift.Moved))
		w.store.Slow(time.Second)
		w.mu.Lock()
		w.declared = nil
		w.mu.Unlock()
		time.Sleep(40 * time.Second)
		assert.DeepEqual(t, w.steps(), []int{20, 40, 60, 40, 20, 0})
		assert.Assert(t, w.progress() == nil, "the record of a deleted shift is removed")
	})
}

// Guards against overloading a receiving region whose slots fill up during a shift, as it
// happens if steps follow the clock alone. The shift must hold, report the reason, write it
// once, and resume by itself.
func TestBusyReceiversHoldAShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		w.declare(60)
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.inUse = 10
		w.mu.Unlock()
		time.Sleep(time.Minute)
		held := w.progress()
		assert.DeepEqual(t, w.steps(), []int{20})
		assert.Equal(t, held.HeldBy, "the tickets slots of place sur-1 are busy")
		time.Sleep(time.Minute)
		assert.Equal(t, w.progress().Version, held.Version, "a held shift causes no writes")
		w.mu.Lock()
		w.inUse = 2
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, w.steps(), []int{20, 40, 60})
	})
}
