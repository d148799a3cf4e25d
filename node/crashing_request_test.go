package node_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashCount returns how often targets of a zone have crashed.
func (f *fleet) crashCount(zone string) (n int) {
	for name, one := range f.targets {
		if strings.Contains(name, "-"+zone+"-") {
			n += one.Crashes()
		}
	}
	return n
}

// Guards against a purchase that crashes a region's targets repeatedly. Its caller sends it through
// both entry VMs of the region in turn while crashed targets restart and one entry VM is replaced.
// The failure occurs if an entry VM's knowledge of the crashing request reaches the others later
// than the caller's retry does, or is lost with that entry VM.
func TestCrashingRequestThroughEveryEntryVM(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		caller := f.caller("a")
		send := func(vm, content string) reply {
			got, err := f.send(caller, callSpec{method: "POST", vm: vm, service: "tickets", body: strings.NewReader(content)})
			assert.NilError(t, err)
			return got
		}
		for i := range 8 {
			send([]string{"ea1", "ea2"}[i%2], crashMarker)
			if i%2 == 1 {
				time.Sleep(time.Second) // crashed targets restart
			}
		}
		assert.Equal(t, f.crashCount("a"), 2)
		assert.Equal(t, f.crashCount("b"), 0)

		f.crash("ea2")
		time.Sleep(time.Second)
		f.start("ea2", "a")
		f.waitForConvergence()
		for _, vm := range []string{"ea1", "ea2"} {
			refused := send(vm, crashMarker)
			assert.Equal(t, refused.reason()+" "+refused.ran(), "poison no", vm)
			assert.Equal(t, send(vm, "harmless").status, 200, vm)
		}
		assert.Equal(t, f.crashCount("a"), 2)
	})
}
