package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"hash/maphash"
	"slices"
	"strings"

	"heatherlock/steering"
)

// digestBytes is the length of a Digest. 16 bytes rule out that two keys have the same
// digest by chance.
const digestBytes = 16

// maxKeyBytes is the maximum length of an API key. A longer one is malformed.
const maxKeyBytes = 512

// digestDomain is a prefix that separates digests of API keys from other uses of the
// hash function.
const digestDomain = "heatherlock api key\x00"

// Digest identifies an API key without revealing it.
type Digest [digestBytes]byte

// String implements fmt.Stringer. It returns a fixed text, because digests do not
// belong in logs either.
func (Digest) String() string { return "(digest of an API key)" }

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(digestDomain + key))
	return Digest(sum[:digestBytes])
}

// Workspace is the declared configuration of a workspace. It is immutable.
type Workspace struct {
	Name steering.Workspace
	Keys []Digest
	// Rank is the priority of the workspace's requests, 0 being the most urgent. It
	// overrides the rank of the route; nil selects that of the route.
	Rank *int
	// Rate is the number of requests per second that may run for the workspace, summed
	// over all entry VMs, and Burst the number that may run at once beyond it. A Rate
	// of 0 means no limit.
	Rate  float64
	Burst float64
	// Homes are the home regions, the regions in which the workspace's requests may
	// run. If there are none, they may run in any region.
	Homes []steering.Region
}

// MayRunIn reports whether the workspace's requests may run in a region. A nil
// workspace may run requests in any region.
func (w *Workspace) MayRunIn(region steering.Region) bool {
	return w == nil || len(w.Homes) == 0 || slices.Contains(w.Homes, region)
}

// Limited reports whether the workspace has a rate limit. A nil workspace has none.
func (w *Workspace) Limited() bool { return w != nil && w.Rate > 0 }

// RankOr returns the rank of the workspace, or that of the route if the workspace is nil
// or has no rank.
func (w *Workspace) RankOr(route int) int {
	if w == nil || w.Rank == nil {
		return route
	}
	return *w.Rank
}

// Problem is the reason why the workspace of a request cannot be determined.
type Problem uint8

const (
	// None means that there is no problem.
	None Problem = iota
	// Missing means that the request has no API key.
	Missing
	// Repeated means that the request has several API keys.
	Repeated
	// Malformed means that the API key is empty or too long, or that the header field
	// contains more than the key.
	Malformed
	// Unknown means that no workspace has the API key.
	Unknown
)

var problemReasons = [...]steering.Reason{"", steering.ReasonAPIKeyMissing, steering.ReasonAPIKeyRepeated, steering.ReasonAPIKeyMalformed, steering.ReasonAPIKeyUnknown}

// Reason returns the refusal reason of the problem; it is empty for None.
func (p Problem) Reason() steering.Reason { return problemReasons[p] }

// Read returns the digest of the API key in the values of a header field, which must be
// exactly one value.
func Read(values []string) (Digest, Problem) {
	switch {
	case len(values) == 0:
		return Digest{}, Missing
	case len(values) > 1:
		return Digest{}, Repeated
	case !wellFormed(values[0]):
		return Digest{}, Malformed
	}
	return DigestOf(values[0]), None
}

// wellFormed reports whether a value can be an API key: printable ASCII without spaces
// and without commas, since a comma joins the values of repeated header fields.
func wellFormed(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) < 0
}

// SharedKeyError reports that two workspaces have the same API key.
type SharedKeyError struct{ First, Second steering.Workspace }

// Error implements error. The message ends with the remedy.
func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("workspaces %s and %s hold the same API key; give one of them another", e.First, e.Second)
}

// DuplicateError reports that a workspace is declared twice.
type DuplicateError struct{ Name steering.Workspace }

// Error implements error. The message ends with the remedy.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("workspace %q is declared twice; merge the two", e.Name)
}

// Check validates a set of workspaces. It returns a *DuplicateError, a *SharedKeyError or
// nil.
func Check(all []*Workspace) error {
	names := make(map[steering.Workspace]bool, len(all))
	holders := make(map[Digest]steering.Workspace, len(all))
	for _, w := range all {
		if names[w.Name] {
			return &DuplicateError{w.Name}
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if first, held := holders[key]; held && first != w.Name {
				return &SharedKeyError{first, w.Name}
			}
			holders[key] = w.Name
		}
	}
	return nil
}

// Directory finds workspaces by API key or name. It is immutable and safe for concurrent
// use. A nil Directory has no workspaces.
type Directory struct {
	all    []*Workspace
	byName map[steering.Workspace]*Workspace
	seed   maphash.Seed
	byKey  map[uint64][]keyHolder
}

// keyHolder is an API key with its workspace.
type keyHolder struct {
	key       Digest
	workspace *Workspace
}

// NewDirectory returns a directory of the given workspaces, which must have passed Check.
// It returns nil if there are none.
func NewDirectory(all []*Workspace) *Directory {
	if len(all) == 0 {
		return nil
	}
	d := &Directory{all: all, byName: make(map[steering.Workspace]*Workspace, len(all)), seed: maphash.MakeSeed(), byKey: make(map[uint64][]keyHolder)}
	for _, w := range all {
		d.byName[w.Name] = w
		for _, key := range w.Keys {
			bucket := d.bucket(key)
			d.byKey[bucket] = append(d.byKey[bucket], keyHolder{key, w})
		}
	}
	return d
}

func (d *Directory) bucket(key Digest) uint64 { return maphash.Bytes(d.seed, key[:]) }

// All returns the workspaces in the order given to NewDirectory. Callers must not modify
// the slice.
func (d *Directory) All() []*Workspace {
	if d == nil {
		return nil
	}
	return d.all
}

// ByName returns the workspace with the given name, or nil.
func (d *Directory) ByName(name steering.Workspace) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Find returns the workspace that has the given API key. If there is none, it returns nil
// and Unknown.
func (d *Directory) Find(key Digest) (*Workspace, Problem) {
	if d == nil {
		return nil, Unknown
	}
	for _, h := range d.byKey[d.bucket(key)] {
		if subtle.ConstantTimeCompare(h.key[:], key[:]) == 1 {
			return h.workspace, None
		}
	}
	return nil, Unknown
}
