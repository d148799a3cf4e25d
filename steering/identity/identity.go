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

// digestBytes is the length of a Digest: long enough that two keys never share one.
const digestBytes = 16

// longestKey bounds an API key, in bytes. A longer one is malformed.
const longestKey = 512

// digestDomain keeps digests of API keys apart from other uses of the hash.
const digestDomain = "heatherlock api key\x00"

// Digest stands for an API key. It does not reveal the key.
type Digest [digestBytes]byte

// String implements fmt.Stringer. Digests are not for logs either.
func (Digest) String() string { return "(digest of an API key)" }

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(digestDomain + key))
	return Digest(sum[:digestBytes])
}

// Workspace is what is declared of a workspace. It does not change.
type Workspace struct {
	Name steering.Workspace
	Keys []Digest
	// Rank goes before that of a route; nil means that the route's holds.
	Rank *int
	// Rate is the requests per second that it may have run, over all entry VMs, and
	// Burst how many more at once; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// Homes are the regions in which its requests may run; none means all.
	Homes []steering.Region
}

// MayRunIn reports whether the workspace's requests may run in a region. A nil
// workspace allows all.
func (w *Workspace) MayRunIn(region steering.Region) bool {
	return w == nil || len(w.Homes) == 0 || slices.Contains(w.Homes, region)
}

// Limited reports whether the workspace has an allowance. A nil workspace has none.
func (w *Workspace) Limited() bool { return w != nil && w.Rate > 0 }

// RankOr returns the workspace's rank, or that of the route if it has none.
func (w *Workspace) RankOr(route int) int {
	if w == nil || w.Rank == nil {
		return route
	}
	return *w.Rank
}

// Problem is why the workspace of a request is not known.
type Problem uint8

// Problems.
const (
	// None: the workspace is known.
	None Problem = iota
	// Missing: the request has no API key.
	Missing
	// Repeated: it has several.
	Repeated
	// Malformed: its API key is empty, too long, or holds more than the key alone.
	Malformed
	// Unknown: no workspace holds its API key.
	Unknown
)

var problemReasons = [...]steering.Reason{"", steering.ReasonAPIKeyMissing, steering.ReasonAPIKeyRepeated, steering.ReasonAPIKeyMalformed, steering.ReasonAPIKeyUnknown}

// Reason returns the refusal reason of a problem.
func (p Problem) Reason() steering.Reason { return problemReasons[p] }

// Read returns the digest of the one API key among the values of a header field.
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

// wellFormed reports whether a value can be an API key: printable ASCII without blanks
// or commas, which join the values of repeated fields.
func wellFormed(key string) bool {
	if key == "" || len(key) > longestKey {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) < 0
}

// SharedKeyError is an API key that two workspaces hold.
type SharedKeyError struct{ First, Second steering.Workspace }

// Error implements error.
func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("workspaces %s and %s hold the same API key; give one of them another", e.First, e.Second)
}

// DuplicateError is a workspace that is declared twice.
type DuplicateError struct{ Name steering.Workspace }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("workspace %q is declared twice; merge the two", e.Name)
}

// Check returns what is wrong with a set of workspaces: a *DuplicateError or a
// *SharedKeyError, or nil.
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

// Directory finds workspaces by their API keys. It does not change and is safe for
// concurrent use. A nil Directory has no workspaces.
type Directory struct {
	all    []*Workspace
	byName map[steering.Workspace]*Workspace
	seed   maphash.Seed
	byKey  map[uint64][]held
}

// held is an API key and its workspace.
type held struct {
	key       Digest
	workspace *Workspace
}

// NewDirectory returns the directory of workspaces that passed Check; nil for none.
func NewDirectory(all []*Workspace) *Directory {
	if len(all) == 0 {
		return nil
	}
	d := &Directory{all: all, byName: make(map[steering.Workspace]*Workspace, len(all)), seed: maphash.MakeSeed(), byKey: make(map[uint64][]held)}
	for _, w := range all {
		d.byName[w.Name] = w
		for _, key := range w.Keys {
			place := d.place(key)
			d.byKey[place] = append(d.byKey[place], held{key, w})
		}
	}
	return d
}

func (d *Directory) place(key Digest) uint64 { return maphash.Bytes(d.seed, key[:]) }

// All returns the workspaces.
func (d *Directory) All() []*Workspace {
	if d == nil {
		return nil
	}
	return d.all
}

// Named returns a workspace by its name, or nil.
func (d *Directory) Named(name steering.Workspace) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Find returns the workspace that holds a key.
func (d *Directory) Find(key Digest) (*Workspace, Problem) {
	if d == nil {
		return nil, Unknown
	}
	for _, h := range d.byKey[d.place(key)] {
		if subtle.ConstantTimeCompare(h.key[:], key[:]) == 1 {
			return h.workspace, None
		}
	}
	return nil, Unknown
}
