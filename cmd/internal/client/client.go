package client

import (
	"context"
	"crypto/rand"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/command"
)

// Client calls the resource API through one of several entry VMs. It is safe
// for concurrent use.
type Client struct {
	entries []entry
	last    atomic.Int64 // index of the entry VM that answered last
	timeout time.Duration
}

type entry struct {
	address string
	api     *oas.Client
}

// New returns a client. The error is a *command.Error with code Usage.
func New(o Options) (*Client, error) {
	addresses, err := o.addresses()
	if err != nil {
		return nil, err
	}
	httpClient, err := o.httpClient()
	if err != nil {
		return nil, err
	}
	c := &Client{timeout: o.Timeout}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	for _, address := range addresses {
		api, err := oas.NewClient(address, oas.WithClient(httpClient))
		if err != nil {
			return nil, command.Failf(command.Usage, "give host:port of the operators' listener", "%s: %v", address, err)
		}
		c.entries = append(c.entries, entry{address, api})
	}
	return c, nil
}

const (
	// rounds is how often each entry VM is tried before a call fails.
	rounds = 2
	// roundPause comes between rounds; a replaced entry VM needs longer, a
	// connection that broke off does not.
	roundPause = 200 * time.Millisecond
)

// call runs f against one entry VM after the other until one gives an answer
// that another one would not better.
func call[T any](ctx context.Context, c *Client, timeout time.Duration, f func(context.Context, *oas.Client) (T, error)) (result T, err error) {
	failures := make([]string, len(c.entries))
	var last error
	start := int(c.last.Load())
	for i := range rounds * len(c.entries) {
		if i == len(c.entries) {
			time.Sleep(roundPause)
		}
		if ctx.Err() != nil {
			return result, &Failure{Cause: command.Failf(command.Unreachable, "", "interrupted: %v", ctx.Err())}
		}
		at := (start + i) % len(c.entries)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		result, err = f(attempt, c.entries[at].api)
		cancel()
		if err == nil || !elsewhere(err) {
			c.last.Store(int64(at))
			return result, asFailure(err)
		}
		last = worse(last, err)
		failures[at] = c.entries[at].address + ": " + oneLine(err)
	}
	if _, ok := problemOf(last); ok {
		return result, asFailure(last)
	}
	return result, &Failure{Cause: command.Failf(command.Unreachable, "check the addresses and that an entry VM runs there; after a change, send it again: one already made is recognised", "no entry VM answered: %s", strings.Join(failures, "; "))}
}

// worse keeps the failure that says more: an answer before none, and of two
// answers the one that leaves the outcome open.
func worse(a, b error) error {
	pa, okA := problemOf(a)
	if okA && pa.Reason == oas.ProblemReasonOutcomeUnknown {
		return a
	}
	if _, okB := problemOf(b); okB || !okA {
		return b
	}
	return a
}

// oneLine returns what an error comes down to.
func oneLine(err error) string {
	if p, ok := problemOf(err); ok {
		return p.Message
	}
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, ref check.Ref) (oas.Object, error) {
	return call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (oas.Object, error) {
		return api.GetObject(ctx, oas.GetObjectParams{Kind: ref.Kind, Name: oas.ObjectName(ref.Name)})
	})
}

// List returns every object of a kind and the version to watch from.
func (c *Client) List(ctx context.Context, kind oas.Kind) (*oas.ObjectList, error) {
	return call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (*oas.ObjectList, error) {
		return api.ListObjects(ctx, oas.ListObjectsParams{Kind: kind})
	})
}

// Set returns the objects of the kinds as a set.
func (c *Client) Set(ctx context.Context, kinds ...oas.Kind) (check.Set, error) {
	var all []oas.Object
	for _, kind := range kinds {
		list, err := c.List(ctx, kind)
		if err != nil {
			return check.Set{}, err
		}
		all = append(all, list.Items...)
	}
	return check.NewSet(all...), nil
}

// Status returns the deployment at a glance.
func (c *Client) Status(ctx context.Context) (*oas.DeploymentStatus, error) {
	return call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (*oas.DeploymentStatus, error) {
		return api.GetStatus(ctx)
	})
}

// Watch waits for changes after a version.
func (c *Client) Watch(ctx context.Context, kind oas.Kind, since int64, wait time.Duration) (*oas.WatchReply, error) {
	params := oas.WatchObjectsParams{Kind: oas.NewOptKind(kind), Since: since, WaitMs: oas.NewOptInt32(int32(wait.Milliseconds()))}
	return call(ctx, c, c.timeout+wait, func(ctx context.Context, api *oas.Client) (*oas.WatchReply, error) {
		return api.WatchObjects(ctx, params)
	})
}

// WriteOptions qualify a write.
type WriteOptions struct {
	DryRun bool
	// Override is the reason for accepting a broken promise; empty for none.
	Override string
}

func (o WriteOptions) override() oas.OptString {
	if o.Override == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(o.Override)
}

// Put creates an object, or updates it if it carries a version.
func (c *Client) Put(ctx context.Context, o oas.Object, options WriteOptions) (oas.Object, error) {
	check.StatusOf(&o).Reset()
	m := check.MetadataOf(&o)
	m.WriteId = oas.NewOptString(rand.Text())
	ref := check.RefOf(o)
	dryRun := oas.NewOptBool(options.DryRun)
	return call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (oas.Object, error) {
		if m.Version.Or(0) == 0 {
			return api.CreateObject(ctx, o, oas.CreateObjectParams{Kind: ref.Kind, DryRun: dryRun, Override: options.override()})
		}
		return api.UpdateObject(ctx, o, oas.UpdateObjectParams{Kind: ref.Kind, Name: oas.ObjectName(ref.Name), DryRun: dryRun, Override: options.override()})
	})
}

// Delete removes an object that is still at the version. If the reply to a
// first try was lost, finding nothing on the second is what was wanted.
func (c *Client) Delete(ctx context.Context, ref check.Ref, version int64, options WriteOptions) error {
	tries := 0
	_, err := call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (*oas.Deleted, error) {
		tries++
		deleted, err := api.DeleteObject(ctx, oas.DeleteObjectParams{Kind: ref.Kind, Name: oas.ObjectName(ref.Name), Version: version, Override: options.override()})
		if p, ok := problemOf(err); ok && tries > 1 && p.Reason == oas.ProblemReasonNotFound {
			return &oas.Deleted{}, nil
		}
		return deleted, err
	})
	return err
}
