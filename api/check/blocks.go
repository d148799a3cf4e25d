package check

import (
	"fmt"
	"net/netip"

	"heatherlock/api/oas"
)

// BlockCheck compares the client blocks of one object with those of all others, one object at a
// time: with 680,000 blocks, holding all of them in memory as objects at once would exceed the
// memory that an entry VM may use for its control loops.
type BlockCheck struct {
	own      oas.ClientBlocks
	index    map[netip.Prefix]int
	problems Problems
}

// NewBlockCheck returns a BlockCheck for own, an object that is about to be stored.
func NewBlockCheck(own oas.ClientBlocks) *BlockCheck {
	index := make(map[netip.Prefix]int, len(own.Spec.Blocks))
	for i, block := range own.Spec.Blocks {
		if prefix, err := netip.ParsePrefix(block.Prefix); err == nil {
			index[prefix.Masked()] = i
		}
	}
	return &BlockCheck{own: own, index: index}
}

// Compare records a problem for each block that is also in other, up to MaxProblems. It skips the
// stored version of the object itself.
func (b *BlockCheck) Compare(other oas.ClientBlocks) {
	if other.Metadata.Name == b.own.Metadata.Name {
		return
	}
	r := report{Ref{oas.KindClientBlocks, string(b.own.Metadata.Name)}, &b.problems}
	for _, block := range other.Spec.Blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			continue
		}
		if i, taken := b.index[prefix.Masked()]; taken && len(b.problems) < MaxProblems {
			r.invalid(fmt.Sprintf("spec.blocks[%d].prefix", i), "remove it from one of the two", "%s is also in ClientBlocks/%s", prefix, other.Metadata.Name)
		}
	}
}

// Problems returns the problems that the calls of Compare have recorded.
func (b *BlockCheck) Problems() Problems { return b.problems }

// PlaceInUse returns a problem if any of the client blocks belongs to the place, which therefore
// must not be deleted.
func PlaceInUse(blocks oas.ClientBlocks, place string) Problems {
	var problems Problems
	r := report{Ref{oas.KindClientBlocks, string(blocks.Metadata.Name)}, &problems}
	for i, block := range blocks.Spec.Blocks {
		if block.Place == place {
			r.invalid(fmt.Sprintf("spec.blocks[%d].place", i), "give the blocks another place first", "blocks belong to Place/%s", truncate(place))
			return problems
		}
	}
	return nil
}
