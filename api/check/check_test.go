package check

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/api/oas"
)

func decode(t testing.TB, raw string) oas.Object {
	t.Helper()
	object, problems := Decode([]byte(raw))
	assert.Equal(t, len(problems), 0, "%v", problems)
	return object
}

func service(t testing.TB, name string) oas.Object {
	return decode(t, fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{"hosts":["%s.example"]}}`, name, name))
}

// place returns a place with one target per given service, at addresses derived from number.
func place(t testing.TB, name, zone, region string, number int, services ...string) oas.Object {
	targets := make([]string, len(services))
	for i, s := range services {
		targets[i] = fmt.Sprintf(`{"name":"%s-%s-%d","service":%q,"address":"10.0.%d.%d:80","slots":3}`, name, s, i, s, number, i+1)
	}
	return decode(t, fmt.Sprintf(`{"kind":"Place","metadata":{"name":%q},"spec":{"region":%q,"zone":%q,"targets":[%s]}}`, name, region, zone, strings.Join(targets, ",")))
}

func shift(t testing.TB, name, service, from, to string, percent int) oas.Object {
	return decode(t, fmt.Sprintf(`{"kind":"Shift","metadata":{"name":%q},"spec":{"service":%q,"from":%q,"to":%q,"percent":%d}}`, name, service, from, to, percent))
}

func limit(t testing.TB, name, shift string, requests int) oas.Object {
	return decode(t, fmt.Sprintf(`{"kind":"Cap","metadata":{"name":%q},"spec":{"shift":%q,"requests":%d}}`, name, shift, requests))
}

func stop(t testing.TB, name, what, subject string) oas.Object {
	return decode(t, fmt.Sprintf(`{"kind":"PlannedStop","metadata":{"name":%q},"spec":{"what":%q,"name":%q}}`, name, what, subject))
}

// base returns three regions with one zone and one place each, all of which have targets of the
// tickets service.
func base(t testing.TB) Set {
	return NewSet(service(t, "tickets"),
		place(t, "norte-a", "norte-a", "norte", 1, "tickets", "tickets"),
		place(t, "centro-a", "centro-a", "centro", 2, "tickets", "tickets"),
		place(t, "sur-a", "sur-a", "sur", 3, "tickets"))
}

func TestDecodeReportsAllProblemsWithFieldAndRemedy(t *testing.T) {
	_, problems := Decode([]byte(`{"kind":"Place","metadata":{"name":"Bad Name"},"spec":{"zone":"z","targets":[
		{"name":"a","service":"s","address":"10.0.0.1:80","slots":0},{"name":"b","servce":"s","address":"10.0.0.2:80","slots":1}]}}`))
	fields := map[string]bool{}
	for _, p := range problems {
		fields[p.Field] = true
		assert.Assert(t, p.Message != "" && p.Remedy != "", "%v", p)
	}
	for _, want := range []string{"metadata.name", "spec.region", "spec.targets[0].slots", "spec.targets[1]", "spec.targets[1].service"} {
		assert.Assert(t, fields[want], "%s missing in %v", want, problems)
	}
}

func TestSingleObjectRules(t *testing.T) {
	cases := []struct{ name, raw, field string }{
		{"scheme in host", `{"kind":"Service","metadata":{"name":"s"},"spec":{"hosts":["http://a"]}}`, "spec.hosts[0]"},
		{"host twice", `{"kind":"Service","metadata":{"name":"s"},"spec":{"hosts":["a","A"]}}`, "spec.hosts[1]"},
		{"lower-case method", `{"kind":"Service","metadata":{"name":"s"},"spec":{"nonIdempotentMethods":["post"]}}`, "spec.nonIdempotentMethods[0]"},
		{"hedge after the timeout", `{"kind":"Service","metadata":{"name":"s"},"spec":{"timeoutMs":10,"hedgeAfterMs":10}}`, "spec.hedgeAfterMs"},
		{"host name as address", `{"kind":"Place","metadata":{"name":"p"},"spec":{"region":"r","zone":"z","targets":[{"name":"a","service":"s","address":"host:80","slots":1}]}}`, "spec.targets[0].address"},
		{"port 0", `{"kind":"Place","metadata":{"name":"p"},"spec":{"region":"r","zone":"z","targets":[{"name":"a","service":"s","address":"10.0.0.1:0","slots":1}]}}`, "spec.targets[0].address"},
		{"not a CIDR", `{"kind":"ClientBlocks","metadata":{"name":"b"},"spec":{"blocks":[{"prefix":"10.1","place":"p"}]}}`, "spec.blocks[0].prefix"},
		{"host bits", `{"kind":"ClientBlocks","metadata":{"name":"b"},"spec":{"blocks":[{"prefix":"10.1.0.1/16","place":"p"}]}}`, "spec.blocks[0].prefix"},
		{"to itself", `{"kind":"Shift","metadata":{"name":"s"},"spec":{"from":"a","to":"a","percent":1}}`, "spec.to"},
		{"cut without deadline", `{"kind":"PlannedStop","metadata":{"name":"s"},"spec":{"what":"place","name":"a","cutAtDeadline":true}}`, "spec.deadline"},
	}
	for _, c := range cases {
		_, problems := Decode([]byte(c.raw))
		assert.Equal(t, len(problems), 1, "%s: %v", c.name, problems)
		assert.Equal(t, problems[0].Field, c.field, c.name)
		assert.Equal(t, problems[0].Class, Invalid, c.name)
	}
}

func TestPutRules(t *testing.T) {
	set := base(t).With(shift(t, "c-s", "tickets", "centro", "sur", 50)).With(limit(t, "c-s", "c-s", 100))
	cases := []struct {
		name   string
		object oas.Object
		class  Class
		field  string
	}{
		{"valid", shift(t, "n-s", "tickets", "norte", "sur", 50), "", ""},
		{"raising", shift(t, "c-s", "tickets", "centro", "sur", 100), "", ""},
		{"cycle", shift(t, "s-c", "tickets", "sur-a", "centro", 1), Invalid, "spec.to"},
		{"cycle with 0 percent", shift(t, "s-c", "tickets", "sur-a", "centro", 0), "", ""},
		{"over 100", shift(t, "c-n", "tickets", "centro-a", "norte", 51), Invalid, "spec.percent"},
		{"no such service", shift(t, "x", "nope", "norte", "sur", 1), Invalid, "spec.service"},
		{"no such place", shift(t, "x", "tickets", "norte", "nowhere", 1), Invalid, "spec.to"},
		{"overlap", shift(t, "x", "tickets", "norte", "norte-a", 1), Invalid, "spec.to"},
		{"cap of unknown shift", limit(t, "x", "nope", 1), Invalid, "spec.shift"},
		{"cap of 0", limit(t, "c-s", "c-s", 0), BreaksPromise, "spec.requests"},
		{"cap below use", limit(t, "c-s", "c-s", 9), BreaksPromise, "spec.requests"},
		{"cap at use", limit(t, "c-s", "c-s", 10), "", ""},
		{"address twice", place(t, "sur-b", "sur-b", "sur", 1, "tickets"), Invalid, "spec.targets[0].address"},
		{"two regions", place(t, "x", "sur-a", "norte", 9), Invalid, "spec.region"},
		{"stop of unknown target", stop(t, "x", "target", "nope"), Invalid, "spec.name"},
		{"stop of unknown entry VM", stop(t, "x", "entryVM", "nope"), Invalid, "spec.name"},
		{"stop of one of two", stop(t, "x", "target", "norte-a-tickets-0"), "", ""},
		{"stop of the last target", stop(t, "x", "target", "sur-a-tickets-0"), BreaksPromise, "spec.name"},
		{"stop of a place", stop(t, "x", "place", "norte-a"), "", ""},
		{"stop of the receiver", stop(t, "x", "zone", "sur-a"), BreaksPromise, "spec.name"},
		{"stop of the last entry VM", stop(t, "x", "entryVM", "sur-1"), BreaksPromise, "spec.name"},
	}
	facts := Facts{EntryVMs: map[string]string{"norte-1": "norte-a", "norte-2": "norte-a", "sur-1": "sur-a"}, PermitsInUse: map[string]int{"c-s": 10}}
	for _, c := range cases {
		problems := set.Put(facts, c.object)
		assert.Equal(t, problems.Class(), c.class, "%s: %v", c.name, problems)
		if c.class != "" {
			assert.Equal(t, problems[0].Field, c.field, "%s: %v", c.name, problems)
		}
	}
}

func TestRemovalRules(t *testing.T) {
	set := base(t).With(shift(t, "c-s", "tickets", "centro", "sur", 50)).With(limit(t, "c-s", "c-s", 100))
	assert.Equal(t, set.Delete(Facts{}, Ref{oas.KindShift, "c-s"}).Class(), Invalid)
	assert.Equal(t, set.Delete(Facts{}, Ref{oas.KindCap, "c-s"}).Class(), BreaksPromise)
	assert.Equal(t, set.With(limit(t, "other", "c-s", 9)).Delete(Facts{}, Ref{oas.KindCap, "c-s"}).Class(), Class(""))
	rest := set.With(shift(t, "c-s", "tickets", "centro", "sur", 0))
	assert.Equal(t, rest.Delete(Facts{}, Ref{oas.KindCap, "c-s"}).Class(), Class(""))
	assert.Equal(t, rest.Delete(Facts{MovedPercent: map[string]int{"c-s": 5}}, Ref{oas.KindCap, "c-s"}).Class(), BreaksPromise)
	assert.Equal(t, set.Delete(Facts{}, Ref{oas.KindService, "tickets"}).Class(), Invalid)
	assert.Equal(t, set.Delete(Facts{}, Ref{oas.KindPlace, "norte-a"}).Class(), Class(""))
	assert.Equal(t, set.Delete(Facts{}, Ref{oas.KindPlace, "sur-a"}).Class(), Invalid)

	alone := NewSet(service(t, "tickets"), place(t, "p", "z", "r", 1, "tickets"))
	assert.Equal(t, alone.Put(Facts{}, place(t, "p", "z", "r", 1)).Class(), BreaksPromise)
	assert.Equal(t, alone.With(stop(t, "a", "place", "p")).All(Facts{}).Class(), BreaksPromise)
}

// Guards against rejecting an operator's change of one object because of a problem of another: two
// operators' concurrent writes have stored a contradiction, and later changes are checked. The
// failure occurs if the check judges the whole set instead of the change.
func TestOldProblemsOfOthersDoNotBlockAChange(t *testing.T) {
	set := base(t).With(shift(t, "a", "tickets", "centro", "sur", 1)).With(shift(t, "b", "tickets", "sur", "centro", 1))
	assert.Equal(t, set.All(Facts{}).Class(), Invalid)
	assert.Equal(t, len(set.Put(Facts{}, shift(t, "c", "tickets", "norte", "centro", 1))), 0)
	assert.Equal(t, set.Put(Facts{}, shift(t, "a", "tickets", "centro", "sur", 2)).Class(), Invalid)
	assert.Equal(t, len(set.Put(Facts{}, shift(t, "a", "tickets", "centro", "sur", 0))), 0)
}

// Checks that a set built only from accepted changes has no problems, for random sequences of
// changes.
func TestAcceptedChangesNeverAddUpToAProblem(t *testing.T) {
	start := base(t)
	ends := []string{"norte", "centro", "sur", "norte-a", "centro-a", "sur-a"}
	rapid.Check(t, func(rt *rapid.T) {
		set := start
		steps := rapid.IntRange(1, 12).Draw(rt, "steps")
		for range steps {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name")
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0, 1:
				o := shift(t, name, "tickets", "norte", "sur", rapid.IntRange(0, 100).Draw(rt, "percent"))
				o.Shift.Spec.From = rapid.SampledFrom(ends).Draw(rt, "from")
				o.Shift.Spec.To = rapid.SampledFrom(ends).Draw(rt, "to")
				set = putIfValid(set, o)
			case 2:
				set = putIfValid(set, limit(t, name, name, rapid.IntRange(0, 3).Draw(rt, "requests")))
			case 3:
				set = putIfValid(set, stop(t, name, "zone", rapid.SampledFrom(ends).Draw(rt, "zone")))
			case 4:
				refs := set.Refs()
				ref := rapid.SampledFrom(refs).Draw(rt, "ref")
				if len(set.Delete(Facts{}, ref)) == 0 {
					set = set.Without(ref)
				}
			}
			if problems := set.All(Facts{}); len(problems) > 0 {
				rt.Fatalf("accepted changes led to %v", problems)
			}
		}
	})
}

func putIfValid(set Set, o oas.Object) Set {
	if len(set.Put(Facts{}, o)) > 0 {
		return set
	}
	return set.With(o)
}

// Checks that decoding any input returns an object or problems with a remedy and never panics, and
// that an accepted object can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"Service","metadata":{"name":"s"},"spec":{"hosts":["a"]}}`))
	f.Add([]byte(`{"kind":"Place","metadata":{"name":"p"},"spec":{"region":"r","zone":"z","targets":[{"name":"a","service":"s","address":"[::1]:80","slots":1}]}}`))
	f.Add([]byte(`{"kind":"ClientBlocks","metadata":{"name":"b"},"spec":{"blocks":[{"prefix":"10.1.0.0/16","place":"p"}]}}`))
	f.Add([]byte(`{"kind":"PlannedStop","metadata":{"name":"s"},"spec":{"what":"place","name":"a","at":"2026-01-01T00:00:00Z"}}`))
	f.Add([]byte(`{"kind":"Shift","metadata":null,"spec":[],"status":{}}`))
	f.Add([]byte(`[[[[1e999]]]]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		object, problems := Decode(raw)
		for _, p := range problems {
			assert.Assert(t, p.Message != "" && p.Remedy != "")
		}
		if len(problems) > 0 {
			return
		}
		again, err := object.MarshalJSON()
		assert.NilError(t, err)
		_, problems = Decode(again)
		assert.Equal(t, len(problems), 0, "%s: %v", again, problems)
		NewSet().Put(Facts{}, object)
	})
}
