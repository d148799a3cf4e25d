package allowance

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// ID identifies a workspace, or a target that names a limit, in messages between entry VMs.
type ID uint64

// TargetID returns the ID of one start of a target.
func TargetID(name steering.Target, generation steering.Generation) ID {
	return ID(rendezvous.Mix(rendezvous.Hash("target\x00"+string(name)) ^ rendezvous.Mix(uint64(generation))))
}

// IDOf returns the ID of a workspace: a hash of its name.
func IDOf(name steering.Workspace) ID { return ID(rendezvous.Hash(string(name))) }

// Report is a VM's message to the owner of a workspace.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	// Number increases with each report of a VM on the workspace.
	Number uint32
	// Used counts the executions since the VM started, less the credits returned by requests that
	// did not run. Known is the part of it that any owner has confirmed.
	Used  int64
	Known int64
	// Held is the number of credits that the VM keeps.
	Held float32
	// Waiting is the number of requests that need a credit now.
	Waiting int
	// Demand is the demand of the VM's callers in requests per second.
	Demand float32
}

// Reply is the owner's reply to a report.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	// Number and Used are copied from the report.
	Number uint32
	Used   int64
	// Credits are granted in addition to the held ones.
	Credits float32
	// Tight means that the bucket is low: the VM has to ask before it admits a request.
	Tight bool
	// Share is the VM's fraction of the demand.
	Share float32
	// WaitMs is when to ask again, in milliseconds, for a VM that needed a credit and received
	// none; zero otherwise.
	WaitMs uint32
}

// LowBucketNotice says that the bucket of a workspace is low for another LeftMs milliseconds.
type LowBucketNotice struct {
	_         struct{} `cbor:",toarray"`
	Workspace ID
	LeftMs    uint16
}

// Candidate is an entry VM that may own workspaces.
type Candidate struct {
	VM steering.VM
	// Hash is the hash of the VM's name, see HashOf.
	Hash uint64
	// Weight is the VM's relative share of the workspaces to own.
	Weight float64
}

// OwnerOf returns the owner of a workspace among the live entry VMs, and false if there are none.
//
// It uses weighted rendezvous hashing: VMs with the same view of the live VMs agree on the owner,
// and a VM that joins or leaves moves only the workspaces that it owns.
func OwnerOf(workspace ID, live []Candidate) (steering.VM, bool) {
	best, owner := math.Inf(-1), steering.VM("")
	for _, c := range live {
		if score := rendezvous.Score(uint64(workspace), c.Hash, math.Max(c.Weight, minWeight)); score > best {
			best, owner = score, c.VM
		}
	}
	return owner, len(live) > 0
}

// HashOf returns the hash of a VM's name for Candidate.
func HashOf(vm steering.VM) uint64 { return rendezvous.Hash(string(vm)) }

// minWeight replaces an unknown or smaller weight.
const minWeight = 1e-6

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
