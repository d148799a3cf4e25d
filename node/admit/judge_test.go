package admit

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Symptom: a healthy target gets no work. Sequence: its grants were given back
// unused, because a cap refused the request or the grant came from an entry VM
// that was no longer the owner. Cause: "not sent" was taken for "unreachable".
func TestUnusedGrantsSayNothingOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 2, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		for range 50 {
			grant, err := z.vms[0].admit.Acquire(t.Context(), seam.AdmitRequest{Service: testService, Place: testPlace})
			assert.NilError(t, err)
			grant.Done(notSent())
		}
		time.Sleep(time.Second)
		assert.Equal(t, z.free(z.owner()), capacity)
	})
}

// Symptom: callers get errors for as long as a target is down. Sequence: a
// target's process dies and comes back after a while. Cause: nothing took it
// out, or nothing let it back in.
func TestDeadTargetIsPassedOverAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		for _, e := range z.vms {
			z.callers(e, 6, service, time.Minute)
		}
		dead, liar := z.targets["target-0"], z.targets["target-1"]
		dead.setDown(true)
		liar.setDown(true)
		liar.setLies()
		time.Sleep(20 * time.Second)
		before, missed := dead.counts()
		assert.Assert(t, missed <= 30, "%d tries on a dead target", missed)
		_, missed = liar.counts()
		assert.Assert(t, missed <= 30, "%d tries on a dead target whose load endpoint answers", missed)
		dead.setDown(false)
		time.Sleep(30 * time.Second)
		after, _ := dead.counts()
		assert.Assert(t, after-before > 500, "%d requests after it came back", after-before)
	})
}

// Symptom: work from other zones fills the link into a place. Sequence: it
// arrives at several entry VMs at once. Cause: each counted for itself.
func TestLinkLimitHoldsOverAllEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3
		z := newZone(t, 4, targets, slots)
		defer z.close()
		z.publish(func(s *routing.Snapshot) {
			place := *s.Places[testPlace]
			place.LinkInFlight = limit
			s.Places = map[steering.Place]*routing.Place{testPlace: &place}
		})
		time.Sleep(time.Second)
		var mu sync.Mutex
		inFlight, peak, full := 0, 0, 0
		for _, e := range z.vms {
			for range 5 {
				z.work.Go(func() {
					for range 20 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						grant, err := e.admit.Acquire(ctx, seam.AdmitRequest{Service: testService, Place: testPlace, Foreign: true})
						cancel()
						mu.Lock()
						if err != nil {
							assert.Equal(t, err.(*steering.Refusal).Reason, steering.ReasonLinkFull)
							full++
							mu.Unlock()
							time.Sleep(service)
							continue
						}
						inFlight++
						peak = max(peak, inFlight)
						mu.Unlock()
						time.Sleep(service)
						mu.Lock()
						inFlight--
						mu.Unlock()
						grant.Done(seam.Outcome{Kind: seam.OutcomeOK, ReportedInFlight: -1, ReportedSlots: -1})
					}
				})
			}
		}
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, peak, limit)
		assert.Assert(t, full > 0)
	})
}

// Symptom: a back end with cold caches gets its whole load at once. Sequence:
// two shifts bring work into one place within seconds. Cause: no ramp, or one
// for each shift.
func TestShiftsIntoOnePlaceShareItsRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 2, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		move := func(names ...string) {
			z.publish(func(s *routing.Snapshot) {
				s.Shifts = maps.Clone(s.Shifts)
				if s.Shifts == nil {
					s.Shifts = map[string]*routing.Shift{}
				}
				for _, name := range names {
					s.Shifts[name] = &routing.Shift{Name: name, To: []steering.Place{testPlace}, Moved: 50}
				}
				s.Version += int64(len(names))
			})
		}
		move("one")
		for _, e := range z.vms {
			z.callers(e, 20, service, 30*time.Second)
		}
		time.Sleep(time.Second)
		move("one", "two")
		time.Sleep(500 * time.Millisecond)
		atFirst := z.running()
		assert.Assert(t, atFirst <= capacity/4, "%d of %d slots in use at first", atFirst, capacity)
		time.Sleep(20 * time.Second)
		assert.Assert(t, z.running() >= capacity*8/10, "%d of %d slots in use in the end", z.running(), capacity)
		assert.Assert(t, z.refusedFor(steering.ReasonRampLimited) > 0)
	})
}

func (z *zone) running() (n int) {
	for _, target := range z.targets {
		target.mu.Lock()
		n += target.inFlight
		target.mu.Unlock()
	}
	return n
}
