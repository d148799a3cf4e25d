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

// TableResult is one way to keep the blocks.
type TableResult struct {
	Way              string  `json:"way"`
	BuildMs          float64 `json:"buildMs"`
	MB               float64 `json:"mb"`
	NsPerLookup      float64 `json:"nsPerLookup"`
	LookupsPerSecond float64 `json:"lookupsPerSecondPerCore"`
	Missed           int     `json:"missed"`
}

// finder is what the ways have in common.
type finder func(netip.Addr) bool

// tables measures the table in use against other ways to keep the blocks.
func (w *world) tables() []TableResult {
	return []TableResult{
		w.table("in use: ranges, and the bart.Table they come from", func() finder {
			table, _ := lookup.NewTable(slices.Values(w.blocks))
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		w.table("bart.Table, place numbers of two bytes", func() finder {
			table := new(bart.Table[uint16])
			for i, block := range w.blocks {
				table.Insert(block.Prefix, uint16(i%w.options.Places))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		w.table("bart.Fast, place numbers of two bytes", func() finder {
			table := new(bart.Fast[uint16])
			for i, block := range w.blocks {
				table.Insert(block.Prefix, uint16(i%w.options.Places))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		w.table("bart.Table, place names", func() finder {
			table := new(bart.Table[string])
			for _, block := range w.blocks {
				table.Insert(block.Prefix, string(block.Place))
			}
			return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
		}),
		w.table("Go map per prefix, longest first", func() finder { return mapTable(w.blocks) }),
	}
}

// mapTable asks a map for every prefix length in use, longest first.
func mapTable(blocks []routing.Block) finder {
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

func (w *world) table(way string, build func() finder) TableResult {
	before := liveBytes()
	begun := time.Now()
	find := build()
	r := TableResult{Way: way, BuildMs: milliseconds(time.Since(begun))}
	r.MB = megabytes(liveBytes() - before)
	r.NsPerLookup, r.Missed = w.timeLookups(find)
	r.LookupsPerSecond = 1e9 / r.NsPerLookup
	runtime.KeepAlive(find)
	return r
}

// timeLookups runs look-ups of the drawn clients on one core for a round.
func (w *world) timeLookups(find finder) (nsEach float64, missed int) {
	done := 0
	begun := time.Now()
	for time.Since(begun) < w.options.Round {
		for _, client := range w.clients {
			if !find(client) {
				missed++
			}
		}
		done += len(w.clients)
	}
	return float64(time.Since(begun).Nanoseconds()) / float64(done), missed
}

// liveBytes returns the heap in use after a collection.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func megabytes(n uint64) float64 { return float64(int64(n)) / 1e6 }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
