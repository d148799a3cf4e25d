// Package objects is the interface to the platform's object API, which is the only persistent
// storage that heatherlock uses.
//
// API is the interface, Client implements it over HTTP, and Budget wraps an API with rate limits
// and backoff. Tests and the quickstart use the emulated platform in standin/.
package objects

import (
	"context"
	"encoding/json"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the store at the object's last change. Revisions form a single
	// increasing sequence over all objects.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is a change to one object. Object.Value is empty if Deleted is set.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// VMState is the state of an entry VM according to the platform.
type VMState string

// States of an entry VM in the platform's list of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone" // the VM no longer exists, but stays in the list for a while
)

// VM is an entry in the platform's list of entry VMs. The list lags behind the actual state.
type VM struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	Region          string    `json:"region"`
	CallerAddress   string    `json:"callerAddress"`
	PeerAddress     string    `json:"peerAddress"`
	OperatorAddress string    `json:"operatorAddress"`
	State           VMState   `json:"state"`
	Since           time.Time `json:"since"`
}

// API is the platform's object API. Every error is an *Error.
type API interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of the given kinds and the revision at which they were read.
	List(ctx context.Context, kinds ...string) ([]Object, int64, error)
	// Create stores a new object. It fails with Conflict if the object already exists.
	Create(ctx context.Context, kind, name string, value json.RawMessage) (Object, error)
	// Update replaces the value of an object. It fails with Conflict if the stored version is not
	// the given one.
	Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (Object, error)
	// Delete removes an object and returns the revision of the removal. It fails with Conflict if
	// the stored version is not the given one.
	Delete(ctx context.Context, kind, name string, version int64) (int64, error)
	// Watch waits up to wait for changes to objects of the given kinds after revision since. It
	// returns the changes in order and the revision to continue from. It fails with Gone if since
	// is too old to continue from; the caller then has to list again.
	Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]Event, int64, error)
	// VMs returns the platform's list of entry VMs.
	VMs(ctx context.Context) ([]VM, error)
}
