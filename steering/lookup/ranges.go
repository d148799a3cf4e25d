package lookup

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"
)

// noPlace is the place number of addresses that are in no block.
const noPlace = maxPlaces

// indexBits is the number of leading address bits that select an entry of the index.
const indexBits = 16

// ranges represents the blocks of one address family as consecutive address ranges that don't
// overlap, each with the place of its longest matching block. A look-up reads the index, a short
// run of range starts and one place: three or four cache lines, compared with ten or more for the
// prefix tree from which the ranges are built.
type ranges[K uint32 | uint64] struct {
	// index[i] is the position in starts of the first range that starts at or after i<<shift.
	index  []uint32
	starts []K
	places []uint16
	shift  uint
}

// find returns the place number for a key, or noPlace.
func (r *ranges[K]) find(key K) uint16 {
	group := key >> r.shift
	first, after := int(r.index[group]), int(r.index[group+1])
	run := r.starts[first:after]
	n, exact := slices.BinarySearch(run, key)
	if exact {
		n++
	}
	if first+n == 0 {
		return noPlace
	}
	return r.places[first+n-1]
}

// openBlock is a block whose last address flatten has not reached yet.
type openBlock[K uint32 | uint64] struct {
	last  K
	place uint16
}

// flatten builds ranges from blocks sorted by address, shorter prefixes before longer ones with the
// same address. key converts an address to a number of width bits.
func flatten[K uint32 | uint64](blocks iter.Seq2[netip.Prefix, uint16], key func(netip.Addr) K, width int) *ranges[K] {
	r := &ranges[K]{shift: uint(width - indexBits)}
	var stack []openBlock[K]
	for prefix, place := range blocks {
		first := key(prefix.Addr())
		stack = r.closeBefore(stack, first)
		r.startRange(first, place)
		span := ^K(0) >> prefix.Bits() // zero if the prefix covers a single key
		stack = append(stack, openBlock[K]{last: first | span, place: place})
	}
	for len(stack) > 0 {
		stack = r.closeInnermost(stack)
	}
	r.buildIndex()
	return r
}

// closeBefore closes the open blocks whose last address is below first.
func (r *ranges[K]) closeBefore(stack []openBlock[K], first K) []openBlock[K] {
	for len(stack) > 0 && stack[len(stack)-1].last < first {
		stack = r.closeInnermost(stack)
	}
	return stack
}

// closeInnermost closes the innermost open block. The enclosing block, or noPlace, applies after
// its last address.
func (r *ranges[K]) closeInnermost(stack []openBlock[K]) []openBlock[K] {
	ended := stack[len(stack)-1]
	stack = stack[:len(stack)-1]
	if ended.last == ^K(0) {
		return stack
	}
	place := uint16(noPlace)
	if len(stack) > 0 {
		place = stack[len(stack)-1].place
	}
	r.startRange(ended.last+1, place)
	return stack
}

// startRange starts a range at first. It replaces a range that starts at the same address, and adds
// nothing if the preceding range has the same place.
func (r *ranges[K]) startRange(first K, place uint16) {
	if n := len(r.starts); n > 0 && r.starts[n-1] == first {
		r.starts = r.starts[:n-1]
		r.places = r.places[:n-1]
	}
	if n := len(r.places); n > 0 && r.places[n-1] == place || n == 0 && place == noPlace {
		return
	}
	r.starts = append(r.starts, first)
	r.places = append(r.places, place)
}

func (r *ranges[K]) buildIndex() {
	r.starts = trimmed(r.starts)
	r.places = trimmed(r.places)
	r.index = make([]uint32, 1<<indexBits+1)
	next := 0
	for group := range 1 << indexBits {
		for next < len(r.starts) && uint64(r.starts[next]>>r.shift) < uint64(group) {
			next++
		}
		r.index[group] = uint32(next)
	}
	r.index[1<<indexBits] = uint32(len(r.starts))
}

// trimmed returns a copy without spare capacity, because a table may stay in memory for days.
func trimmed[T any](s []T) []T { return append(make([]T, 0, len(s)), s...) }

// ipv4Key converts an IPv4 address to a number.
func ipv4Key(a netip.Addr) uint32 {
	bytes := a.As4()
	return binary.BigEndian.Uint32(bytes[:])
}

// ipv6Key converts the upper 64 bits of an IPv6 address to a number.
func ipv6Key(a netip.Addr) uint64 {
	bytes := a.As16()
	return binary.BigEndian.Uint64(bytes[:maxIPv6Bits/8])
}

// maxIPv6Bits is the longest IPv6 prefix that ranges can represent. Networks don't use longer
// prefixes; [Table] handles the exception with the prefix tree.
const maxIPv6Bits = 64
