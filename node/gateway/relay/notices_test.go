package relay_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

// Guards against statements of a target that are lost because its response failed, broke off or had
// no length.
func TestTargetIsHeardInEveryKindOfResponse(t *testing.T) {
	for name, fault := range map[string]endpoint.Fault{"failed": endpoint.Fail, "cut": endpoint.Cut, "without length": endpoint.Unframed,
		"shed": endpoint.Shed, "unproven": endpoint.Unproven, "early": endpoint.Early} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 2, nil)
			g.askFor("17")
			first := 0
			if g.targets[1].Arrivals() > 0 {
				first = 1
			}
			leaving := g.targets[first]
			leaving.SetHeader("Server-Leaving", "1")
			leaving.SetFault(func(*http.Request) endpoint.Fault { return fault })
			g.askFor("17")
			before := leaving.Arrivals()
			assert.Equal(t, before, 2)
			for range 5 {
				assert.Equal(t, g.askFor("17").status, 200)
			}
			assert.Equal(t, leaving.Arrivals(), before)
		})
	}
}
