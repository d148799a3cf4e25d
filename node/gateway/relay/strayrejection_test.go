package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

// Guards against a purchase that is refused as not run, or runs twice, because a rejection that belongs to no request is
// taken for its own.
func TestRejectionWithoutRequestIDProvesNothing(t *testing.T) {
	g := newRig(t, 2, nil)
	g.faults(func(n int) endpoint.Fault {
		if n%2 == 0 {
			return endpoint.Unnamed
		}
		return endpoint.None
	})
	for n := range 20 {
		got := g.ask(http.MethodPost, fmt.Sprint("/buy/", n), "x", time.Second)
		assert.Check(t, got.err)
		assert.Check(t, got.status == http.StatusOK, "purchase %d got %d", n, got.status)
	}
	checkRunOnce(t, g, 20)
}

func checkRunOnce(t *testing.T, g *rig, requests int) {
	t.Helper()
	runs := make(map[string]int)
	for _, run := range g.runs() {
		runs[run.Path]++
	}
	for n := range requests {
		path := fmt.Sprint("/buy/", n)
		assert.Check(t, runs[path] == 1, "%s ran %d times", path, runs[path])
	}
}

// Guards against the same where the rejection names the request: that of an earlier try, sent again where the response
// to the next try on the same connection is due.
func TestCopyOfARejectionProvesNothingForTheNextTry(t *testing.T) {
	g := newRig(t, 1, nil)
	g.setMixed() // so that a request goes to the target again that has rejected it
	g.faults(func(n int) endpoint.Fault {
		if n%3 != 0 {
			return endpoint.ShedTwice
		}
		return endpoint.None
	})
	for n := range 20 {
		path := fmt.Sprint("/buy/", n)
		got := g.ask(http.MethodPost, path, "x", time.Second)
		assert.Check(t, got.err)
		runs := 0
		for _, run := range g.runs() {
			if run.Path == path {
				runs++
			}
		}
		assert.Check(t, got.status != http.StatusServiceUnavailable || runs == 0, "%s was refused as not run, and ran", path)
		assert.Check(t, runs <= 1, "%s ran %d times", path, runs)
	}
}
