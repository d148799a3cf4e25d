package lookups

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/lookup"
	"heatherlock/steering/routing"
)

// fakeNode provides the configuration and the members that a test sets.
type fakeNode struct {
	snapshot *routing.Snapshot
	all      []seam.Member
}

func (f *fakeNode) Snapshot() *routing.Snapshot        { return f.snapshot }
func (f *fakeNode) Subscribe(func(*routing.Snapshot))  {}
func (f *fakeNode) Self() seam.Member                  { return f.all[0] }
func (f *fakeNode) All() []seam.Member                 { return f.all }
func (f *fakeNode) InZone(steering.Zone) []seam.Member { return nil }
func (f *fakeNode) ByIncarnation(steering.Incarnation) (seam.Member, bool) {
	return seam.Member{}, false
}
func (f *fakeNode) RecordReachability(steering.VM, bool) {}

func newFakeNode() *fakeNode {
	place := &routing.Place{Name: "norte-1", Zone: "norte-a", Region: "norte", Targets: []routing.Target{{Name: "t1", Service: "tickets"}}}
	blocks := func(yield func(routing.Block) bool) {
		yield(routing.Block{Prefix: netip.MustParsePrefix("192.0.2.0/24"), Place: "norte-1"})
	}
	table, _ := lookup.NewTable(blocks)
	return &fakeNode{
		snapshot: &routing.Snapshot{
			Version:  7,
			Services: map[steering.Service]*routing.Service{"tickets": {Name: "tickets"}},
			Places:   map[steering.Place]*routing.Place{"norte-1": place},
			Blocks:   table,
		},
		all: []seam.Member{
			{VM: "a", Zone: "norte-a", Region: "norte", CallerAddress: "10.0.0.1:1", Incarnation: "ia"},
			{VM: "b", Zone: "norte-a", Region: "norte", CallerAddress: "10.0.0.2:1", Incarnation: "ib", State: seam.MemberLeaving},
		},
	}
}

func TestHTTPAnswersAndRefusals(t *testing.T) {
	f := newFakeNode()
	l, err := New(Config{Configs: f, Members: f})
	assert.NilError(t, err)
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+query, nil))
		return w
	}
	w := get("?service=tickets")
	var answer Answer
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	assert.Equal(t, answer.Place, steering.Place("norte-1"))
	assert.Equal(t, len(answer.EntryVMs), 1, "an answer contains no leaving entry VM")
	assert.Equal(t, answer.EntryVMs[0].Address, "10.0.0.1:1")
	assert.Equal(t, answer.TTLMs, int64(5000))

	for query, reason := range map[string]steering.Reason{
		"":                                    steering.ReasonBadRequest,
		"?service=nothing":                    steering.ReasonNoService,
		"?service=tickets&client=192.0.2.1":   steering.ReasonBadRequest,
		"?service=tickets&client=192.0.2.1;x": steering.ReasonBadRequest,
	} {
		w := get(query)
		assert.Equal(t, w.Header().Get(headerReason), string(reason), query)
		assert.Equal(t, w.Header().Get(headerRan), "no")
		assert.Equal(t, w.Code, steering.Reasons[reason].Status)
	}
}

func TestNotReadyBeforeTheFirstConfiguration(t *testing.T) {
	f := newFakeNode()
	snapshot := f.snapshot
	f.snapshot = nil
	l, err := New(Config{Configs: f, Members: f})
	assert.NilError(t, err)
	_, err = l.Lookup(netip.MustParseAddr("192.0.2.1"), "tickets")
	assert.ErrorContains(t, err, string(steering.ReasonNotReady))
	f.snapshot = snapshot
	l.refresh(time.Now())
	_, err = l.Lookup(netip.MustParseAddr("192.0.2.1"), "tickets")
	assert.NilError(t, err)
}

// Guards against a plan that is kept for as long as its snapshot: when the members or
// the minute change and the configuration does not, callers would be sent to an entry
// VM that has left, or use keys with an expired prefix.
func TestPlanFollowsMembersAndKeyPrefixEpochs(t *testing.T) {
	f := newFakeNode()
	l, err := New(Config{Configs: f, Members: f})
	assert.NilError(t, err)
	now := time.Unix(6000, 0)
	l.refresh(now)
	client := netip.MustParseAddr("192.0.2.1")
	first, err := l.Lookup(client, "tickets")
	assert.NilError(t, err)
	l.refresh(now.Add(time.Minute))
	second, err := l.Lookup(client, "tickets")
	assert.NilError(t, err)
	assert.Assert(t, first.EntryVM[0].KeyPrefix != second.EntryVM[0].KeyPrefix)

	f.all[1].State = seam.MemberLive
	f.all[0].State = seam.MemberGone
	l.refresh(now.Add(time.Minute))
	third, err := l.Lookup(client, "tickets")
	assert.NilError(t, err)
	assert.Equal(t, third.EntryVM[0].VM, steering.VM("b"))
	assert.Equal(t, len(third.EntryVM), 1)
}
