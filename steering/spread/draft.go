package spread

import (
	"fmt"
	"maps"
	"slices"

	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// PieceError reports a piece that cannot be assembled.
type PieceError struct {
	Version uint64
	// Problem is the reason.
	Problem string
}

// Error implements the error interface.
func (e *PieceError) Error() string {
	return fmt.Sprintf("spread: invalid part of configuration %d: %s; ask another entry VM", e.Version, e.Problem)
}

// Assembler is a configuration that is being assembled from pieces. It is not safe for concurrent
// use.
type Assembler struct {
	// known holds all items of the configuration in force and all that were received, by the hash
	// of their content.
	known   map[uint64]item
	base    *Index // may be nil
	outline Outline
	rest    *Rest
	// restHash is the hash of rest.
	restHash uint64
	// complete holds the buckets of the outline that are complete; missing lists the others.
	complete map[int][]item
	missing  []int
	// knownByBucket holds the known items by bucket.
	knownByBucket [][]item
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler { return &Assembler{known: make(map[uint64]item)} }

// SetBase sets the configuration in force, whose items need not be fetched. It may be nil.
func (d *Assembler) SetBase(base *Index) {
	if base == nil || base == d.base {
		return
	}
	d.base = base
	for _, bucket := range base.buckets {
		for _, e := range bucket {
			d.known[e.hash] = e
		}
	}
	if d.rest == nil {
		d.setRest(restOf(base.table))
	}
	d.findMissing()
}

func restOf(t *routes.Table) *Rest {
	return &Rest{Services: slices.Collect(maps.Values(t.Services)), Limits: t.Limits}
}

func (d *Assembler) setRest(r *Rest) {
	d.rest = r
	d.restHash = hashOfRest(routes.NewTable(0, nil, r.Services, r.Limits))
}

// Version returns the version that is being assembled, or 0 before the first outline.
func (d *Assembler) Version() uint64 { return d.outline.Version }

// SetOutline sets the outline of the version to assemble, if it is newer than the current one.
// Items that are known already are kept.
func (d *Assembler) SetOutline(o Outline) {
	count := len(o.Buckets)
	if o.Version <= d.outline.Version || count == 0 || count&(count-1) != 0 {
		return
	}
	d.outline = o
	d.findMissing()
}

// findMissing determines which buckets of the outline are missing.
func (d *Assembler) findMissing() {
	count := len(d.outline.Buckets)
	if count == 0 {
		return
	}
	d.complete, d.missing = make(map[int][]item), nil
	all := make([]item, 0, len(d.known))
	for _, e := range d.known {
		all = append(all, e)
	}
	d.knownByBucket = groupIntoBuckets(all, count)
	base := d.baseBuckets(count)
	for n, hash := range d.outline.Buckets {
		switch {
		case base != nil && hashOfBucket(base[n]) == hash:
			d.complete[n] = base[n]
		case hashOfBucket(d.knownByBucket[n]) == hash:
			d.complete[n] = d.knownByBucket[n]
		default:
			d.missing = append(d.missing, n)
		}
	}
}

// baseBuckets returns the items in force, divided into count buckets.
func (d *Assembler) baseBuckets(count int) [][]item {
	if d.base == nil {
		return nil
	}
	if len(d.base.buckets) == count {
		return d.base.buckets
	}
	return groupIntoBuckets(slices.Concat(d.base.buckets...), count)
}

// minBytesPerBucket is the smallest size that is expected of a bucket in an answer. It limits the
// number of buckets in one request, because the hashes of buckets that do not fit into the answer
// would be sent for nothing.
const minBytesPerBucket = 2 << 10

// Request returns the next request, for an answer of about the given number of bytes.
func (d *Assembler) Request(bytes int) Request {
	need := Request{Version: d.outline.Version, Bytes: bytes}
	if d.outline.Version == 0 {
		return need
	}
	need.Rest = d.restMissing()
	for _, n := range d.missing[:min(len(d.missing), max(1, bytes/minBytesPerBucket))] {
		b := BucketRequest{Number: n}
		for _, e := range d.knownByBucket[n] {
			b.Have = append(b.Have, e.hash)
		}
		need.Buckets = append(need.Buckets, b)
	}
	need.More = len(need.Buckets) < len(d.missing)
	return need
}

func (d *Assembler) restMissing() bool { return d.rest == nil || d.restHash != d.outline.Rest }

// Apply applies a piece. Items of a piece that is rejected are kept, since each is identified by
// its content.
func (d *Assembler) Apply(p Piece) error {
	if p.Outline != nil {
		if p.Outline.Version < d.outline.Version {
			return &PieceError{Version: p.Outline.Version, Problem: "the peer has an older version"}
		}
		d.SetOutline(*p.Outline)
		return nil
	}
	if p.Version != d.outline.Version {
		return &PieceError{Version: p.Version, Problem: "it belongs to another version"}
	}
	if p.Rest != nil {
		d.setRest(p.Rest)
	}
	for _, b := range p.Buckets {
		if err := d.applyBucket(b); err != nil {
			return err
		}
	}
	return nil
}

func (d *Assembler) applyBucket(b BucketPiece) error {
	at := slices.Index(d.missing, b.Number)
	if at < 0 {
		return nil // already complete
	}
	bucket := make([]item, 0, len(b.Keep)+len(b.Routes)+len(b.Workspaces))
	for _, w := range b.Routes {
		bucket = append(bucket, d.addItem(b.Number, itemOfRoute(w.route())))
	}
	for _, w := range b.Workspaces {
		bucket = append(bucket, d.addItem(b.Number, itemOfWorkspace(w.workspace())))
	}
	for _, hash := range b.Keep {
		e, found := d.known[hash]
		if !found {
			return &PieceError{Version: d.outline.Version, Problem: "it refers to an item that this VM does not have"}
		}
		bucket = append(bucket, e)
	}
	bucket = sorted(bucket)
	if hashOfBucket(bucket) != d.outline.Buckets[b.Number] {
		return &PieceError{Version: d.outline.Version, Problem: "its items do not match the outline"}
	}
	d.complete[b.Number] = bucket
	d.missing = slices.Delete(d.missing, at, at+1)
	return nil
}

// addItem keeps an item received for a bucket and returns the item to use: the known one if there
// is one with the same content.
func (d *Assembler) addItem(bucket int, e item) item {
	if known, found := d.known[e.hash]; found {
		return known
	}
	d.known[e.hash] = e
	d.knownByBucket[bucket] = append(d.knownByBucket[bucket], e)
	return e
}

// Done reports whether the configuration is complete.
func (d *Assembler) Done() bool {
	return d.outline.Version > 0 && len(d.missing) == 0 && !d.restMissing()
}

// Remaining returns the number of missing buckets and the number of all buckets.
func (d *Assembler) Remaining() (missing, total int) { return len(d.missing), len(d.outline.Buckets) }

// Index returns the assembled configuration. It must be called only if Done returns true.
func (d *Assembler) Index() *Index {
	x := &Index{outline: d.outline, buckets: make([][]item, len(d.outline.Buckets))}
	var all []*routes.Route
	var workspaces []*identity.Workspace
	for n := range x.buckets {
		x.buckets[n] = d.complete[n]
		for _, e := range x.buckets[n] {
			if e.workspace != nil {
				workspaces = append(workspaces, e.workspace)
				continue
			}
			all = append(all, e.route)
		}
	}
	x.table = routes.NewTable(d.outline.Version, all, d.rest.Services, d.rest.Limits, workspaces...)
	return x
}
