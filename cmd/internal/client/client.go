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
	entryVMs []entryVM
	last     atomic.Int64 // index of the entry VM that answered last
	timeout  time.Duration
}

type entryVM struct {
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
		c.entryVMs = append(c.entryVMs, entryVM{address, api})
	}
	return c, nil
}

const (
	// maxRounds is the number of attempts on each entry VM before a call fails.
	maxRounds = 2
	// roundDelay is the time between rounds. It is long enough to recover from a broken
	// connection, but not for an entry VM to be replaced.
	roundDelay = 200 * time.Millisecond
)

// call runs f on one entry VM after the other, starting with the one that answered last, until
// f succeeds or fails with an error that another entry VM would return as well. timeout limits
// each attempt.
func call[T any](ctx context.Context, c *Client, timeout time.Duration, f func(context.Context, *oas.Client) (T, error)) (result T, err error) {
	failures := make([]string, len(c.entryVMs))
	var last error
	start := int(c.last.Load())
	for i := range maxRounds * len(c.entryVMs) {
		if i == len(c.entryVMs) {
			time.Sleep(roundDelay)
		}
		if ctx.Err() != nil {
			return result, &Failure{Cause: command.Failf(command.Unreachable, "", "interrupted: %v", ctx.Err())}
		}
		index := (start + i) % len(c.entryVMs)
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		result, err = f(attemptCtx, c.entryVMs[index].api)
		cancel()
		if err == nil || !retryable(err) {
			c.last.Store(int64(index))
			return result, asFailure(err)
		}
		last = moreSpecific(last, err)
		failures[index] = c.entryVMs[index].address + ": " + rootMessage(err)
	}
	if _, ok := problemOf(last); ok {
		return result, asFailure(last)
	}
	return result, &Failure{Cause: command.Failf(command.Unreachable, "check the addresses and that an entry VM runs there; after a change, send it again: one already made is recognised", "no entry VM answered: %s", strings.Join(failures, "; "))}
}

// moreSpecific returns the error to report of two failed attempts. A refusal by an entry VM takes
// precedence over no answer, and the refusal OutcomeUnknown over all others.
func moreSpecific(a, b error) error {
	pa, okA := problemOf(a)
	if okA && pa.Reason == oas.ProblemReasonOutcomeUnknown {
		return a
	}
	if _, okB := problemOf(b); okB || !okA {
		return b
	}
	return a
}

// rootMessage returns the message of a refusal, or that of the innermost wrapped error, on one
// line.
func rootMessage(err error) string {
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

// Set returns all objects of the given kinds as a set.
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

// Status returns an overview of the deployment.
func (c *Client) Status(ctx context.Context) (*oas.DeploymentStatus, error) {
	return call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (*oas.DeploymentStatus, error) {
		return api.GetStatus(ctx)
	})
}

// Watch waits at most for the duration wait for changes after the version since.
func (c *Client) Watch(ctx context.Context, kind oas.Kind, since int64, wait time.Duration) (*oas.WatchReply, error) {
	params := oas.WatchObjectsParams{Kind: oas.NewOptKind(kind), Since: since, WaitMs: oas.NewOptInt32(int32(wait.Milliseconds()))}
	return call(ctx, c, c.timeout+wait, func(ctx context.Context, api *oas.Client) (*oas.WatchReply, error) {
		return api.WatchObjects(ctx, params)
	})
}

// WriteOptions are the options of a write. The zero value is a plain write.
type WriteOptions struct {
	DryRun bool
	// Override is the reason for accepting a change that breaks a promise. If it is empty,
	// such a change is refused.
	Override string
}

func (o WriteOptions) override() oas.OptString {
	if o.Override == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(o.Override)
}

// Put creates an object, or updates it if its metadata has a version. It sets a new write id, so
// that retries on other entry VMs are not applied twice.
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

// Delete deletes an object if it still has the given version. NotFound on a retry counts as
// success, since an earlier attempt may have deleted the object and its reply been lost.
func (c *Client) Delete(ctx context.Context, ref check.Ref, version int64, options WriteOptions) error {
	attempts := 0
	_, err := call(ctx, c, c.timeout, func(ctx context.Context, api *oas.Client) (*oas.Deleted, error) {
		attempts++
		deleted, err := api.DeleteObject(ctx, oas.DeleteObjectParams{Kind: ref.Kind, Name: oas.ObjectName(ref.Name), Version: version, Override: options.override()})
		if p, ok := problemOf(err); ok && attempts > 1 && p.Reason == oas.ProblemReasonNotFound {
			return &oas.Deleted{}, nil
		}
		return deleted, err
	})
	return err
}
