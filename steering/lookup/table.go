package lookup

import (
	"iter"
	"maps"
	"math"
	"net/netip"

	"github.com/gaissmai/bart"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// maxPlaces is the maximum number of distinct places in a table.
const maxPlaces = math.MaxUint16

// Table maps client address blocks to home places. It is immutable; [Table.With] returns a modified
// table that shares most of its memory with the original. It implements [routing.BlockTable].
//
// The blocks are stored twice: in a prefix tree, which can be modified block by block, and as
// ranges, which are built from the tree and answer look-ups.
type Table struct {
	// prefixes maps blocks to two-byte indexes into places. A place name for each block would use
	// more memory than the rest of the table.
	prefixes *bart.Table[uint16]
	places   []steering.Place
	numbers  map[steering.Place]uint16
	ranges4  *ranges[uint32]
	// ranges6 is nil if a block is longer than maxIPv6Bits; IPv6 look-ups then use the tree.
	ranges6 *ranges[uint64]
}

var _ routing.BlockTable = (*Table)(nil)

// NewTable returns a table of the blocks and the number of blocks that repeat the prefix of an
// earlier one; the last block with a prefix wins. Once the table has maxPlaces places, blocks of
// further places are dropped.
func NewTable(blocks iter.Seq[routing.Block]) (*Table, int) {
	t := &Table{prefixes: new(bart.Table[uint16]), numbers: map[steering.Place]uint16{}}
	total := 0
	for block := range blocks {
		if number, ok := t.number(block.Place); ok {
			t.prefixes.Insert(block.Prefix, number)
			total++
		}
	}
	t.flatten()
	return t, total - t.prefixes.Size()
}

func emptyTable() *Table {
	table, _ := NewTable(func(func(routing.Block) bool) {})
	return table
}

// number returns the index of a place, adding the place if it is new. It returns false if the table
// already has maxPlaces places.
func (t *Table) number(place steering.Place) (uint16, bool) {
	if number, ok := t.numbers[place]; ok {
		return number, true
	}
	if len(t.places) >= maxPlaces {
		return 0, false
	}
	number := uint16(len(t.places))
	t.places = append(t.places, place)
	t.numbers[place] = number
	return number, true
}

// With returns the table without the removed blocks and with the added ones. Each block copies only
// the nodes on its path in the tree. For more than a few thousand blocks NewTable is faster.
func (t *Table) With(removed, added []routing.Block) *Table {
	next := &Table{prefixes: t.prefixes, places: append([]steering.Place(nil), t.places...), numbers: maps.Clone(t.numbers)}
	for _, block := range removed {
		next.prefixes = next.prefixes.DeletePersist(block.Prefix)
	}
	for _, block := range added {
		if number, ok := next.number(block.Place); ok {
			next.prefixes = next.prefixes.InsertPersist(block.Prefix, number)
		}
	}
	next.flatten()
	return next
}

// flatten builds the ranges from the tree.
func (t *Table) flatten() {
	t.ranges4 = flatten(t.prefixes.AllSorted4(), ipv4Key, 32)
	for prefix := range t.prefixes.All6() {
		if prefix.Bits() > maxIPv6Bits {
			return
		}
	}
	t.ranges6 = flatten(t.prefixes.AllSorted6(), ipv6Key, maxIPv6Bits)
}

// Lookup implements [routing.BlockTable].
func (t *Table) Lookup(addr netip.Addr) (steering.Place, bool) {
	number, ok := t.find(addr)
	if !ok {
		return "", false
	}
	return t.places[number], true
}

// find returns the index of addr's home place. IPv4-mapped IPv6 addresses, as dual-stack listeners
// report them, are treated as IPv4.
func (t *Table) find(addr netip.Addr) (uint16, bool) {
	addr = addr.Unmap()
	number := uint16(noPlace)
	switch {
	case addr.Is4():
		number = t.ranges4.find(ipv4Key(addr))
	case t.ranges6 != nil && addr.Is6():
		number = t.ranges6.find(ipv6Key(addr))
	default:
		return t.prefixes.Lookup(addr)
	}
	return number, number != noPlace
}

// Len implements [routing.BlockTable].
func (t *Table) Len() int { return t.prefixes.Size() }
