package operator

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/node/dynamic"
	"heatherlock/objects"
)

// ListObjects implements oas.Handler.
func (s *Server) ListObjects(ctx context.Context, params oas.ListObjectsParams) (*oas.ObjectList, error) {
	kinds := []string{string(params.Kind)}
	if params.Kind == oas.KindClientBlocks {
		kinds = append(kinds, dynamic.KindShard)
	}
	stored, revision, err := s.platform.List(ctx, kinds...)
	if err != nil {
		return nil, readError(err, check.Ref{Kind: params.Kind})
	}
	objects, err := decodeAll(stored)
	if err != nil {
		return nil, platformError(err, check.Ref{Kind: params.Kind})
	}
	list := &oas.ObjectList{Version: revision, Items: make([]oas.Object, 0, len(objects))}
	for _, o := range objects {
		list.Items = append(list.Items, s.withStatus(ctx, o))
	}
	slices.SortFunc(list.Items, func(a, b oas.Object) int { return check.Order(check.RefOf(a), check.RefOf(b)) })
	return list, nil
}

// GetObject implements oas.Handler.
func (s *Server) GetObject(ctx context.Context, params oas.GetObjectParams) (oas.Object, error) {
	return s.get(ctx, check.Ref{Kind: params.Kind, Name: string(params.Name)})
}

func (s *Server) get(ctx context.Context, ref check.Ref) (oas.Object, error) {
	stored, err := s.platform.Get(ctx, string(ref.Kind), ref.Name)
	if err != nil {
		return oas.Object{}, readError(err, ref)
	}
	o, err := decode(stored, s.fetchShards(ctx))
	if err != nil {
		return o, platformError(err, ref)
	}
	return s.withStatus(ctx, o), nil
}

// WatchObjects implements oas.Handler. The platform's revisions form a single sequence, so a
// client that resumes from the returned version receives every event exactly once, even from
// another entry VM.
func (s *Server) WatchObjects(ctx context.Context, params oas.WatchObjectsParams) (*oas.WatchReply, error) {
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		e := newError(oas.ProblemReasonUnavailable, "watch through another entry VM, or come back after the time given", "this entry VM already has %d watches", maxWatches)
		e.Problem.RetryAfterMs = oas.NewOptInt64(defaultRetryAfter.Milliseconds())
		return nil, e
	}
	wait := defaultWatchWait
	if ms, ok := params.WaitMs.Get(); ok {
		wait = time.Duration(ms) * time.Millisecond
	}
	events, revision, err := s.platform.Watch(ctx, params.Since, wait, watchedKinds(params.Kind)...)
	if err != nil {
		return nil, readError(err, check.Ref{})
	}
	reply := &oas.WatchReply{Version: revision, Events: []oas.WatchEvent{}}
	for _, event := range events {
		converted, err := s.toWatchEvent(ctx, event)
		if err != nil {
			return nil, err
		}
		reply.Events = append(reply.Events, converted)
	}
	return reply, nil
}

// watchedKinds returns the stored kinds whose changes a watch returns. A watch of shifts
// includes their progress, which is a stored kind of its own.
func watchedKinds(kind oas.OptKind) []string {
	if k, ok := kind.Get(); ok {
		if k == oas.KindShift {
			return []string{string(k), dynamic.KindShiftProgress}
		}
		return []string{string(k)}
	}
	kinds := make([]string, 0, len(check.Kinds)+1)
	for _, k := range check.Kinds {
		kinds = append(kinds, string(k))
	}
	return append(kinds, dynamic.KindShiftProgress)
}

// toWatchEvent converts a platform event. A change of a shift's progress becomes a status event
// of the shift.
func (s *Server) toWatchEvent(ctx context.Context, event objects.Event) (oas.WatchEvent, error) {
	stored := event.Object
	e := oas.WatchEvent{Type: oas.WatchEventTypePut, Version: stored.Version, Kind: oas.Kind(stored.Kind), Name: stored.Name}
	switch {
	case stored.Kind == dynamic.KindShiftProgress:
		e.Type, e.Kind = oas.WatchEventTypeStatus, oas.KindShift
		if o, err := s.get(ctx, check.Ref{Kind: oas.KindShift, Name: stored.Name}); err == nil {
			e.Object = oas.NewOptObject(o)
		}
	case event.Deleted:
		e.Type = oas.WatchEventTypeDelete
	default:
		o, err := decode(stored, s.fetchShards(ctx))
		var missing *dynamic.MissingShardError
		if errors.As(err, &missing) {
			return e, nil // the object was replaced since, and a later event has the new version
		}
		if err != nil {
			return e, platformError(err, check.Ref{Kind: e.Kind, Name: e.Name})
		}
		e.Object = oas.NewOptObject(s.withStatus(ctx, o))
	}
	return e, nil
}
