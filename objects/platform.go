// Package objects is the narrow interface to the platform's object API: the
// only place where anything of heatherlock lasts. The HTTP client is in this
// package too; the stand-in used by tests and quickstart is in standin/.
package objects

import (
	"context"
	"encoding/json"
	"time"
)

// MaxValueBytes is the largest value the platform keeps.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at the object's last change. Revisions
	// are one monotone sequence over all objects.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is one change. Object.Value is empty when Deleted is set.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// VMState is the platform's word on an entry VM.
type VMState string

// States of an entry VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone" // kept in the list for a while after it went
)

// VM is one line of the platform's list of VMs, which lags.
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
	// List returns the objects of the kinds and the revision they were read at.
	List(ctx context.Context, kinds ...string) ([]Object, int64, error)
	// Create stores a new object; it fails with Conflict when one exists.
	Create(ctx context.Context, kind, name string, value json.RawMessage) (Object, error)
	// Update replaces an object whose version is still the one given.
	Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (Object, error)
	// Delete removes an object whose version is still the one given and
	// returns the revision of the removal.
	Delete(ctx context.Context, kind, name string, version int64) (int64, error)
	// Watch waits up to wait for changes of the kinds after revision since and
	// returns them in order with the revision to continue from. It fails with
	// Gone when since is too old to continue from; list again then.
	Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]Event, int64, error)
	// VMs returns the platform's list of entry VMs.
	VMs(ctx context.Context) ([]VM, error)
}
