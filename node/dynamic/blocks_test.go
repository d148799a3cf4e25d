package dynamic

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/api/oas"
	"heatherlock/objects"
	"heatherlock/steering/config"
)

// blocksObject returns a ClientBlocks object with n blocks, of which block i
// belongs to place(i).
func blocksObject(n int, place func(i int) string) *oas.ClientBlocks {
	object := &oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: "clients"}}
	for i := range n {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&255, i&255)
		object.Spec.Blocks = append(object.Spec.Blocks, oas.ClientBlock{Prefix: prefix, Place: place(i)})
	}
	return object
}

// storedForm splits the object and returns the objects that the platform stores.
func storedForm(t *rapid.T, object *oas.ClientBlocks, version int64) []config.Object {
	split, err := sharding{whole: 1000, meanBlocks: 16, maxBlocks: 40}.split(object)
	assert.NilError(t, err)
	assert.Assert(t, len(split.Shards) > 1)
	var stored []config.Object
	for _, shard := range split.Shards {
		assert.Assert(t, len(shard.Value) < objects.MaxValueBytes)
		stored = append(stored, config.Object{ID: config.ID{Kind: KindShard, Name: shard.Name}, Version: version, Value: shard.Value})
	}
	assert.Assert(t, len(split.Manifest) < objects.MaxValueBytes)
	return append(stored, config.Object{ID: config.ID{Kind: KindClientBlocks, Name: "clients"}, Version: version, Value: split.Manifest})
}

// Guards against an updated block table that differs from a rebuilt one: after a
// few blocks of a big ClientBlocks object change, a client's home would not be
// the declared one on the entry VMs that updated their table, while an entry VM
// that starts later builds a correct one.
func TestUpdatedBlockTableEqualsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(100, 300).Draw(t, "blocks")
		moved := map[int]bool{}
		place := func(i int) string {
			if moved[i] {
				return "moved"
			}
			return fmt.Sprint("place-", i%7)
		}
		set, _ := new(config.Set).ApplyList(storedForm(t, blocksObject(n, place), 1), 1)
		current := compile(set, nil, nil)
		assert.Equal(t, current.snapshot.Blocks.Len(), n)
		for version := int64(2); version < 4; version++ {
			moved[rapid.IntRange(0, n-1).Draw(t, "moved")] = true
			n += rapid.IntRange(-2, 2).Draw(t, "added")
			next, _ := set.ApplyList(storedForm(t, blocksObject(n, place), version), version)
			current = compile(next, set, current)
			set = next
		}
		assert.Equal(t, len(current.problems), 0)
		fresh := compile(set, nil, nil)
		assert.Equal(t, current.snapshot.Blocks.Len(), n)
		for i := range n {
			addr := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
			got, _ := current.snapshot.Blocks.Lookup(addr)
			built, _ := fresh.snapshot.Blocks.Lookup(addr)
			assert.Equal(t, string(got), place(i))
			assert.Equal(t, built, got)
		}
	})
}

// Guards against shards that are split by count: after an operator adds one block
// to a big object, every later shard would change, and every entry VM would fetch
// megabytes.
func TestOneBlockChangesFewShards(t *testing.T) {
	place := func(int) string { return "p" }
	before, err := SplitBlocks(blocksObject(30000, place))
	assert.NilError(t, err)
	object := blocksObject(30000, place)
	object.Spec.Blocks = append(object.Spec.Blocks, oas.ClientBlock{Prefix: "1.7.0.0/25", Place: "p"})
	after, err := SplitBlocks(object)
	assert.NilError(t, err)
	had := map[string]bool{}
	for _, shard := range before.Shards {
		had[shard.Name] = true
	}
	fresh := 0
	for _, shard := range after.Shards {
		if !had[shard.Name] {
			fresh++
		}
	}
	assert.Assert(t, len(before.Shards) > 3)
	assert.Assert(t, fresh <= 2, "%d of %d shards are new", fresh, len(after.Shards))
}

func TestMissingShardIsReportedAndTheRestStaysInUse(t *testing.T) {
	object := blocksObject(8000, func(int) string { return "p" })
	split, err := SplitBlocks(object)
	assert.NilError(t, err)
	whole, err := JoinBlocks(split.Manifest, func(name string) (json.RawMessage, bool) {
		for _, shard := range split.Shards {
			if shard.Name == name {
				return shard.Value, true
			}
		}
		return nil, false
	})
	assert.NilError(t, err)
	assert.Equal(t, len(whole.Spec.Blocks), len(object.Spec.Blocks))
	var stored []config.Object
	for _, shard := range split.Shards[1:] {
		stored = append(stored, config.Object{ID: config.ID{Kind: KindShard, Name: shard.Name}, Version: 1, Value: shard.Value})
	}
	stored = append(stored, config.Object{ID: config.ID{Kind: KindClientBlocks, Name: "clients"}, Version: 1, Value: split.Manifest})
	set, _ := new(config.Set).ApplyList(stored, 1)
	out := compile(set, nil, nil)
	assert.Equal(t, len(out.problems), 1)
	assert.Assert(t, out.snapshot.Blocks.Len() > 0 && out.snapshot.Blocks.Len() < 8000)
}
