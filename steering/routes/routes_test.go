package routes_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/routes"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	short := &routes.Route{Name: "short", Host: "a.example", Prefix: "/x/"}
	long := &routes.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	other := &routes.Route{Name: "other", Host: "b.example", Prefix: "/"}
	table := routes.NewTable(1, []*routes.Route{short, long, other}, nil, routes.Limits{})
	for target, want := range map[string]*routes.Route{
		"/x/1": short, "/x/y/1": long, "/x/y": short, "/x/?q=/x/y/": short, "/x": nil, "/z/": nil,
	} {
		got, found := table.Match("A.example:80", target)
		assert.Equal(t, found, want != nil, target)
		assert.Equal(t, got, want, target)
	}
	got, _ := table.Match("b.example", "http://b.example/x/1")
	assert.Equal(t, got, other)
	_, found := table.Match("c.example", "/x/1")
	assert.Assert(t, !found)
}

// Guards against a canary of weight 10 in 100 that gets 17 of its first hundred requests, by which
// an operator judges the split. This happens if the service is chosen at random for each request.
// After any number of requests, each part must have its exact share to within one request for each
// part.
func TestSplitterKeepsProportions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		var parts []routes.WeightedService
		total := 0
		for i, w := range weights {
			parts = append(parts, routes.WeightedService{Service: steering.Service(rune('a' + i)), Weight: float64(w)})
			total += w
		}
		split := routes.NewSplitter(parts)
		if total == 0 {
			assert.Equal(t, split.Next(), steering.Service(""))
			return
		}
		const requests = 400
		got := map[steering.Service]int{}
		for n := 1; n <= requests; n++ {
			got[split.Next()]++
			for _, p := range parts {
				want := p.Weight / float64(total) * float64(n)
				assert.Assert(t, math.Abs(float64(got[p.Service])-want) <= float64(len(parts)), "%s after %d: %d, want %.1f", p.Service, n, got[p.Service], want)
			}
		}
	})
}

// Guards against a change of routes that the log does not tell, or tells of routes that are as they were.
func TestCompareNamesTheRoutesThatDiffer(t *testing.T) {
	route := func(name string, change func(*routes.Route)) *routes.Route {
		r := &routes.Route{Name: name, Host: "a.example", Prefix: "/" + name + "/", Parts: []routes.WeightedService{{Service: "s", Weight: 1}}, Homes: []steering.Region{"r"}}
		if change != nil {
			change(r)
		}
		return r
	}
	table := func(all ...*routes.Route) *routes.Table { return routes.NewTable(1, all, nil, routes.Limits{}) }
	old := table(route("same", nil), route("gone", nil), route("split", nil), route("home", nil), route("public", nil))
	now := table(route("new", nil), route("same", nil), route("split", func(r *routes.Route) { r.Parts[0].Weight = 2 }),
		route("home", func(r *routes.Route) { r.Homes = nil }), route("public", func(r *routes.Route) { r.Public = true }))
	assert.DeepEqual(t, now.Compare(old), routes.Difference{Added: []string{"new"}, Removed: []string{"gone"}, Changed: []string{"home", "public", "split"}})
	assert.DeepEqual(t, now.Compare(now), routes.Difference{})
}
