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

// blocksObject returns n blocks, block i belonging to place(i).
func blocksObject(n int, place func(i int) string) *oas.ClientBlocks {
	object := &oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: "clients"}}
	for i := range n {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&255, i&255)
		object.Spec.Blocks = append(object.Spec.Blocks, oas.ClientBlock{Prefix: prefix, Place: place(i)})
	}
	return object
}

// storedForm returns what the platform keeps of a split object.
func storedForm(t *rapid.T, object *oas.ClientBlocks, version int64) []config.Object {
	split, err := sharding{whole: 1000, mean: 16, most: 40}.split(object)
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

// Symptom: a client's home is not what the operators declared, on some nodes
// only. Sequence: a big ClientBlocks object is changed a few blocks at a time,
// and nodes change their tables, while a fresh node builds its own. Cause: a
// changed table that differs from a built one.
func TestBlocksThroughShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(100, 300).Draw(t, "blocks")
		moved := map[int]bool{}
		place := func(i int) string {
			if moved[i] {
				return "moved"
			}
			return fmt.Sprint("place-", i%7)
		}
		set, _ := new(config.Set).Listed(storedForm(t, blocksObject(n, place), 1), 1)
		current := compile(set, nil, nil)
		assert.Equal(t, current.snapshot.Blocks.Len(), n)
		for version := int64(2); version < 4; version++ {
			moved[rapid.IntRange(0, n-1).Draw(t, "moved")] = true
			n += rapid.IntRange(-2, 2).Draw(t, "added")
			next, _ := set.Listed(storedForm(t, blocksObject(n, place), version), version)
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

// Symptom: an operator adds one block and every node fetches megabytes.
// Sequence: one block is added to a big object. Cause: shards cut by count, so
// that every later shard changes.
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
	set, _ := new(config.Set).Listed(stored, 1)
	out := compile(set, nil, nil)
	assert.Equal(t, len(out.problems), 1)
	assert.Assert(t, out.snapshot.Blocks.Len() > 0 && out.snapshot.Blocks.Len() < 8000)
}
