package lookup

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"
)

// noPlace marks addresses that belong to no block.
const noPlace = maxPlaces

// indexBits is the number of leading address bits that lead straight to a
// group of ranges.
const indexBits = 16

// ranges is the blocks of one address family as ranges that do not overlap,
// each with the place of its longest block. A look-up reads the index, one
// short run of starts and one place: three or four cache lines, where the
// prefix tree that the ranges are made from reads ten or more.
type ranges[K uint32 | uint64] struct {
	// index[i] is the first range that starts at or after i<<shift.
	index  []uint32
	starts []K
	places []uint16
	shift  uint
}

// find returns the place number for a key, noPlace if there is none.
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

// open is a block whose end has not been passed.
type open[K uint32 | uint64] struct {
	last  K
	place uint16
}

// flatten makes ranges of blocks in order of address, shorter prefixes first.
// key and the width in bits say how an address becomes a key.
func flatten[K uint32 | uint64](blocks iter.Seq2[netip.Prefix, uint16], key func(netip.Addr) K, width int) *ranges[K] {
	r := &ranges[K]{shift: uint(width - indexBits)}
	var stack []open[K]
	for prefix, place := range blocks {
		first := key(prefix.Addr())
		stack = r.closeBefore(stack, first)
		r.begin(first, place)
		span := ^K(0) >> prefix.Bits() // zero for a host
		stack = append(stack, open[K]{last: first | span, place: place})
	}
	for len(stack) > 0 {
		stack = r.closeTop(stack)
	}
	r.makeIndex()
	return r
}

// closeBefore ends the open blocks that end before first.
func (r *ranges[K]) closeBefore(stack []open[K], first K) []open[K] {
	for len(stack) > 0 && stack[len(stack)-1].last < first {
		stack = r.closeTop(stack)
	}
	return stack
}

// closeTop ends the innermost open block: the one around it goes on.
func (r *ranges[K]) closeTop(stack []open[K]) []open[K] {
	ended := stack[len(stack)-1]
	stack = stack[:len(stack)-1]
	if ended.last == ^K(0) {
		return stack
	}
	place := uint16(noPlace)
	if len(stack) > 0 {
		place = stack[len(stack)-1].place
	}
	r.begin(ended.last+1, place)
	return stack
}

// begin starts a range; a range begun at the same address is replaced, and one
// that only continues the place before it is left out.
func (r *ranges[K]) begin(first K, place uint16) {
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

func (r *ranges[K]) makeIndex() {
	r.starts = exact(r.starts)
	r.places = exact(r.places)
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

// exact returns a copy without spare capacity: a table is kept for days.
func exact[T any](s []T) []T { return append(make([]T, 0, len(s)), s...) }

// key4 is an IPv4 address as a number.
func key4(a netip.Addr) uint32 {
	bytes := a.As4()
	return binary.BigEndian.Uint32(bytes[:])
}

// key6 is the first half of an IPv6 address; blocks are no longer than that.
func key6(a netip.Addr) uint64 {
	bytes := a.As16()
	return binary.BigEndian.Uint64(bytes[:half6/8])
}

// half6 is the longest IPv6 prefix that ranges are made of: networks are not
// longer than that.
const half6 = 64
