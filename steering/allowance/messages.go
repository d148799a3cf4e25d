package allowance

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// ID names a workspace between entry VMs.
type ID uint64

// IDOf returns the ID of a workspace.
func IDOf(name steering.Workspace) ID { return ID(rendezvous.Hash(string(name))) }

// Report is what a VM tells the owner of a workspace.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	// Number grows with each report of a VM on the workspace.
	Number uint32
	// Used counts the requests let run since the VM started, less those given back, and
	// Known how many of them any owner has confirmed.
	Used  int64
	Known int64
	// Held are the credits that the VM keeps.
	Held float32
	// Waiting requests need a credit now.
	Waiting int
	// Demand is what its callers ask, in requests per second.
	Demand float32
}

// Reply is the owner's answer to a report.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	// Number and Used are those of the report.
	Number uint32
	Used   int64
	// Credits come in addition to those held.
	Credits float32
	// Tight tells that the bucket is low: ask before a request runs.
	Tight bool
	// Share is the VM's part of the demand.
	Share float32
	// WaitMs is when to ask again, for a VM that wanted credits and got none.
	WaitMs uint32
}

// TightNews tells that the bucket of a workspace is low, for a time yet.
type TightNews struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	LeftMs    uint16
}

// Candidate is an entry VM that may own workspaces.
type Candidate struct {
	VM steering.VM
	// Hash is that of its name, see HashOf.
	Hash uint64
	// Weight is how much of the owners' work it is to have, against others.
	Weight float64
}

// OwnerOf returns the owner of a workspace among the live entry VMs; false without any.
//
// Weighted rendezvous hashing: VMs that hear the same others name the same owner, and one
// that comes or goes moves only the workspaces that it owns.
func OwnerOf(workspace ID, live []Candidate) (steering.VM, bool) {
	best, owner := math.Inf(-1), steering.VM("")
	for _, c := range live {
		if score := rendezvous.Score(uint64(workspace), c.Hash, math.Max(c.Weight, leastWeight)); score > best {
			best, owner = score, c.VM
		}
	}
	return owner, len(live) > 0
}

// HashOf returns the hash of a VM's name that OwnerOf goes by.
func HashOf(vm steering.VM) uint64 { return rendezvous.Hash(string(vm)) }

// leastWeight stands for a weight that is not known.
const leastWeight = 1e-6

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
