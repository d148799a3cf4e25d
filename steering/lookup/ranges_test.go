package lookup

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// drawAddr draws addresses that often have leading bytes in common and are often at the ends of the
// address space.
func drawAddr(t *rapid.T, size int) netip.Addr {
	bytes := make([]byte, size)
	for i := range bytes {
		bytes[i] = rapid.SampledFrom([]byte{0, 0, 1, 128, 255, 255}).Draw(t, "byte")
	}
	addr, _ := netip.AddrFromSlice(bytes)
	return addr
}

// Guards against a client at the boundary of a block, or in a nested block, that is given the home
// of another block. This happens if a range ends one address too early or too late, or if the end
// of a nested block is taken for the end of the enclosing one.
func TestRangesMatchPrefixTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []routing.Block
		for range rapid.IntRange(0, 25).Draw(t, "blocks") {
			size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
			longest := size * 8
			if size == 16 && rapid.IntRange(0, 9).Draw(t, "long") > 0 {
				longest = maxIPv6Bits
			}
			prefix, _ := drawAddr(t, size).Prefix(rapid.IntRange(0, longest).Draw(t, "bits"))
			place := steering.Place(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "place"))
			blocks = append(blocks, routing.Block{Prefix: prefix, Place: place})
		}
		table, _ := NewTable(func(yield func(routing.Block) bool) {
			for _, block := range blocks {
				if !yield(block) {
					return
				}
			}
		})
		check := func(addr netip.Addr) {
			if !addr.IsValid() {
				return
			}
			want, wantOK := table.prefixes.Lookup(addr.Unmap())
			got, ok := table.find(addr)
			assert.Equal(t, ok, wantOK, "%s", addr)
			if ok {
				assert.Equal(t, got, want, "%s", addr)
			}
		}
		for _, block := range blocks {
			first := block.Prefix.Addr()
			bytes := first.AsSlice()
			for bit := block.Prefix.Bits(); bit < len(bytes)*8; bit++ {
				bytes[bit/8] |= 0x80 >> (bit % 8)
			}
			last, _ := netip.AddrFromSlice(bytes)
			for _, addr := range []netip.Addr{first, first.Prev(), last, last.Next()} {
				check(addr)
			}
		}
		for range 20 {
			check(drawAddr(t, 4))
			check(drawAddr(t, 16))
		}
	})
}
