package node_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/static"
	"heatherlock/node/tlsconf"
)

// Guards against a foreign process that joins the members and receives requests: daemons with
// certificates of one authority run, and a process with a certificate of another authority starts
// under the name of a listed VM. The failure occurs if peer listeners do not verify certificates.
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
	runPreparedFleetTest(t, prepare, func(f *fleet) {
		f.start("ea3", "a")
		f.waitForConvergence()
		caller := f.caller("a")
		// Closes the targets of the caller's zone, so that its requests are forwarded to the other
		// zone.
		for name, one := range f.targets {
			if strings.HasPrefix(name, "tickets-a") {
				assert.NilError(t, one.Close())
			}
		}
		f.waitForConvergence()
		got := f.get(caller, "ea1")
		assert.Assert(t, strings.Contains(strings.Join(got.header.Values("Heatherlock-Via"), " "), "eb"), "%v", got.header)
		answer, err := f.lookup(caller, "ea1", "tickets")
		assert.NilError(t, err)
		for _, entry := range answer.EntryVMs {
			assert.Assert(t, string(entry.VM) != "ea3", "the unauthenticated entry VM is in a look-up answer: %v", answer)
		}
	})
}

func newAuthority(t *testing.T) *tlsconf.Authority {
	a, err := tlsconf.NewAuthority(24 * time.Hour)
	assert.NilError(t, err)
	return a
}
