package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/objects"
)

// session implements objects.API on a store for one client in one zone.
type session struct {
	store  *Store
	client string
	zone   string
}

var _ objects.API = session{}

// As returns the API of the store for a client in a zone.
func (s *Store) As(client, zone string) objects.API {
	return session{store: s, client: client, zone: zone}
}

// errReplyLost is the cause of the error of a write that took effect and whose reply
// is dropped.
var errReplyLost = errors.New("the reply was lost")

// errCutOff is the cause of the error of a call from a zone that is cut off.
var errCutOff = errors.New("the zone is cut off from the platform")

// admit counts a call, delays it by the time set with Slow, and returns an error if a
// fault or a rate limit refuses it.
func (c session) admit(ctx context.Context, op string) error {
	c.store.mu.Lock()
	now := time.Now()
	c.store.counters.countCall(op, c.client, now)
	delay := c.store.faults.delay
	c.store.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return newError(objects.Unavailable, err)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err := c.outage(); err != nil {
		return err
	}
	if !c.allow(op, now) {
		c.store.counters.counts.Throttled++
		return &objects.Error{Kind: objects.Throttled, RetryAfter: throttleRetry, Err: errors.New("over the rate")}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outage returns an error if a fault makes the store unreachable for the client.
// Store.mu must be held.
func (c session) outage() error {
	if c.store.faults.cutOffZones[c.zone] {
		return newError(objects.Unavailable, errCutOff)
	}
	if c.store.faults.down {
		return newError(objects.Unavailable, errors.New("the platform is down"))
	}
	return nil
}

func (c session) allow(op string, now time.Time) bool {
	if objects.IsWrite(op) {
		return c.store.writes.AllowN(now, 1)
	}
	return c.store.reads.AllowN(now, 1)
}

// read runs f with Store.mu held if the call is admitted.
func (c session) read(ctx context.Context, op, object string, f func() error) error {
	if err := c.admit(ctx, op); err != nil {
		return withCall(err, op, object)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return withCall(f(), op, object)
}

// write runs f as read does, and then drops the reply if LoseReplies applies.
func (c session) write(ctx context.Context, op, object string, f func() error) error {
	return c.read(ctx, op, object, func() error {
		if err := f(); err != nil {
			return err
		}
		if c.store.loseReply() {
			return newError(objects.Unknown, errReplyLost)
		}
		return nil
	})
}

// withCall sets the operation and object of an objects.Error.
func withCall(err error, op, object string) error {
	var e *objects.Error
	if !errors.As(err, &e) {
		return err
	}
	e.Op = op
	e.Object = object
	return e
}

// Get implements objects.API.
func (c session) Get(ctx context.Context, kind, name string) (object objects.Object, err error) {
	err = c.read(ctx, objects.OpGet, kind+"/"+name, func() error {
		found := false
		object, found = c.store.at(objectKey{kind, name}, c.store.readRevision())
		if !found {
			object = objects.Object{}
			return newError(objects.NotFound, nil)
		}
		return nil
	})
	return object, err
}

// List implements objects.API.
func (c session) List(ctx context.Context, kinds ...string) (found []objects.Object, revision int64, err error) {
	err = c.read(ctx, objects.OpList, "", func() error {
		revision = c.store.readRevision()
		found = c.store.list(kinds, revision)
		return nil
	})
	return found, revision, err
}

// Create implements objects.API.
func (c session) Create(ctx context.Context, kind, name string, value json.RawMessage) (object objects.Object, err error) {
	err = c.write(ctx, objects.OpCreate, kind+"/"+name, func() error {
		value, err := checkValue(value)
		if err == nil {
			object, err = c.store.create(objectKey{kind, name}, value)
		}
		return err
	})
	return onSuccess(object, err), err
}

// Update implements objects.API.
func (c session) Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (object objects.Object, err error) {
	err = c.write(ctx, objects.OpUpdate, kind+"/"+name, func() error {
		value, err := checkValue(value)
		if err == nil {
			object, err = c.store.update(objectKey{kind, name}, version, value)
		}
		return err
	})
	return onSuccess(object, err), err
}

// Delete implements objects.API.
func (c session) Delete(ctx context.Context, kind, name string, version int64) (revision int64, err error) {
	err = c.write(ctx, objects.OpDelete, kind+"/"+name, func() error {
		revision, err = c.store.remove(objectKey{kind, name}, version)
		return err
	})
	return onSuccess(revision, err), err
}

// onSuccess returns result, or the zero value if err is not nil, as a caller gets no
// result when the reply is lost.
func onSuccess[T any](result T, err error) T {
	if err != nil {
		var none T
		return none
	}
	return result
}

// Watch implements objects.API.
func (c session) Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]objects.Event, int64, error) {
	if err := c.admit(ctx, objects.OpWatch); err != nil {
		return nil, 0, withCall(err, objects.OpWatch, "")
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, revision, changed, err := c.poll(since, kinds)
		if err != nil {
			return nil, 0, withCall(err, objects.OpWatch, "")
		}
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return events, revision, nil
		case <-ctx.Done():
			return nil, 0, withCall(newError(objects.Unavailable, ctx.Err()), objects.OpWatch, "")
		}
	}
}

// poll returns the events after a revision without waiting, and the channel that the
// next change closes.
func (c session) poll(since int64, kinds []string) ([]objects.Event, int64, chan struct{}, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err := c.outage(); err != nil {
		return nil, 0, nil, err
	}
	events, err := c.store.eventsAfter(since, kinds)
	return events, c.store.revision, c.store.changed, err
}

// VMs implements objects.API.
func (c session) VMs(ctx context.Context) (vms []objects.VM, err error) {
	err = c.read(ctx, objects.OpVMs, "", func() error {
		vms = c.store.vms.at(time.Now())
		return nil
	})
	return vms, err
}
