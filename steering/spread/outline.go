package spread

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering/routes"
)

// routesPerBucket is how many routes a bucket holds on average. One route that
// changes costs the hashes of its bucket, 8 bytes each, and an Outline 8 bytes a
// bucket; at 4,000 routes both are about 500 bytes.
const routesPerBucket = 64

// Outline sums up a configuration, so that two can be told apart by their parts.
type Outline struct {
	Version uint64
	// Buckets are hashes of the routes of each bucket; their number is a power of two.
	Buckets []uint64
	// Rest is a hash of what is not a route.
	Rest uint64
}

// ContentHash tells configurations of different content apart, whatever their versions.
func (o Outline) ContentHash() uint64 {
	d := digest{xxhash.New()}
	d.number(o.Rest)
	for _, hash := range o.Buckets {
		d.number(hash)
	}
	return d.Sum64()
}

// entry is a route and the hash of its content.
type entry struct {
	hash  uint64
	route *routes.Route
}

// Index is a configuration with the hashes of its parts. It does not change.
type Index struct {
	table   *routes.Table
	outline Outline
	buckets [][]entry
}

// NewIndex returns the index of a table.
func NewIndex(t *routes.Table) *Index {
	all := make([]entry, 0, len(t.Routes))
	for _, r := range t.Routes {
		all = append(all, entry{hash: hashOf(r), route: r})
	}
	x := &Index{table: t, buckets: group(all, bucketCount(len(all)))}
	x.outline = Outline{Version: t.Version, Rest: hashOfRest(t), Buckets: make([]uint64, len(x.buckets))}
	for n, bucket := range x.buckets {
		x.outline.Buckets[n] = hashOfBucket(bucket)
	}
	return x
}

// Table returns the table that the index is of.
func (x *Index) Table() *routes.Table { return x.table }

// Outline returns the table's outline.
func (x *Index) Outline() Outline { return x.outline }

// bucketCount returns the number of buckets for so many routes.
func bucketCount(n int) int {
	count := 1
	for count*routesPerBucket < n {
		count *= 2
	}
	return count
}

// group spreads routes over buckets; each is ordered by hash, without doubles.
func group(all []entry, count int) [][]entry {
	buckets := make([][]entry, count)
	for _, e := range all {
		n := bucketOf(e.route, count)
		buckets[n] = append(buckets[n], e)
	}
	for n := range buckets {
		buckets[n] = sorted(buckets[n])
	}
	return buckets
}

func sorted(bucket []entry) []entry {
	slices.SortFunc(bucket, func(a, b entry) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	return slices.CompactFunc(bucket, func(a, b entry) bool { return a.hash == b.hash })
}

// bucketOf depends on the route's place alone, so that a route whose content changes
// stays in its bucket.
func bucketOf(r *routes.Route, count int) int {
	return int(xxhash.Sum64String(r.Host+"\x00"+r.Prefix) & uint64(count-1))
}

func hashOfBucket(bucket []entry) uint64 {
	d := digest{xxhash.New()}
	for _, e := range bucket {
		d.number(e.hash)
	}
	return d.Sum64()
}

// hashOf returns a hash of all that a route says.
func hashOf(r *routes.Route) uint64 {
	d := digest{xxhash.New()}
	d.text(r.Name)
	d.text(r.Host)
	d.text(r.Prefix)
	d.number(uint64(r.Kind))
	d.number(uint64(r.Timeout))
	d.number(uint64(r.Aim))
	d.number(uint64(r.Rank))
	d.number(uint64(r.MaxAttempts))
	d.flag(r.KeyAffinity)
	d.number(uint64(len(r.Parts)))
	for _, p := range r.Parts {
		d.text(string(p.Service))
		d.number(math.Float64bits(p.Weight))
	}
	for _, home := range r.Homes {
		d.text(string(home))
	}
	return d.Sum64()
}

// hashOfRest returns a hash of the services, in any order, and the limits.
func hashOfRest(t *routes.Table) uint64 {
	var services uint64
	for _, s := range t.Services {
		d := digest{xxhash.New()}
		d.text(string(s.Name))
		d.text(s.HealthPath)
		d.number(uint64(s.MaxConnections))
		d.number(uint64(s.ColdFor))
		d.number(math.Float64bits(s.ColdRate))
		services += d.Sum64()
	}
	d := digest{xxhash.New()}
	d.number(services)
	d.number(uint64(t.Limits.HeaderBytes))
	d.number(uint64(t.Limits.BodyBytes))
	d.number(uint64(t.Limits.HeaderTimeout))
	d.number(uint64(t.Limits.IdleTimeout))
	return d.Sum64()
}

// digest writes values to a hash; the hash takes all.
type digest struct{ *xxhash.Digest }

func (d digest) number(n uint64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], n)
	_, _ = d.Write(raw[:])
}

func (d digest) text(s string) {
	d.number(uint64(len(s)))
	_, _ = d.WriteString(s)
}

func (d digest) flag(set bool) {
	if set {
		d.number(1)
		return
	}
	d.number(0)
}
