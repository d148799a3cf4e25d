package spread

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// itemsPerBucket is the average number of routes and workspaces in a bucket. The change of one item
// costs the hashes of its bucket, 8 bytes each, and an Outline costs 8 bytes per bucket; at 4,000
// routes both are about 500 bytes.
const itemsPerBucket = 64

// Outline summarizes a configuration by hashes, so that two configurations can be compared part by
// part.
type Outline struct {
	Version uint64
	// Buckets holds a hash of the items of each bucket. The number of buckets is a power of two.
	Buckets []uint64
	// Rest is a hash of everything that is neither a route nor a workspace.
	Rest uint64
}

// ContentHash returns a hash of the content, which does not depend on the version.
func (o Outline) ContentHash() uint64 {
	d := digest{xxhash.New()}
	d.number(o.Rest)
	for _, hash := range o.Buckets {
		d.number(hash)
	}
	return d.Sum64()
}

// item is a route or a workspace, with the hash of its content.
type item struct {
	hash      uint64
	route     *routes.Route
	workspace *identity.Workspace
}

func itemOfRoute(r *routes.Route) item { return item{hash: hashOfRoute(r), route: r} }

func itemOfWorkspace(w *identity.Workspace) item {
	return item{hash: hashOfWorkspace(w), workspace: w}
}

// Index is a configuration with the hashes of its parts. It is immutable.
type Index struct {
	table   *routes.Table
	outline Outline
	buckets [][]item
}

// NewIndex returns the index of a table.
func NewIndex(t *routes.Table) *Index {
	workspaces := t.Workspaces.All()
	all := make([]item, 0, len(t.Routes)+len(workspaces))
	for _, r := range t.Routes {
		all = append(all, itemOfRoute(r))
	}
	for _, w := range workspaces {
		all = append(all, itemOfWorkspace(w))
	}
	x := &Index{table: t, buckets: groupIntoBuckets(all, bucketCount(len(all)))}
	x.outline = Outline{Version: t.Version, Rest: hashOfRest(t), Buckets: make([]uint64, len(x.buckets))}
	for n, bucket := range x.buckets {
		x.outline.Buckets[n] = hashOfBucket(bucket)
	}
	return x
}

// Table returns the configuration that is indexed.
func (x *Index) Table() *routes.Table { return x.table }

// Outline returns the hashes of the configuration.
func (x *Index) Outline() Outline { return x.outline }

// bucketCount returns the number of buckets for n items.
func bucketCount(n int) int {
	count := 1
	for count*itemsPerBucket < n {
		count *= 2
	}
	return count
}

// groupIntoBuckets divides items into buckets. Each bucket is sorted by hash and has no duplicates.
func groupIntoBuckets(all []item, count int) [][]item {
	buckets := make([][]item, count)
	for _, e := range all {
		n := e.bucket(count)
		buckets[n] = append(buckets[n], e)
	}
	for n := range buckets {
		buckets[n] = sorted(buckets[n])
	}
	return buckets
}

func sorted(bucket []item) []item {
	slices.SortFunc(bucket, func(a, b item) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	return slices.CompactFunc(bucket, func(a, b item) bool { return a.hash == b.hash })
}

// bucket returns the bucket of an item. It depends only on the host and prefix of a route or the
// name of a workspace, so that an item whose content changes stays in its bucket.
func (e item) bucket(count int) int {
	key := ""
	if e.workspace != nil {
		key = "workspace\x00" + string(e.workspace.Name)
	} else {
		key = e.route.Host + "\x00" + e.route.Prefix
	}
	return int(xxhash.Sum64String(key) & uint64(count-1))
}

func hashOfBucket(bucket []item) uint64 {
	d := digest{xxhash.New()}
	for _, e := range bucket {
		d.number(e.hash)
	}
	return d.Sum64()
}

// hashOfRoute returns a hash of all fields of a route.
func hashOfRoute(r *routes.Route) uint64 {
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
	d.flag(r.Public)
	for _, home := range r.Homes {
		d.text(string(home))
	}
	return d.Sum64()
}

// hashOfWorkspace returns a hash of all fields of a workspace.
func hashOfWorkspace(w *identity.Workspace) uint64 {
	d := digest{xxhash.New()}
	d.text(string(w.Name))
	d.number(uint64(len(w.Keys)))
	for _, key := range w.Keys {
		_, _ = d.Write(key[:])
	}
	d.flag(w.Rank != nil)
	d.number(uint64(w.RankOr(0)))
	d.number(math.Float64bits(w.Rate))
	d.number(math.Float64bits(w.Burst))
	for _, home := range w.Homes {
		d.text(string(home))
	}
	return d.Sum64()
}

// hashOfRest returns a hash of the limits and of the services, independent of their order.
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

// digest writes values to a hash. Writing to a hash never fails.
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
