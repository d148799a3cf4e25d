package benchlookup

import (
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"heatherlock/steering/lookup"
	"heatherlock/steering/routing"
)

// TableResult is the result for one data structure that stores the client blocks.
type TableResult struct {
	Way              string  `json:"way"`
	BuildMs          float64 `json:"buildMs"`
	MB               float64 `json:"mb"`
	NsPerLookup      float64 `json:"nsPerLookup"`
	LookupsPerSecond float64 `json:"lookupsPerSecondPerCore"`
	Missed           int     `json:"missed"`
}

// lookupFunc reports whether a block contains the address.
type lookupFunc func(netip.Addr) bool

// tables measures the table that heatherlock uses and alternative data structures.
func (d *deployment) tables() []TableResult {
	return []TableResult{
		d.table("in use: ranges, and the bart.Table they come from", func() lookupFunc {
			table, _ := lookup.NewTable(slices.Values(d.blocks))
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		d.table("bart.Table, place numbers of two bytes", func() lookupFunc {
			table := new(bart.Table[uint16])
			for i, block := range d.blocks {
				table.Insert(block.Prefix, uint16(i%d.options.Places))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		d.table("bart.Fast, place numbers of two bytes", func() lookupFunc {
			table := new(bart.Fast[uint16])
			for i, block := range d.blocks {
				table.Insert(block.Prefix, uint16(i%d.options.Places))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		d.table("bart.Table, place names", func() lookupFunc {
			table := new(bart.Table[string])
			for _, block := range d.blocks {
				table.Insert(block.Prefix, string(block.Place))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		d.table("Go map per prefix, longest first", func() lookupFunc { return mapTable(d.blocks) }),
	}
}

// mapTable returns a lookup function that probes a map once for each prefix length in use, longest
// first.
func mapTable(blocks []routing.Block) lookupFunc {
	byPrefix := make(map[netip.Prefix]uint16, len(blocks))
	lengths := map[bool][]int{}
	for _, block := range blocks {
		byPrefix[block.Prefix] = 0
		is4 := block.Prefix.Addr().Is4()
		if !slices.Contains(lengths[is4], block.Prefix.Bits()) {
			lengths[is4] = append(lengths[is4], block.Prefix.Bits())
		}
	}
	for _, l := range lengths {
		slices.Sort(l)
		slices.Reverse(l)
	}
	return func(a netip.Addr) bool {
		for _, bits := range lengths[a.Is4()] {
			prefix, _ := a.Prefix(bits)
			if _, ok := byPrefix[prefix]; ok {
				return true
			}
		}
		return false
	}
}

func (d *deployment) table(label string, build func() lookupFunc) TableResult {
	before := liveBytes()
	startedAt := time.Now()
	lookUp := build()
	r := TableResult{Way: label, BuildMs: milliseconds(time.Since(startedAt))}
	r.MB = megabytes(liveBytes() - before)
	r.NsPerLookup, r.Missed = d.timeLookups(lookUp)
	r.LookupsPerSecond = 1e9 / r.NsPerLookup
	runtime.KeepAlive(lookUp)
	return r
}

// timeLookups looks up the sampled clients again and again on one core for one round. It returns the
// time per lookup and the number of lookups that found no block.
func (d *deployment) timeLookups(lookUp lookupFunc) (nsEach float64, missed int) {
	done := 0
	startedAt := time.Now()
	for time.Since(startedAt) < d.options.Round {
		for _, client := range d.clients {
			if !lookUp(client) {
				missed++
			}
		}
		done += len(d.clients)
	}
	return float64(time.Since(startedAt).Nanoseconds()) / float64(done), missed
}

// liveBytes returns the size of the heap in bytes after two garbage collections.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func megabytes(n uint64) float64 { return float64(int64(n)) / 1e6 }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
