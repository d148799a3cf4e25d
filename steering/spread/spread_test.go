package spread_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

func route(n int, weight float64) *routes.Route {
	return &routes.Route{Name: fmt.Sprint("r-", n), Host: "shop.example", Prefix: fmt.Sprintf("/route-%05d/", n), Timeout: time.Second, Aim: 400 * time.Millisecond,
		MaxAttempts: 2, KeyAffinity: true, Parts: []routes.WeightedService{{Service: "svc", Weight: weight}}, Homes: []steering.Region{"centro"}}
}

func tableOf(version uint64, weights map[int]float64) *routes.Table {
	var all []*routes.Route
	for n, weight := range weights {
		all = append(all, route(n, weight))
	}
	services := []*routes.Service{{Name: "svc", HealthPath: "/health", MaxConnections: 100 + int(version%3)}}
	return routes.NewTable(version, all, services, routes.Limits{HeaderBytes: 8192})
}

func equalWeights(n int) map[int]float64 {
	weights := make(map[int]float64, n)
	for i := range n {
		weights[i] = 1
	}
	return weights
}

// contentOf returns the content of a table, independent of the order of its routes.
func contentOf(t *routes.Table) string {
	var all []string
	for _, r := range t.Routes {
		all = append(all, fmt.Sprint(r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.Aim, r.Rank, r.MaxAttempts, r.KeyAffinity, r.Parts, r.Homes))
	}
	for _, s := range t.Services {
		all = append(all, fmt.Sprintf("%+v", *s))
	}
	slices.Sort(all)
	return fmt.Sprint(t.Version, t.Limits, "\n", strings.Join(all, "\n"))
}

// fetch requests pieces until the draft is complete. It returns the number of bytes and pieces.
func fetch(t *testing.T, d *spread.Assembler, from *spread.Index, piece int) (bytes, pieces int) {
	t.Helper()
	for !d.Done() || d.Version() < from.Outline().Version {
		p, ask := from.Answer(d.Request(piece))
		assert.NilError(t, d.Apply(p))
		assert.Equal(t, ask.Last, d.Done())
		bytes, pieces = bytes+ask.Bytes, pieces+1
		assert.Assert(t, pieces < 10_000)
	}
	return bytes, pieces
}

// Guards against transfers that grow with the configuration instead of the change, which kept VMs
// out of date for seconds after the change of one weight. One changed route costs 1.7 kB among
// 4,200 and 9.7 kB among 42,000, since an outline holds a hash for each 64 routes; the whole table
// would take 0.4 and 4.2 MB.
func TestTransferSizeDependsOnTheChange(t *testing.T) {
	for _, c := range []struct{ routes, added, most int }{{4200, 1, 2000}, {42_000, 1, 10_000}, {2800, 1400, 190_000}, {42_000, 1400, 480_000}} {
		before := equalWeights(c.routes)
		after := equalWeights(c.routes + c.added)
		d := spread.NewAssembler()
		d.SetBase(spread.NewIndex(tableOf(1, before)))
		bytes, pieces := fetch(t, d, spread.NewIndex(tableOf(2, after)), 64<<10)
		t.Logf("%d routes and %d more: %d bytes in %d pieces", c.routes, c.added, bytes, pieces)
		assert.Check(t, bytes <= c.most, "%d routes and %d more: %d bytes", c.routes, c.added, bytes)
		assert.Equal(t, len(d.Index().Table().Routes), c.routes+c.added)
	}
}

// A VM without a configuration must get all of it, in pieces that are not much larger than
// requested.
func TestWholeConfigurationComesInBoundedPieces(t *testing.T) {
	from := spread.NewIndex(tableOf(7, equalWeights(5600)))
	d := spread.NewAssembler()
	const piece = 32 << 10
	for !d.Done() {
		p, ask := from.Answer(d.Request(piece))
		assert.Assert(t, ask.Bytes < 2*piece, "%d bytes", ask.Bytes)
		assert.NilError(t, d.Apply(p))
	}
	assert.Equal(t, contentOf(d.Index().Table()), contentOf(from.Table()))
}

// Guards against starting over each time, so that a VM on a narrow link never completes a
// configuration that changes often. Pieces are lost, peers stop, newer versions arrive in between,
// and one peer has an older version. Each route must be received at most once, and the result must
// be the configuration of some peer.
func TestNoRouteIsReceivedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := equalWeights(rapid.IntRange(0, 400).Draw(t, "routes"))
		d := spread.NewAssembler()
		if rapid.Bool().Draw(t, "begins with a configuration") {
			d.SetBase(spread.NewIndex(tableOf(1, weights)))
		}
		newest := spread.NewIndex(tableOf(2, weights))
		older := newest
		came := make(map[string]int)
		for step := 0; !d.Done() || d.Version() < newest.Outline().Version; step++ {
			assert.Assert(t, step < 3000, "the draft is never complete")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // a newer version, with some routes removed, added or changed
				if step > 300 {
					break
				}
				older = newest
				for range rapid.IntRange(0, 40).Draw(t, "changes") {
					n := rapid.IntRange(0, 450).Draw(t, "route")
					if rapid.Bool().Draw(t, "gone") {
						delete(weights, n)
						continue
					}
					weights[n] = float64(newest.Outline().Version)
				}
				newest = spread.NewIndex(tableOf(newest.Outline().Version+3, weights))
			case 1: // the piece is lost
				newest.Answer(d.Request(4 << 10))
			case 2: // a peer with an older version
				p, _ := older.Answer(d.Request(4 << 10))
				_ = d.Apply(p) // an older one is rejected without any effect
			case 3: // the piece is corrupted
				p, _ := newest.Answer(d.Request(4 << 10))
				if len(p.Buckets) > 0 && len(p.Buckets[0].Routes) > 0 {
					p.Buckets[0].Routes = p.Buckets[0].Routes[1:]
					assert.Assert(t, d.Apply(p) != nil)
				}
			default:
				p, _ := newest.Answer(d.Request(4 << 10))
				for _, b := range p.Buckets {
					for _, r := range b.Routes {
						came[fmt.Sprint(r.Name, r.Parts)]++
					}
				}
				assert.NilError(t, d.Apply(p))
			}
		}
		assert.Equal(t, contentOf(d.Index().Table()), contentOf(newest.Table()))
		for name, times := range came {
			assert.Assert(t, times <= 1, "%s was received %d times", name, times)
		}
	})
}

// Guards against a field that is left out of the hash: a change of that field alone would never be
// distributed.
func TestEachFieldChangesTheHash(t *testing.T) {
	outline := func(changeField func(*routes.Route)) spread.Outline {
		r := route(1, 1)
		changeField(r)
		return spread.NewIndex(routes.NewTable(1, []*routes.Route{r}, nil, routes.Limits{})).Outline()
	}
	same := outline(func(*routes.Route) {})
	kind := reflect.TypeFor[routes.Route]()
	for i := range kind.NumField() {
		field := kind.Field(i)
		if !field.IsExported() {
			continue
		}
		changed := outline(func(r *routes.Route) { changeField(t, reflect.ValueOf(r).Elem().Field(i)) })
		assert.Assert(t, changed.Buckets[0] != same.Buckets[0], "%s is not in the hash", field.Name)
	}
	rest := func(s routes.Service, l routes.Limits) uint64 {
		return spread.NewIndex(routes.NewTable(1, nil, []*routes.Service{&s}, l)).Outline().Rest
	}
	service := reflect.TypeFor[routes.Service]()
	for i := range service.NumField() {
		var s routes.Service
		changeField(t, reflect.ValueOf(&s).Elem().Field(i))
		assert.Assert(t, rest(s, routes.Limits{}) != rest(routes.Service{}, routes.Limits{}), "%s is not in the hash", service.Field(i).Name)
	}
	limits := reflect.TypeFor[routes.Limits]()
	for i := range limits.NumField() {
		var l routes.Limits
		changeField(t, reflect.ValueOf(&l).Elem().Field(i))
		assert.Assert(t, rest(routes.Service{}, l) != rest(routes.Service{}, routes.Limits{}), "%s is not in the hash", limits.Field(i).Name)
	}
}

// changeField sets a field to another value.
func changeField(t *testing.T, field reflect.Value) {
	t.Helper()
	switch field.Kind() {
	case reflect.String:
		field.SetString(field.String() + "x")
	case reflect.Int, reflect.Int64:
		field.SetInt(field.Int() + 1)
	case reflect.Uint8:
		field.SetUint(field.Uint() + 1)
	case reflect.Float64:
		field.SetFloat(field.Float() + 1)
	case reflect.Bool:
		field.SetBool(!field.Bool())
	case reflect.Slice:
		field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
	default:
		t.Fatalf("cannot change a field of kind %s", field.Kind())
	}
}

// A replaced configuration must remain available for some seconds to VMs that have begun to fetch
// it, and no longer, since it occupies memory.
func TestReplacedConfigurationsAreKeptForLimitedTime(t *testing.T) {
	var recent spread.RecentVersions
	now := time.Unix(1000, 0)
	all := make(map[uint64]*spread.Index)
	for version := uint64(1); version <= 10; version++ {
		all[version] = spread.NewIndex(tableOf(version, equalWeights(3)))
		now = now.Add(300 * time.Millisecond)
		assert.Equal(t, recent.Find(now, all[version], 0), all[version])
	}
	for version := uint64(1); version <= 10; version++ {
		want := all[version]
		if version < 4 { // at most six replaced ones are kept
			want = all[10]
		}
		assert.Equal(t, recent.Find(now, all[10], version), want, "version %d", version)
	}
	assert.Equal(t, recent.Find(now.Add(time.Second), all[10], 9), all[9])
	assert.Equal(t, recent.Find(now.Add(2*time.Second), all[10], 9), all[10], "expired")
}
