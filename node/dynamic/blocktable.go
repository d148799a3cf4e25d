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

// maxChangedBlocks is the number of changed blocks up to which the previous
// table is updated. Above it, building a new table is faster.
const maxChangedBlocks = 20000

// maxComparedBytes limits the total size of the changed objects that are
// compared block by block. The comparison holds each block twice as parsed
// text, which for a whole table takes several times the table's memory.
const maxComparedBytes = 1 << 20

// updateBlocks sets the snapshot's block table. It reuses the previous table if
// no block object changed, and updates only the changed blocks after a small
// change, so that adding one block does not parse all 680,000 again.
func (c *compiler) updateBlocks(previousSet *config.Set, previous *compiled) {
	if previous == nil {
		c.rebuildTable()
		return
	}
	if sameBlockObjects(previousSet, c.set) {
		c.out.snapshot.Blocks = previous.snapshot.Blocks
		c.out.overlaps = previous.overlaps
		c.keepBlockProblems(previous)
		return
	}
	removed := blockObjects(previousSet)
	added := blockObjects(c.set)
	for id, o := range added {
		if old, ok := removed[id]; ok && old.Version == o.Version {
			delete(added, id)
			delete(removed, id)
		}
	}
	c.updateTable(previous, removed, added)
}

// sameBlockObjects reports whether the objects that may contain blocks are the
// same in both sets.
func sameBlockObjects(a, b *config.Set) bool {
	return slices.Equal(blockVersions(a), blockVersions(b))
}

func blockVersions(set *config.Set) []int64 {
	var versions []int64
	for _, kind := range []string{KindClientBlocks, KindShard} {
		for _, o := range objectsOfKind(set, kind) {
			versions = append(versions, o.Version)
		}
	}
	return versions
}

// keepBlockProblems copies the previous problems of block objects, which are not
// decoded again.
func (c *compiler) keepBlockProblems(previous *compiled) {
	for _, p := range previous.problems {
		if p.Kind == KindClientBlocks || p.Kind == KindShard {
			c.out.problems = append(c.out.problems, p)
		}
	}
}

// updateTable applies the blocks that differ between the removed and the added
// objects to the previous table. It rebuilds the table if the change is large,
// if block objects had problems, or if a prefix occurs in more than one block.
func (c *compiler) updateTable(previous *compiled, removed, added map[config.ID]config.Object) {
	if storedBytes(removed)+storedBytes(added) > maxComparedBytes {
		c.rebuildTable()
		return
	}
	table, ok := previous.snapshot.Blocks.(*lookup.Table)
	removedBlocks := slices.Collect(blocksOf(removed, func(config.Object, error) {}))
	addedBlocks := slices.Collect(blocksOf(added, func(config.Object, error) {}))
	removedBlocks, addedBlocks = difference(removedBlocks, addedBlocks)
	clean := previous.overlaps == 0 && !slices.ContainsFunc(previous.problems, isBlockProblem)
	if !ok || !clean || len(removedBlocks)+len(addedBlocks) > maxChangedBlocks {
		c.rebuildTable()
		return
	}
	next := table.With(removedBlocks, addedBlocks)
	if next.Len() != table.Len()-len(removedBlocks)+len(addedBlocks) {
		// A prefix occurs in two blocks. Only a rebuild, which reads the blocks
		// in a fixed order, assigns it the same place on every entry VM.
		c.rebuildTable()
		return
	}
	c.out.snapshot.Blocks = next
}

func storedBytes(objs map[config.ID]config.Object) int {
	sum := 0
	for _, o := range objs {
		sum += len(o.Value)
	}
	return sum
}

func isBlockProblem(p *Problem) bool { return p.Kind == KindClientBlocks || p.Kind == KindShard }

// difference returns the blocks that only one of the two lists contains.
func difference(removed, added []routing.Block) (onlyRemoved, onlyAdded []routing.Block) {
	pending := make(map[routing.Block]bool, len(removed))
	for _, block := range removed {
		pending[block] = true
	}
	for _, block := range added {
		if pending[block] {
			delete(pending, block)
			continue
		}
		onlyAdded = append(onlyAdded, block)
	}
	for _, block := range removed {
		if pending[block] {
			onlyRemoved = append(onlyRemoved, block)
		}
	}
	return onlyRemoved, onlyAdded
}

func (c *compiler) rebuildTable() {
	objs := blockObjects(c.set)
	c.reportMissingShards()
	table, overlaps := lookup.NewTable(blocksOf(objs, c.report))
	c.out.snapshot.Blocks = table
	c.out.overlaps = overlaps
}

// reportMissingShards reports each shard that a manifest lists and that is not
// stored. The shards that are stored stay in use.
func (c *compiler) reportMissingShards() {
	for _, o := range objectsOfKind(c.set, KindClientBlocks) {
		names, err := ShardNames(o.Value)
		if err != nil {
			continue // reported when the object is decoded
		}
		for _, name := range names {
			if _, ok := c.set.Get(config.ID{Kind: KindShard, Name: name}); !ok {
				c.report(o, &MissingShardError{Shard: name})
			}
		}
	}
}

// blockObjects returns the objects whose blocks are in force: every ClientBlocks
// object and the shards that one of them lists. A shard that no manifest lists
// belongs to an unfinished write or was left over from an earlier one.
func blockObjects(set *config.Set) map[config.ID]config.Object {
	objs := map[config.ID]config.Object{}
	for _, o := range objectsOfKind(set, KindClientBlocks) {
		objs[o.ID] = o
		names, err := ShardNames(o.Value)
		if err != nil {
			continue // reported when the object is decoded
		}
		for _, name := range names {
			id := config.ID{Kind: KindShard, Name: name}
			if shard, ok := set.Get(id); ok {
				objs[id] = shard
			}
		}
	}
	return objs
}

// blocksOf iterates over the blocks of objs, ordered by the kind and name of the
// objects. It decodes one object at a time, because all blocks at once as parsed
// text would take several times the table's memory.
func blocksOf(objs map[config.ID]config.Object, report func(config.Object, error)) iter.Seq[routing.Block] {
	return func(yield func(routing.Block) bool) {
		for _, o := range sortedObjects(objs) {
			blocks, err := readBlocks(o)
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

func sortedObjects(objs map[config.ID]config.Object) []config.Object {
	all := make([]config.Object, 0, len(objs))
	for _, o := range objs {
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

func readBlocks(o config.Object) ([]routing.Block, error) {
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
