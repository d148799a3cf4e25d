package spread

import (
	"fmt"
	"maps"
	"slices"

	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// PieceError is a piece that does not fit the draft.
type PieceError struct {
	Version uint64
	// Problem says what does not fit.
	Problem string
}

// Error implements error.
func (e *PieceError) Error() string {
	return fmt.Sprintf("spread: part of configuration %d: %s; ask another entry VM", e.Version, e.Problem)
}

// Draft is a configuration that is being put together from pieces. It is not safe for
// concurrent use.
type Draft struct {
	// known holds each item of the configuration in force and each that has come, by the
	// hash of its content.
	known   map[uint64]entry
	base    *Index // may be nil
	outline Outline
	rest    *Rest
	// restHash is that of rest.
	restHash uint64
	// whole holds the buckets of the outline that are complete, the others are missing.
	whole   map[int][]entry
	missing []int
	// have holds, by bucket, what is known of it.
	have [][]entry
}

// NewDraft returns an empty draft.
func NewDraft() *Draft { return &Draft{known: make(map[uint64]entry)} }

// Base tells the draft the configuration in force, which may be nil.
func (d *Draft) Base(base *Index) {
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
	d.compare()
}

func restOf(t *routes.Table) *Rest {
	return &Rest{Services: slices.Collect(maps.Values(t.Services)), Limits: t.Limits}
}

func (d *Draft) setRest(r *Rest) {
	d.rest = r
	d.restHash = hashOfRest(routes.NewTable(0, nil, r.Services, r.Limits))
}

// Version returns the version that the draft is of; 0 before an outline.
func (d *Draft) Version() uint64 { return d.outline.Version }

// Aim sets the outline to reach, if it is newer. What is known already stays.
func (d *Draft) Aim(o Outline) {
	count := len(o.Buckets)
	if o.Version <= d.outline.Version || count == 0 || count&(count-1) != 0 {
		return
	}
	d.outline = o
	d.compare()
}

// compare finds out which buckets of the outline are missing.
func (d *Draft) compare() {
	count := len(d.outline.Buckets)
	if count == 0 {
		return
	}
	d.whole, d.missing = make(map[int][]entry), nil
	all := make([]entry, 0, len(d.known))
	for _, e := range d.known {
		all = append(all, e)
	}
	d.have = group(all, count)
	base := d.baseBuckets(count)
	for n, hash := range d.outline.Buckets {
		switch {
		case base != nil && hashOfBucket(base[n]) == hash:
			d.whole[n] = base[n]
		case hashOfBucket(d.have[n]) == hash:
			d.whole[n] = d.have[n]
		default:
			d.missing = append(d.missing, n)
		}
	}
}

// baseBuckets returns the items in force in so many buckets.
func (d *Draft) baseBuckets(count int) [][]entry {
	if d.base == nil {
		return nil
	}
	if len(d.base.buckets) == count {
		return d.base.buckets
	}
	return group(slices.Concat(d.base.buckets...), count)
}

// bytesPerBucket is the least that a bucket asked for is expected to bring. More of them
// in one question would send hashes for nothing.
const bytesPerBucket = 2 << 10

// Need returns what to ask for next, with an answer of about so many bytes.
func (d *Draft) Need(bytes int) Need {
	need := Need{Version: d.outline.Version, Bytes: bytes}
	if d.outline.Version == 0 {
		return need
	}
	need.Rest = d.restMissing()
	for _, n := range d.missing[:min(len(d.missing), max(1, bytes/bytesPerBucket))] {
		b := BucketNeed{Number: n}
		for _, e := range d.have[n] {
			b.Have = append(b.Have, e.hash)
		}
		need.Buckets = append(need.Buckets, b)
	}
	need.More = len(need.Buckets) < len(d.missing)
	return need
}

func (d *Draft) restMissing() bool { return d.rest == nil || d.restHash != d.outline.Rest }

// Take takes in a piece. Items that came in one that does not fit are kept: they count by
// their content.
func (d *Draft) Take(p Piece) error {
	if p.Outline != nil {
		if p.Outline.Version < d.outline.Version {
			return &PieceError{Version: p.Outline.Version, Problem: "the peer knows an older one"}
		}
		d.Aim(*p.Outline)
		return nil
	}
	if p.Version != d.outline.Version {
		return &PieceError{Version: p.Version, Problem: "it is of another version"}
	}
	if p.Rest != nil {
		d.setRest(p.Rest)
	}
	for _, b := range p.Buckets {
		if err := d.takeBucket(b); err != nil {
			return err
		}
	}
	return nil
}

func (d *Draft) takeBucket(b BucketPiece) error {
	place := slices.Index(d.missing, b.Number)
	if place < 0 {
		return nil // told before
	}
	bucket := make([]entry, 0, len(b.Keep)+len(b.Routes)+len(b.Workspaces))
	for _, w := range b.Routes {
		bucket = append(bucket, d.learn(b.Number, entryOfRoute(w.route())))
	}
	for _, w := range b.Workspaces {
		bucket = append(bucket, d.learn(b.Number, entryOfWorkspace(w.workspace())))
	}
	for _, hash := range b.Keep {
		e, found := d.known[hash]
		if !found {
			return &PieceError{Version: d.outline.Version, Problem: "it keeps an item that is not known here"}
		}
		bucket = append(bucket, e)
	}
	bucket = sorted(bucket)
	if hashOfBucket(bucket) != d.outline.Buckets[b.Number] {
		return &PieceError{Version: d.outline.Version, Problem: "its items are not those of the outline"}
	}
	d.whole[b.Number] = bucket
	d.missing = slices.Delete(d.missing, place, place+1)
	return nil
}

// learn keeps an item that came for a bucket, and returns the one to use: that of before if
// it has the same content.
func (d *Draft) learn(bucket int, e entry) entry {
	if known, found := d.known[e.hash]; found {
		return known
	}
	d.known[e.hash] = e
	d.have[bucket] = append(d.have[bucket], e)
	return e
}

// Done reports whether nothing is missing.
func (d *Draft) Done() bool {
	return d.outline.Version > 0 && len(d.missing) == 0 && !d.restMissing()
}

// Left returns how many buckets are missing, of how many.
func (d *Draft) Left() (missing, of int) { return len(d.missing), len(d.outline.Buckets) }

// Index returns the whole configuration; only for a draft that is done.
func (d *Draft) Index() *Index {
	x := &Index{outline: d.outline, buckets: make([][]entry, len(d.outline.Buckets))}
	var all []*routes.Route
	var workspaces []*identity.Workspace
	for n := range x.buckets {
		x.buckets[n] = d.whole[n]
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
