package dynamic

import (
	"iter"
	"slices"
	"strings"

	"heatherlock/api/oas"
	"heatherlock/steering/config"
	"heatherlock/steering/lookup"
	"heatherlock/steering/routing"
)

// changeByBlock is the number of changed blocks up to which the previous table
// is changed; above it, building anew is faster.
const changeByBlock = 20000

// changeBytes bounds the stored values of changed parts that are compared block
// by block. Comparing more would hold every block twice as text, which for a
// whole table takes several times the table's memory.
const changeBytes = 1 << 20

// blocks sets the snapshot's block table. Without a change of a block object
// the previous table stays, and a small change touches only its own blocks:
// 680,000 blocks are not parsed again because one was added.
func (c *compiler) blocks(previousSet *config.Set, previous *compiled) {
	if previous == nil {
		c.rebuild()
		return
	}
	if sameBlockObjects(previousSet, c.set) {
		c.out.snapshot.Blocks = previous.snapshot.Blocks
		c.out.overlaps = previous.overlaps
		c.carryBlockProblems(previous)
		return
	}
	removed := blockParts(previousSet)
	added := blockParts(c.set)
	for id, o := range added {
		if old, ok := removed[id]; ok && old.Version == o.Version {
			delete(added, id)
			delete(removed, id)
		}
	}
	c.change(previous, removed, added)
}

// sameBlockObjects says whether no object that may hold blocks differs.
func sameBlockObjects(a, b *config.Set) bool {
	return slices.Equal(blockVersions(a), blockVersions(b))
}

func blockVersions(set *config.Set) []int64 {
	var versions []int64
	for _, kind := range []string{KindClientBlocks, KindShard} {
		for _, o := range ofKind(set, kind) {
			versions = append(versions, o.Version)
		}
	}
	return versions
}

// carryBlockProblems keeps the reports on block objects that were not read
// again.
func (c *compiler) carryBlockProblems(previous *compiled) {
	for _, p := range previous.problems {
		if p.Kind == KindClientBlocks || p.Kind == KindShard {
			c.out.problems = append(c.out.problems, p)
		}
	}
}

func (c *compiler) change(previous *compiled, removed, added map[config.ID]config.Object) {
	if storedBytes(removed)+storedBytes(added) > changeBytes {
		c.rebuild()
		return
	}
	table, ok := previous.snapshot.Blocks.(*lookup.Table)
	gone := slices.Collect(blocksOf(removed, func(config.Object, error) {}))
	come := slices.Collect(blocksOf(added, func(config.Object, error) {}))
	gone, come = difference(gone, come)
	clean := previous.overlaps == 0 && !slices.ContainsFunc(previous.problems, aboutBlocks)
	if !ok || !clean || len(gone)+len(come) > changeByBlock {
		c.rebuild()
		return
	}
	next := table.With(gone, come)
	if next.Len() != table.Len()-len(gone)+len(come) {
		// A block occurs twice: only building anew in a fixed sequence gives
		// the same place on every node.
		c.rebuild()
		return
	}
	c.out.snapshot.Blocks = next
}

func storedBytes(parts map[config.ID]config.Object) int {
	sum := 0
	for _, o := range parts {
		sum += len(o.Value)
	}
	return sum
}

func aboutBlocks(p *Problem) bool { return p.Kind == KindClientBlocks || p.Kind == KindShard }

// difference drops the blocks that are in both.
func difference(gone, come []routing.Block) (onlyGone, onlyCome []routing.Block) {
	had := make(map[routing.Block]bool, len(gone))
	for _, block := range gone {
		had[block] = true
	}
	for _, block := range come {
		if had[block] {
			delete(had, block)
			continue
		}
		onlyCome = append(onlyCome, block)
	}
	for _, block := range gone {
		if had[block] {
			onlyGone = append(onlyGone, block)
		}
	}
	return onlyGone, onlyCome
}

func (c *compiler) rebuild() {
	parts := blockParts(c.set)
	c.missingShards()
	table, overlaps := lookup.NewTable(blocksOf(parts, c.report))
	c.out.snapshot.Blocks = table
	c.out.overlaps = overlaps
}

// missingShards reports manifests whose shards are not there; the shards that
// are there stay in use.
func (c *compiler) missingShards() {
	for _, o := range ofKind(c.set, KindClientBlocks) {
		names, err := ShardNames(o.Value)
		if err != nil {
			continue // reported where the object is read
		}
		for _, name := range names {
			if _, ok := c.set.Get(config.ID{Kind: KindShard, Name: name}); !ok {
				c.report(o, &MissingShardError{Shard: name})
			}
		}
	}
}

// blockParts returns the objects that hold blocks in force: every ClientBlocks
// object and the shards that one of them names. A shard without a manifest is
// a write that has not ended, or what is left of an earlier one.
func blockParts(set *config.Set) map[config.ID]config.Object {
	parts := map[config.ID]config.Object{}
	for _, o := range ofKind(set, KindClientBlocks) {
		parts[o.ID] = o
		names, err := ShardNames(o.Value)
		if err != nil {
			continue // reported where the object is read
		}
		for _, name := range names {
			id := config.ID{Kind: KindShard, Name: name}
			if shard, ok := set.Get(id); ok {
				parts[id] = shard
			}
		}
	}
	return parts
}

// blocksOf returns the blocks of the parts, in the sequence of their names, a
// part at a time: all of them at once as parsed text would take several times
// the table's memory.
func blocksOf(parts map[config.ID]config.Object, report func(config.Object, error)) iter.Seq[routing.Block] {
	return func(yield func(routing.Block) bool) {
		for _, o := range sorted(parts) {
			blocks, err := partBlocks(o)
			if err != nil {
				report(o, err)
			}
			for _, block := range blocks {
				if !yield(block) {
					return
				}
			}
		}
	}
}

func sorted(parts map[config.ID]config.Object) []config.Object {
	all := make([]config.Object, 0, len(parts))
	for _, o := range parts {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b config.Object) int {
		if a.Kind != b.Kind {
			return strings.Compare(a.Kind, b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

func partBlocks(o config.Object) ([]routing.Block, error) {
	if o.Kind == KindShard {
		stored, err := shardBlocks(o.Value)
		if err != nil {
			return nil, err
		}
		return parseBlocks(stored)
	}
	var in oas.ClientBlocks
	if err := decode(o, &in); err != nil {
		return nil, err
	}
	return parseBlocks(in.Spec.Blocks)
}
