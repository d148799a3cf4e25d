package lookups

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// Guards against answers that callers cannot decode: they would repeat the look-up without end, or
// have no address to send requests to.
func TestGoldenAnswers(t *testing.T) {
	full := seam.LookupAnswer{Place: "norte-1", TTL: 5250 * time.Millisecond, Version: 7,
		EntryVM: []seam.LookupEntry{{VM: "vm-1", Address: "10.0.0.1:7001", KeyPrefix: "i1-100"}, {VM: "vm-2", Address: "10.0.0.2:7001"}}}
	golden.Assert(t, string(encode("tickets", full))+"\n", "golden/answer-full.json")
	golden.Assert(t, string(encode("", seam.LookupAnswer{}))+"\n", "golden/answer-empty.json")
	var got Answer
	assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/answer-full.json"), &got))
	assert.DeepEqual(t, got, Answer{Service: "tickets", Place: "norte-1", TTLMs: 5250, Version: 7,
		EntryVMs: []EntryVM{{VM: "vm-1", Address: "10.0.0.1:7001", KeyPrefix: "i1-100"}, {VM: "vm-2", Address: "10.0.0.2:7001"}}})
	assert.Equal(t, Path, "/v1/lookup")
}

// Guards against refusals that callers cannot decode: they could not determine whether and when to
// retry.
func TestGoldenRefusals(t *testing.T) {
	l := &Lookups{metrics: newMetrics(tally.NoopScope)}
	for name, refusal := range map[string]*steering.Refusal{
		"not-ready":   notReady(),
		"bad-request": badRequest("no service given; add ?service=NAME"),
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			l.refuse(w, refusal)
			var told bytes.Buffer
			fmt.Fprintln(&told, w.Code)
			assert.NilError(t, w.Result().Header.Write(&told)) // sorted by name
			told.Write(w.Body.Bytes())
			golden.Assert(t, told.String(), "golden/refusal-"+name+".txt")
		})
	}
}
