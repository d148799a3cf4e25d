package spread

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// Need is what a VM asks a peer for. Without a version it asks for the outline, and with
// nothing else but a version for a place.
type Need struct {
	// Version is the version of the outline that the VM goes by.
	Version uint64
	// Rest asks for what is neither a route nor a workspace.
	Rest    bool
	Buckets []BucketNeed
	// Bytes bounds the answer before compression, up to a bucket.
	Bytes int
	// More tells that other buckets are missing as well.
	More bool
	// From names the VM that asks.
	From steering.VM
}

// BucketNeed names a bucket and the hashes of the items that the VM has for it.
type BucketNeed struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Have   []uint64
}

// Piece is a part of a configuration.
type Piece struct {
	// Version is that of the configuration which the sender has. If it is not the one
	// asked for, the piece holds its outline and nothing else.
	Version uint64
	Outline *Outline
	Rest    *Rest
	Buckets []BucketPiece
}

// Rest is what of a configuration is neither a route nor a workspace.
type Rest struct {
	Services []*routes.Service
	Limits   routes.Limits
}

// BucketPiece is one bucket: the items of those told to be there that stay, and those
// that were missing.
type BucketPiece struct {
	_          struct{} `cbor:",toarray"`
	Number     int
	Keep       []uint64
	Routes     []Route
	Workspaces []Workspace
}

// Workspace is the wire form of a workspace. It holds digests of API keys, not the keys.
type Workspace struct {
	_           struct{} `cbor:",toarray"`
	Name        steering.Workspace
	Keys        []identity.Digest
	Rank        *int
	Rate, Burst float64
	Homes       []steering.Region
}

func workspaceToWire(w *identity.Workspace) Workspace {
	return Workspace{Name: w.Name, Keys: w.Keys, Rank: w.Rank, Rate: w.Rate, Burst: w.Burst, Homes: w.Homes}
}

func (w Workspace) workspace() *identity.Workspace {
	return &identity.Workspace{Name: w.Name, Keys: w.Keys, Rank: w.Rank, Rate: w.Rate, Burst: w.Burst, Homes: w.Homes}
}

func (w Workspace) size() int {
	size := workspaceBytes + len(w.Name)
	for _, key := range w.Keys {
		size += len(key) + 1
	}
	return size
}

// Route is the wire form of a route: values without names, which are two thirds of a
// route's bytes otherwise.
type Route struct {
	_                  struct{} `cbor:",toarray"`
	Name, Host, Prefix string
	Kind               routes.Kind
	Timeout, Aim       time.Duration
	Rank, MaxAttempts  int
	KeyAffinity        bool
	Parts              []Part
	Homes              []steering.Region
	Public             bool
}

// Part is the wire form of a service's share of a route.
type Part struct {
	_       struct{} `cbor:",toarray"`
	Service steering.Service
	Weight  float64
}

func toWire(r *routes.Route) Route {
	parts := make([]Part, 0, len(r.Parts))
	for _, p := range r.Parts {
		parts = append(parts, Part{Service: p.Service, Weight: p.Weight})
	}
	return Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Timeout: r.Timeout, Aim: r.Aim, Rank: r.Rank,
		MaxAttempts: r.MaxAttempts, KeyAffinity: r.KeyAffinity, Parts: parts, Homes: r.Homes, Public: r.Public}
}

func (w Route) route() *routes.Route {
	r := &routes.Route{Name: w.Name, Host: w.Host, Prefix: w.Prefix, Kind: w.Kind, Timeout: w.Timeout, Aim: w.Aim, Rank: w.Rank,
		MaxAttempts: w.MaxAttempts, KeyAffinity: w.KeyAffinity, Homes: w.Homes, Public: w.Public}
	for _, p := range w.Parts {
		r.Parts = append(r.Parts, routes.Part{Service: p.Service, Weight: p.Weight})
	}
	return r
}

// Sizes in bytes, for bounding an answer before it is encoded.
const (
	// routeBytes is a route's numbers and heads of its fields, beside its texts.
	routeBytes = 40
	// workspaceBytes is a workspace's numbers and heads of its fields, beside its texts
	// and keys.
	workspaceBytes = 32
	// hashBytes is a hash with its head.
	hashBytes = 9
	// restBytes is a service's numbers and names of fields, beside its texts.
	restBytes = 80
)

func (w Route) size() int {
	size := routeBytes + len(w.Name) + len(w.Host) + len(w.Prefix)
	for _, p := range w.Parts {
		size += hashBytes + len(p.Service)
	}
	return size
}

// shortQuestion is how many bytes of hashes a question may hold without a place at the VM
// that is asked: a narrow link passes them in less than a way there and back takes.
const shortQuestion = 2 << 10

// Short reports whether the question may be sent without a place.
func (n Need) Short() bool {
	hashes := 0
	for _, b := range n.Buckets {
		hashes += len(b.Have)
	}
	return hashes*hashBytes <= shortQuestion
}

// Place returns the question for a place at a VM, before that for parts.
//
// Of a large configuration a question for parts holds as many bytes of hashes as the answer
// holds of routes. Sent in vain, such questions fill the link of the VM that all ask.
func (n Need) Place() Need { return Need{Version: n.Version, Bytes: n.Bytes, From: n.From} }

// wantsPlace reports whether the question is for a place.
func (n Need) wantsPlace() bool { return n.Version > 0 && !n.Rest && len(n.Buckets) == 0 }

// Turn returns what a need asks of the link, before the answer is made.
func (x *Index) Turn(need Need) Ask {
	return Ask{From: string(need.From), Piece: need.Bytes / packed, Outline: need.Version != x.table.Version}
}

// Answer returns the piece that meets a need as far as its bound allows, and what it asks
// of the link, in bytes before compression. At least one of the buckets asked for is in it.
func (x *Index) Answer(need Need) (Piece, Ask) {
	p := Piece{Version: x.table.Version}
	ask := x.Turn(need)
	if ask.Outline {
		p.Outline = &x.outline
		ask.Bytes = hashBytes * len(x.outline.Buckets)
		return p, ask
	}
	bytes := 0
	if need.Rest {
		p.Rest = &Rest{Limits: x.table.Limits}
		for _, s := range x.table.Services {
			p.Rest.Services = append(p.Rest.Services, s)
			bytes += restBytes + len(s.Name) + len(s.HealthPath)
		}
	}
	for _, b := range need.Buckets {
		if b.Number < 0 || b.Number >= len(x.buckets) {
			continue // of another outline; the asker sees that it is missing
		}
		if len(p.Buckets) > 0 && bytes >= need.Bytes {
			break
		}
		piece, size := x.answerBucket(b)
		p.Buckets = append(p.Buckets, piece)
		bytes += size
	}
	ask.Bytes, ask.End = bytes, !need.wantsPlace() && !need.More && len(p.Buckets) == len(need.Buckets)
	return p, ask
}

func (x *Index) answerBucket(need BucketNeed) (p BucketPiece, bytes int) {
	had := make(map[uint64]bool, len(need.Have))
	for _, hash := range need.Have {
		had[hash] = true
	}
	p.Number = need.Number
	for _, e := range x.buckets[need.Number] {
		if had[e.hash] {
			p.Keep = append(p.Keep, e.hash)
			bytes += hashBytes
			continue
		}
		if e.workspace != nil {
			w := workspaceToWire(e.workspace)
			p.Workspaces = append(p.Workspaces, w)
			bytes += w.size()
			continue
		}
		w := toWire(e.route)
		p.Routes = append(p.Routes, w)
		bytes += w.size()
	}
	return p, bytes
}
