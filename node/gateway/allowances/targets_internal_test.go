package allowances

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
)

// Guards against VMs of different builds that read the limits of targets differently, and against
// reports on workspaces that a build without such limits cannot read.
func TestGoldenTargetLimits(t *testing.T) {
	conn := &written{}
	s := New(Config{Self: "vm-1"}, conn)
	now := time.Unix(1000, 0)
	limits := []limitEntry{
		(&targetLimit{NamedLimit: placement.NamedLimit{InForce: true, PerSecond: 2.6, AskedAt: now.Add(-7 * time.Second), HeardAt: now.Add(-700 * time.Millisecond)}}).entry(now, 1<<63+1),
		(&targetLimit{NamedLimit: placement.NamedLimit{HeardAt: now}}).entry(now, 2),
	}
	d := datagram{From: "vm-1", Incarnation: 1, Reports: []allowance.Report{{Workspace: 1<<63 + 1}, {Workspace: 2}}}
	s.send(peer{}, d, limits)
	golden.Assert(t, hexText(conn.raw), "golden/datagram-targets.hex")
	got, gotLimits, err := decode(fromHex(t, "golden/datagram-targets.hex"))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, d) && reflect.DeepEqual(gotLimits, limits), "%+v %+v", got, gotLimits)
	rest, err := cbor.UnmarshalFirst(conn.raw, &datagram{})
	assert.Assert(t, err == nil && len(rest) > 0)
}

// Guards against limits in messages of builds that do not tell when the request was sent.
func TestLimitsWithoutAgeOfRequestAreRead(t *testing.T) {
	now := time.Unix(1000, 0)
	_, limits, err := decode(fromHex(t, "golden/datagram-targets-without-request-age.hex"))
	assert.NilError(t, err)
	assert.DeepEqual(t, limits, []limitEntry{{Target: 1<<63 + 1, PerSecond: 2.6, AgeMs: 700}, {Target: 2, Ended: true}})
	assert.Assert(t, limits[0].told().Limit(now).AskedAt.Before(now.Add(-700*time.Millisecond)))
}

// Guards against a limit that is lowered while credits are lent under the higher one.
func TestLoweredLimitEndsItsCredits(t *testing.T) {
	s := New(Config{Self: "vm-1", Scope: nil}, &written{})
	s.SetFleet(Fleet{Live: []Peer{{Name: "vm-1", Region: "r", Address: "127.0.0.1:1"}}, Members: 1})
	target := placement.Target{Name: "t1", Region: "r"}
	now := time.Now()
	for range 40 {
		s.AdmitToTarget(t.Context(), target, placement.NamedLimit{InForce: true, PerSecond: 100, HeardAt: now})
	}
	ran := 0
	for range 40 {
		if _, _, ok := s.AdmitToTarget(t.Context(), target, placement.NamedLimit{InForce: true, PerSecond: 1, HeardAt: now.Add(time.Millisecond)}); ok {
			ran++
		}
	}
	assert.Assert(t, ran <= 3, "%d requests at once for a limit of 1 a second", ran)
}

// Guards against credits that are lent again, or refused, to a VM that has forgotten what it used.
func TestForgottenAccountGetsNoCreditTwice(t *testing.T) {
	for _, c := range []struct {
		perSecond   float64
		least, most int
	}{{0.01, 1, 2}, {1000, 10, 10}} {
		s, target := New(Config{Self: "vm-1"}, &written{}), placement.Target{Name: "t1", Region: "r"}
		s.SetFleet(Fleet{Live: []Peer{{Name: "vm-1", Region: "r", Address: "127.0.0.1:1"}}, Members: 1})
		limit, began, admitted := placement.NamedLimit{InForce: true, PerSecond: c.perSecond, HeardAt: time.Now()}, time.Now(), 0
		for range 10 {
			if _, _, ok := s.AdmitToTarget(t.Context(), target, limit); ok {
				admitted++
			}
			now := time.Now()
			s.mu.Lock()
			for _, a := range s.accounts {
				s.report(now.Add(2*time.Second), a) // returns what it holds
			}
			s.dropIdleAccounts(now.Add(time.Minute))
			assert.Equal(t, len(s.accounts), 0)
			s.mu.Unlock()
		}
		assert.Check(t, admitted >= c.least && admitted <= c.most, "%d of 10 admitted at %v a second", admitted, c.perSecond)
		assert.Check(t, time.Since(began) < 10*allowance.OwnerTimeout/2, "%v for 10 requests", time.Since(began))
	}
}
