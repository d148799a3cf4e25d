package node_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/static"
	"heatherlock/node/tlsconf"
)

// Symptom: a process that nobody admitted takes part in control and gets work.
// Sequence: daemons with certificates of one authority run; one with a
// certificate of another authority starts under a listed VM's name. Cause: peer
// listeners that take anybody's word.
func TestPeersAreAuthenticated(t *testing.T) {
	var ours, others *tlsconf.Authority
	prepare := func(f *fleet) {
		ours, others = newAuthority(t), newAuthority(t)
		f.certificates = func(vm string) static.TLS {
			authority := ours
			if vm == "ea3" {
				authority = others
			}
			certificates, err := authority.IssuePeer(vm)
			assert.NilError(t, err)
			return static.TLS{Peer: certificates}
		}
	}
	inPreparedFleet(t, prepare, func(f *fleet) {
		f.start("ea3", "a")
		f.settle()
		caller := f.caller("a")
		// The targets of the caller's zone go, so that its work crosses zones.
		for name, one := range f.targets {
			if strings.HasPrefix(name, "tickets-a") {
				assert.NilError(t, one.Close())
			}
		}
		f.settle()
		got := f.get(caller, "ea1")
		assert.Assert(t, strings.Contains(strings.Join(got.header.Values("Heatherlock-Via"), " "), "eb"), "%v", got.header)
		answer, err := f.lookup(caller, "ea1", "tickets")
		assert.NilError(t, err)
		for _, entry := range answer.EntryVMs {
			assert.Assert(t, string(entry.VM) != "ea3", "the stranger is offered to callers: %v", answer)
		}
	})
}

func newAuthority(t *testing.T) *tlsconf.Authority {
	a, err := tlsconf.NewAuthority(24 * time.Hour)
	assert.NilError(t, err)
	return a
}
