package witness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a judge that takes a request handled by an outdated configuration for a correct one, or the reverse.
func TestVersionsToldFromOutdatedOnes(t *testing.T) {
	v := NewVersions(time.Second)
	for n, allowed := range [][]Handling{{"old"}, {HandlingNoRoute}, {"old", "new"}} {
		v.Sent(n+1, map[string][]Handling{"p": allowed})
		v.Confirmed(n+1, at(1000*n))
	}
	ask := func(process string, inTouch bool, ms int, got Handling) error {
		return v.Ask(process, "p", inTouch, at(ms)).Answered(got)
	}
	assert.NilError(t, ask("a", true, 1500, "old"), "version 2 is not due yet")
	assert.NilError(t, ask("a", true, 2999, HandlingNoRoute))
	assert.ErrorContains(t, ask("a", true, 3000, HandlingNoRoute), "version 3 confirmed long before; allowed by 2")
	assert.NilError(t, ask("b", false, 9000, HandlingNoRoute), "a process out of touch may be late")
	assert.ErrorContains(t, ask("b", false, 9000, HandlingTooLarge), "no version allows that")
	assert.NilError(t, ask("b", false, 9000, "new"))
	assert.ErrorContains(t, ask("b", false, 9000, HandlingNoRoute), "version 3 it has used before", "it went back")
	v.Lost(at(500))
	assert.NilError(t, ask("c", true, 9000, "old"), "the store has lost the newer ones")
	v.Confirmed(3, at(9500))
	assert.NilError(t, ask("c", true, 10400, HandlingNoRoute))
	assert.ErrorContains(t, ask("c", true, 10500, HandlingNoRoute), "confirmed long before")
}
