package notrun_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/notrun"
)

// Guards against a request that runs twice because something is taken for proof that it has not run, and against
// refusals that are passed on as unknown outcomes although the proof is there.
func TestWhatProvesThatARequestHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence notrun.Evidence
		proof    notrun.Proof
	}{
		{"no connection", notrun.Evidence{RequestID: "q"}, notrun.NothingSent},
		{"sent, no response", notrun.Evidence{Sent: true, RequestID: "q"}, notrun.None},
		{"answered", notrun.Evidence{Sent: true, RequestID: "q", ResponseID: "q"}, notrun.None},
		{"rejected", notrun.Evidence{Sent: true, RequestID: "q", ResponseID: "q", Rejects: true}, notrun.Rejected},
		{"a rejection of another request", notrun.Evidence{Sent: true, RequestID: "q", ResponseID: "p", Rejects: true}, notrun.None},
		{"a rejection of no request", notrun.Evidence{Sent: true, RequestID: "q", Rejects: true}, notrun.None},
		{"a rejection of a request without an ID", notrun.Evidence{Sent: true, Rejects: true}, notrun.None},
		{"returned by another VM", notrun.Evidence{Sent: true, RequestID: "q", ResponseID: "q", Returned: true}, notrun.ReturnedByVM},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, notrun.Of(c.evidence), c.proof) })
	}
}

// Guards against a proof from a response that does not name the request.
func TestOnlyResponsesThatNameTheRequestProve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SampledFrom([]string{"", "q", "p"})
		e := notrun.Evidence{Sent: true, RequestID: id.Draw(t, "request"), ResponseID: id.Draw(t, "response"), Rejects: rapid.Bool().Draw(t, "rejects")}
		proven := notrun.Of(e) != notrun.None
		assert.Equal(t, proven, e.Rejects && e.RequestID != "" && e.RequestID == e.ResponseID)
	})
}
