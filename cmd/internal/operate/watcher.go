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
	// pollTimeout is the time for which one poll waits for a change.
	pollTimeout = 20 * time.Second
	// reconnectDelay is the time between polls while no entry VM answers.
	reconnectDelay = time.Second
)

// watcher turns polls into a sequence of changes without gaps or duplicates, also when polls
// are answered by different entry VMs or after a period in which none answered.
type watcher struct {
	client   *client.Client
	kind     oas.Kind
	name     string // empty for all objects of the kind
	since    int64
	reported map[string]int64 // last reported version of each object, by name
	// emit is called for each change of a watched object.
	emit func(oas.WatchEvent) error
	// onUnreachable is called when no entry VM answers.
	onUnreachable func(error)
}

// run reports changes until ctx ends or emit fails, and retries while no entry VM answers.
func (f *watcher) run(ctx context.Context) error {
	f.reported = map[string]int64{}
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
		f.onUnreachable(err)
		if !sleep(ctx, reconnectDelay) {
			break
		}
	}
	return nil
}

// list reports the differences from the last reported versions. At first these are all objects.
// Once the platform no longer keeps the changes since the last poll, they are the net result of
// those changes.
func (f *watcher) list(ctx context.Context) error {
	list, err := f.client.List(ctx, f.kind)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, o := range list.Items {
		ref := check.RefOf(o)
		present[ref.Name] = true
		version := check.MetadataOf(&o).Version.Or(0)
		if f.reported[ref.Name] == version {
			continue
		}
		e := oas.WatchEvent{Type: oas.WatchEventTypePut, Version: version, Kind: f.kind, Name: ref.Name, Object: oas.NewOptObject(o)}
		if err := f.report(e); err != nil {
			return err
		}
	}
	for name := range f.reported {
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

// poll waits for changes after the last seen version and reports them.
func (f *watcher) poll(ctx context.Context) error {
	reply, err := f.client.Watch(ctx, f.kind, f.since, pollTimeout)
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

// report records a change, and emits it if it concerns a watched object.
func (f *watcher) report(e oas.WatchEvent) error {
	switch e.Type {
	case oas.WatchEventTypeDelete:
		delete(f.reported, e.Name)
	case oas.WatchEventTypePut:
		f.reported[e.Name] = e.Version
	}
	if f.name != "" && f.name != e.Name {
		return nil
	}
	return f.emit(e)
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
