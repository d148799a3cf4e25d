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

// Guards against a healthy target being ejected because its grants were released
// unused, which happens when a cap refuses the request or the grant comes from a
// former owner. An unused grant must not count as an unreachable target.
func TestUnusedGrantsDoNotAffectTargetHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 2, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		for range 50 {
			grant, err := z.vms[0].admit.Acquire(t.Context(), seam.AdmitRequest{Service: testService, Place: testPlace})
			assert.NilError(t, err)
			grant.Done(unusedOutcome())
		}
		time.Sleep(time.Second)
		assert.Equal(t, z.free(z.owner()), capacity)
	})
}

// Guards against a crashed target that isn't ejected, so that callers get errors
// for as long as it is down, or that isn't used again after it recovers.
func TestCrashedTargetIsEjectedAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		for _, e := range z.vms {
			z.callers(e, 6, service, time.Minute)
		}
		downTarget, loadOnly := z.targets["target-0"], z.targets["target-1"]
		downTarget.setDown(true)
		loadOnly.setDown(true)
		loadOnly.setAnswersLoadWhileDown()
		time.Sleep(20 * time.Second)
		before, attemptsWhileDown := downTarget.counts()
		assert.Assert(t, attemptsWhileDown <= 30, "%d attempts on a crashed target", attemptsWhileDown)
		_, attemptsWhileDown = loadOnly.counts()
		assert.Assert(t, attemptsWhileDown <= 30, "%d attempts on a crashed target whose load endpoint responds", attemptsWhileDown)
		downTarget.setDown(false)
		time.Sleep(30 * time.Second)
		after, _ := downTarget.counts()
		assert.Assert(t, after-before > 500, "%d requests after the target recovered", after-before)
	})
}

// Guards against slots of a target that works again and stay closed for as long as no requests come.
func TestRecoveredTargetReturnsWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		down := z.targets["target-0"]
		down.setDown(true)
		for _, e := range z.vms {
			z.callers(e, 6, service, 3*time.Second)
		}
		time.Sleep(4 * time.Second)
		assert.Assert(t, z.free(z.owner()) < capacity)
		down.setDown(false)
		time.Sleep(20 * time.Second)
		assert.Equal(t, z.free(z.owner()), capacity)
	})
}

// Guards against requests from other zones exceeding the limit of the link into a
// place because each of several entry VMs applies the limit on its own.
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
						grant, err := e.admit.Acquire(ctx, seam.AdmitRequest{Service: testService, Place: testPlace, CrossZone: true})
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

// Guards against a backend with cold caches receiving its full load at once when
// two shifts move work to one place within seconds: without a ramp, or with one
// ramp for each shift.
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
