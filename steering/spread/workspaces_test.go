package spread_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

func workspaceOf(n, keys int, rate float64) *identity.Workspace {
	w := &identity.Workspace{Name: steering.Workspace(fmt.Sprint("w", n)), Rate: rate, Burst: rate}
	for k := range keys {
		w.Keys = append(w.Keys, identity.DigestOf(fmt.Sprintf("w%d-%d", n, k)))
	}
	if n%5 == 0 {
		rank := n % 3
		w.Rank, w.Homes = &rank, []steering.Region{"centro"}
	}
	return w
}

func withWorkspaces(version uint64, count, keys int, rate float64) *routes.Table {
	var all []*identity.Workspace
	for n := range count {
		all = append(all, workspaceOf(n, keys, rate))
	}
	t := tableOf(version, equalWeights(20))
	return routes.NewTable(version, t.Routes, []*routes.Service{{Name: "svc"}}, t.Limits, all...)
}

// Guards against an API key that remains valid on a VM because two configurations have the same
// hash.
func TestEachPropertyOfAWorkspaceChangesTheContent(t *testing.T) {
	rank := 1
	base := identity.Workspace{Name: "w", Keys: []identity.Digest{identity.DigestOf("a")}, Rate: 1, Burst: 2}
	variants := []identity.Workspace{base, base, base, base, base, base, base}
	variants[1].Keys = nil
	variants[2].Keys = append(base.Keys, identity.DigestOf("b"))
	variants[3].Rate = 2
	variants[4].Burst = 3
	variants[5].Rank = &rank
	variants[6].Homes = []steering.Region{"sur"}
	seen := map[uint64]int{}
	for n, w := range variants {
		hash := spread.NewIndex(routes.NewTable(1, nil, nil, routes.Limits{}, &w)).Outline().ContentHash()
		other, double := seen[hash]
		assert.Assert(t, !double, "variants %d and %d have the same hash", n, other)
		seen[hash] = n
	}
}

// Guards against lost, duplicate or stale workspaces after any sequence of configurations.
func TestWorkspacesFollowAnySequenceOfConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := spread.NewAssembler()
		var held *spread.Index
		for version := range rapid.IntRange(1, 5).Draw(t, "versions") {
			want := withWorkspaces(uint64(version+1), rapid.IntRange(0, 200).Draw(t, "workspaces"), rapid.IntRange(0, 3).Draw(t, "keys"), rapid.Float64Range(0, 9).Draw(t, "rate"))
			index := spread.NewIndex(want)
			d.SetBase(held)
			for !d.Done() || d.Version() < want.Version {
				p, _ := index.Answer(d.Request(4 << 10))
				assert.NilError(t, d.Apply(p))
			}
			held = d.Index()
			assert.Equal(t, len(held.Table().Workspaces.All()), len(want.Workspaces.All()))
			for _, w := range want.Workspaces.All() {
				assert.DeepEqual(t, held.Table().Workspaces.ByName(w.Name), w)
			}
			assert.Equal(t, held.Outline().ContentHash(), index.Outline().ContentHash())
		}
	})
}

// Guards against late removal of an API key in a large configuration: what is sent for one of 2,000
// workspaces must not grow with their number.
func TestRemovedKeyIsSentInFewBytes(t *testing.T) {
	before := withWorkspaces(1, 2000, 2, 10)
	var all []*identity.Workspace
	for _, w := range before.Workspaces.All() {
		if w.Name == "w1234" {
			w = workspaceOf(1234, 1, 10)
		}
		all = append(all, w)
	}
	after := routes.NewTable(2, before.Routes, []*routes.Service{{Name: "svc"}}, before.Limits, all...)
	d := spread.NewAssembler()
	d.SetBase(spread.NewIndex(before))
	index := spread.NewIndex(after)
	bytes := 0
	for !d.Done() || d.Version() < 2 {
		p, ask := index.Answer(d.Request(32 << 10))
		assert.NilError(t, d.Apply(p))
		bytes += ask.Bytes
	}
	t.Logf("%d bytes", bytes)
	assert.Assert(t, bytes < 2000, "%d bytes", bytes)
	_, problem := d.Index().Table().Workspaces.Find(identity.DigestOf("w1234-1"))
	assert.Equal(t, problem, identity.Unknown)
}
