package spread

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// Request is a request to a peer. Without a version it requests the outline; with a version and
// nothing else it requests a slot for sending.
type Request struct {
	// Version is the version that the VM assembles.
	Version uint64
	// Rest requests everything that is neither a route nor a workspace.
	Rest    bool
	Buckets []BucketRequest
	// Bytes limits the size of the answer before compression. The last bucket may exceed it.
	Bytes int
	// More says that other buckets are missing as well.
	More bool
	// From is the VM that sends the request.
	From steering.VM
}

// BucketRequest requests a bucket and holds the hashes of its items that the VM already has.
type BucketRequest struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Have   []uint64
}

// Piece is a part of a configuration.
type Piece struct {
	// Version is the version of the sender's configuration. If it is not the requested one, the
	// piece contains only the outline of the sender's version.
	Version uint64
	Outline *Outline
	Rest    *Rest
	Buckets []BucketPiece
}

// Rest is everything in a configuration that is neither a route nor a workspace.
type Rest struct {
	Services []*routes.Service
	Limits   routes.Limits
}

// BucketPiece is one bucket: the hashes of those items in the request that stay, and the items that
// the requester lacks.
type BucketPiece struct {
	_          struct{} `cbor:",toarray"`
	Number     int
	Keep       []uint64
	Routes     []Route
	Workspaces []Workspace
}

// Workspace is the wire form of a workspace. It contains digests of the API keys, not the keys.
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
	size := workspaceOverhead + len(w.Name)
	for _, key := range w.Keys {
		size += len(key) + 1
	}
	return size
}

// Route is the wire form of a route. It is encoded without field names, which would make up two
// thirds of a route's bytes.
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

func routeToWire(r *routes.Route) Route {
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
		r.Parts = append(r.Parts, routes.WeightedService{Service: p.Service, Weight: p.Weight})
	}
	return r
}

// Estimated sizes in bytes, for limiting the size of an answer before it is encoded.
const (
	// routeOverhead is the size of a route's numbers and field headers, without its strings.
	routeOverhead = 40
	// workspaceOverhead is the size of a workspace's numbers and field headers, without its strings
	// and keys.
	workspaceOverhead = 32
	// encodedHashBytes is the size of a hash with its header.
	encodedHashBytes = 9
	// serviceOverhead is the size of a service's numbers and field names, without its strings.
	serviceOverhead = 80
)

func (w Route) size() int {
	size := routeOverhead + len(w.Name) + len(w.Host) + len(w.Prefix)
	for _, p := range w.Parts {
		size += encodedHashBytes + len(p.Service)
	}
	return size
}

// maxShortRequest is how many bytes of hashes a request may contain without a reserved slot. A
// narrow link transfers them in less than a round trip.
const maxShortRequest = 2 << 10

// IsShort reports whether the request may be sent without a reserved slot.
func (n Request) IsShort() bool {
	hashes := 0
	for _, b := range n.Buckets {
		hashes += len(b.Have)
	}
	return hashes*encodedHashBytes <= maxShortRequest
}

// SlotRequest returns the request for a slot at a VM, which precedes the request for parts.
//
// For a large configuration, a request for parts contains as many bytes of hashes as the answer
// contains of routes. Without the request for a slot, rejected requests for parts would fill the
// link of the VM that all others ask.
func (n Request) SlotRequest() Request {
	return Request{Version: n.Version, Bytes: n.Bytes, From: n.From}
}

// isSlotRequest reports whether the request is for a slot.
func (n Request) isSlotRequest() bool { return n.Version > 0 && !n.Rest && len(n.Buckets) == 0 }

// Turn returns the load that the answer to a request puts on the link, as far as it is known before
// the answer is created.
func (x *Index) Turn(need Request) LinkLoad {
	return LinkLoad{From: string(need.From), Piece: need.Bytes / compressionRatio, Outline: need.Version != x.table.Version}
}

// Answer returns the piece for a request within its size limit, and the load that it puts on the
// link, in bytes before compression. The piece contains at least one of the requested buckets.
func (x *Index) Answer(need Request) (Piece, LinkLoad) {
	p := Piece{Version: x.table.Version}
	ask := x.Turn(need)
	if ask.Outline {
		p.Outline = &x.outline
		ask.Bytes = encodedHashBytes * len(x.outline.Buckets)
		return p, ask
	}
	bytes := 0
	if need.Rest {
		p.Rest = &Rest{Limits: x.table.Limits}
		for _, s := range x.table.Services {
			p.Rest.Services = append(p.Rest.Services, s)
			bytes += serviceOverhead + len(s.Name) + len(s.HealthPath)
		}
	}
	for _, b := range need.Buckets {
		if b.Number < 0 || b.Number >= len(x.buckets) {
			continue // from another outline; the requester will notice that it is missing
		}
		if len(p.Buckets) > 0 && bytes >= need.Bytes {
			break
		}
		piece, size := x.answerBucket(b)
		p.Buckets = append(p.Buckets, piece)
		bytes += size
	}
	ask.Bytes, ask.Last = bytes, !need.isSlotRequest() && !need.More && len(p.Buckets) == len(need.Buckets)
	return p, ask
}

func (x *Index) answerBucket(need BucketRequest) (p BucketPiece, bytes int) {
	had := make(map[uint64]bool, len(need.Have))
	for _, hash := range need.Have {
		had[hash] = true
	}
	p.Number = need.Number
	for _, e := range x.buckets[need.Number] {
		if had[e.hash] {
			p.Keep = append(p.Keep, e.hash)
			bytes += encodedHashBytes
			continue
		}
		if e.workspace != nil {
			w := workspaceToWire(e.workspace)
			p.Workspaces = append(p.Workspaces, w)
			bytes += w.size()
			continue
		}
		w := routeToWire(e.route)
		p.Routes = append(p.Routes, w)
		bytes += w.size()
	}
	return p, bytes
}
