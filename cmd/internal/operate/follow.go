package operate

import (
	"context"
	"time"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

const (
	// watchWait is how long one poll waits for a change.
	watchWait = 20 * time.Second
	// reconnectPause comes between tries while no entry VM answers.
	reconnectPause = time.Second
)

// follower turns polls into a sequence of changes in which nothing is missed or
// repeated, whichever entry VM answers and however long none did.
type follower struct {
	client *client.Client
	kind   oas.Kind
	name   string // empty for every object of the kind
	since  int64
	known  map[string]int64 // version of each object as last reported
	// emit is called for each change.
	emit func(oas.WatchEvent) error
	// lost is called when no entry VM answers.
	lost func(error)
}

// run follows changes until ctx ends or emit fails.
func (f *follower) run(ctx context.Context) error {
	f.known = map[string]int64{}
	if err := f.list(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if client.ReasonOf(err) == oas.ProblemReasonGone {
			err = f.list(ctx)
		}
		if command.CodeOf(err) != command.Unreachable {
			if err != nil {
				return err
			}
			continue
		}
		f.lost(err)
		if !sleep(ctx, reconnectPause) {
			break
		}
	}
	return nil
}

// list reports what differs from what was reported before: everything at first,
// and after the platform has forgotten the changes in between what came of them.
func (f *follower) list(ctx context.Context) error {
	list, err := f.client.List(ctx, f.kind)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, o := range list.Items {
		ref := check.RefOf(o)
		present[ref.Name] = true
		version := check.MetadataOf(&o).Version.Or(0)
		if f.known[ref.Name] == version {
			continue
		}
		e := oas.WatchEvent{Type: oas.WatchEventTypePut, Version: version, Kind: f.kind, Name: ref.Name, Object: oas.NewOptObject(o)}
		if err := f.report(e); err != nil {
			return err
		}
	}
	for name := range f.known {
		if present[name] {
			continue
		}
		e := oas.WatchEvent{Type: oas.WatchEventTypeDelete, Version: list.Version, Kind: f.kind, Name: name}
		if err := f.report(e); err != nil {
			return err
		}
	}
	f.since = list.Version
	return nil
}

func (f *follower) poll(ctx context.Context) error {
	reply, err := f.client.Watch(ctx, f.kind, f.since, watchWait)
	if err != nil {
		return err
	}
	for _, e := range reply.Events {
		if e.Version <= f.since {
			continue
		}
		if err := f.report(e); err != nil {
			return err
		}
	}
	f.since = max(f.since, reply.Version)
	return nil
}

// report passes a change on and remembers it.
func (f *follower) report(e oas.WatchEvent) error {
	switch e.Type {
	case oas.WatchEventTypeDelete:
		delete(f.known, e.Name)
	case oas.WatchEventTypePut:
		f.known[e.Name] = e.Version
	}
	if f.name != "" && f.name != e.Name {
		return nil
	}
	return f.emit(e)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
