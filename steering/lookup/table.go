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

// maxPlaces bounds the places one table can name.
const maxPlaces = math.MaxUint16

// Table maps client blocks to home places. It is immutable; With returns a
// table that shares most of its memory. It implements [routing.BlockTable].
//
// The blocks are kept twice: as a prefix tree, which is changed block by block,
// and as ranges, which are made from the tree and answer look-ups.
type Table struct {
	// prefixes holds place numbers of two bytes: a place name per block would
	// take more memory than the whole table.
	prefixes *bart.Table[uint16]
	places   []steering.Place
	numbers  map[steering.Place]uint16
	ranges4  *ranges[uint32]
	// ranges6 is nil when an IPv6 block is longer than half6; the tree answers
	// then.
	ranges6 *ranges[uint64]
}

var _ routing.BlockTable = (*Table)(nil)

// NewTable builds a table. A prefix that occurs again takes the later place;
// the second result counts these.
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

// number returns the place's number, giving it one if needed.
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

// With returns the table without the removed blocks and with the added ones.
// Each block copies the few nodes on its path; past some thousands of blocks
// NewTable is faster.
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

// flatten makes the ranges from the tree.
func (t *Table) flatten() {
	t.ranges4 = flatten(t.prefixes.AllSorted4(), key4, 32)
	for prefix := range t.prefixes.All6() {
		if prefix.Bits() > half6 {
			return
		}
	}
	t.ranges6 = flatten(t.prefixes.AllSorted6(), key6, half6)
}

// Lookup implements [routing.BlockTable].
func (t *Table) Lookup(addr netip.Addr) (steering.Place, bool) {
	number, ok := t.find(addr)
	if !ok {
		return "", false
	}
	return t.places[number], true
}

// find returns the number of addr's home place. IPv4 addresses mapped into
// IPv6, as dual-stack listeners report them, count as IPv4.
func (t *Table) find(addr netip.Addr) (uint16, bool) {
	addr = addr.Unmap()
	number := uint16(noPlace)
	switch {
	case addr.Is4():
		number = t.ranges4.find(key4(addr))
	case t.ranges6 != nil && addr.Is6():
		number = t.ranges6.find(key6(addr))
	default:
		return t.prefixes.Lookup(addr)
	}
	return number, number != noPlace
}

// Len implements [routing.BlockTable].
func (t *Table) Len() int { return t.prefixes.Size() }
