package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/objects"
)

// change is a write or a deletion that is being processed.
type change struct {
	ref    check.Ref
	object oas.Object // the object to store, or the stored object if this is a deletion
	value  json.RawMessage
	// baseVersion is the version that the stored object must still have; 0 creates it.
	baseVersion int64
	override    string
	dryRun      bool
}

// CreateObject implements oas.Handler.
func (s *Server) CreateObject(ctx context.Context, o oas.Object, params oas.CreateObjectParams) (oas.Object, error) {
	if err := checkAddress(check.RefOf(o), params.Kind, ""); err != nil {
		return o, err
	}
	return s.put(ctx, change{ref: check.RefOf(o), object: o, override: params.Override.Or(""), dryRun: params.DryRun.Or(false)})
}

// UpdateObject implements oas.Handler.
func (s *Server) UpdateObject(ctx context.Context, o oas.Object, params oas.UpdateObjectParams) (oas.Object, error) {
	if err := checkAddress(check.RefOf(o), params.Kind, string(params.Name)); err != nil {
		return o, err
	}
	baseVersion := versionOf(o)
	if baseVersion == 0 {
		e := newError(oas.ProblemReasonInvalid, "get the object and send the version it has", "an update needs the version last read")
		e.Problem.Fields = []oas.FieldProblem{{Field: "metadata.version", Message: "is missing", Remedy: "send the version last read"}}
		return o, e
	}
	return s.put(ctx, change{ref: check.RefOf(o), object: o, baseVersion: baseVersion, override: params.Override.Or(""), dryRun: params.DryRun.Or(false)})
}

// checkAddress returns an error if an object's kind or name differs from the request path. An
// empty name matches any.
func checkAddress(ref check.Ref, kind oas.Kind, name string) error {
	if ref.Kind == kind && (name == "" || ref.Name == name) {
		return nil
	}
	return newError(oas.ProblemReasonInvalid, "send the object to the address of its own kind and name", "%s does not belong at %s/%s", ref, kind, name)
}

// put checks and stores an object, and returns it with its status.
func (s *Server) put(ctx context.Context, c change) (oas.Object, error) {
	set, _, err := s.readSet(ctx)
	if err != nil {
		return c.object, err
	}
	stored, exists, err := s.readStored(ctx, set, c.ref)
	if err != nil {
		return c.object, err
	}
	if exists && isOwnWrite(c, stored) {
		return s.withStatus(ctx, stored), nil
	}
	if err := s.checkVersion(ctx, c, stored, exists); err != nil {
		return c.object, err
	}
	problems, err := s.putProblems(ctx, set, c.object)
	if err != nil {
		return c.object, err
	}
	if e := problemsError(problems, c.ref, c.override); e != nil {
		s.scope.Tagged(map[string]string{"reason": string(e.Problem.Reason)}).Counter("operator_refusals").Inc(1)
		return c.object, e
	}
	s.setChangeMetadata(ctx, &c, stored, len(problems) > 0)
	shards, err := c.encode()
	if err != nil {
		return c.object, err
	}
	if c.dryRun {
		return c.object, nil
	}
	stale, err := s.putShards(ctx, c, shards)
	if err != nil {
		return c.object, err
	}
	written, err := s.store(ctx, c)
	if err != nil {
		return c.object, err
	}
	s.removeShards(ctx, stale)
	s.audit(ctx, c, stored, exists, versionOf(written))
	return s.withStatus(ctx, written), nil
}

// isOwnWrite reports whether the stored object already has this change. This happens if the
// operator's client retries a request whose reply was lost.
func isOwnWrite(c change, stored oas.Object) bool {
	id := writeIDOf(c.object)
	return id != "" && id == writeIDOf(stored) && versionOf(stored) > c.baseVersion && sameSpec(c.object, stored)
}

// checkVersion returns an error if the change is based on another version than the stored one.
// It runs before the other checks, so that a conflict is reported first.
func (s *Server) checkVersion(ctx context.Context, c change, stored oas.Object, exists bool) error {
	switch {
	case c.baseVersion == 0 && exists:
		return s.conflict(oas.ProblemReasonExists, c, stored)
	case c.baseVersion != 0 && !exists:
		return newError(oas.ProblemReasonNotFound, "create it", "there is no %s", c.ref)
	case c.baseVersion != 0 && versionOf(stored) > c.baseVersion:
		return s.conflict(oas.ProblemReasonConflict, c, stored)
	}
	return nil
}

// conflict returns an Error that contains both versions, so that the operator can merge them.
func (s *Server) conflict(reason oas.ProblemReason, c change, stored oas.Object) *Error {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("operator_refusals").Inc(1)
	e := newError(reason, "get it again and repeat the change on its new version", "%s was changed first, by %s, to version %d", c.ref, check.MetadataOf(&stored).ChangedBy.Or("somebody"), versionOf(stored))
	e.Problem.Yours = oas.NewOptObject(c.object)
	e.Problem.Stored = oas.NewOptObject(stored)
	return e
}

// setChangeMetadata sets the author, time, override and write ID of a change. It replaces a
// write ID that came with the version that was read: if two operators both sent back that ID,
// the change of one would be mistaken for the change of the other.
func (s *Server) setChangeMetadata(ctx context.Context, c *change, stored oas.Object, overridden bool) {
	m := check.MetadataOf(&c.object)
	m.ChangedBy = oas.NewOptString(identity(ctx))
	m.ChangedAt = oas.NewOptDateTime(time.Now().UTC().Truncate(time.Millisecond))
	m.Override.Reset()
	if overridden {
		m.Override = oas.NewOptString(c.override)
	}
	if id := m.WriteId.Or(""); id == "" || id == writeIDOf(stored) {
		m.WriteId = oas.NewOptString(rand.Text())
	}
}

// store retries a write until its outcome is known. The platform's reply can be lost or late
// although the write took effect. A retry then fails with a conflict with the writer's own
// change; the write ID distinguishes this from a conflict with another writer. Retrying is safe
// because the write is conditional: at most one of the attempts can take effect.
func (s *Server) store(ctx context.Context, c change) (oas.Object, error) {
	unknown := false
	var last error
	for range maxWriteAttempts {
		stored, err := s.writeOnce(ctx, c)
		if err == nil {
			return decode(stored, s.fetchShards(ctx))
		}
		last = err
		switch kind := objects.KindOf(err); {
		case kind == objects.Unknown:
			unknown = true
		case kind == objects.Conflict, kind == objects.NotFound && c.baseVersion != 0:
			return s.resolveConflict(ctx, c, unknown)
		case !unknown:
			return c.object, platformError(err, c.ref)
		}
		s.scope.Counter("operator_write_retries").Inc(1)
		if !waitToRetry(ctx) {
			break
		}
	}
	e := platformError(last, c.ref)
	if unknown {
		e = newError(oas.ProblemReasonOutcomeUnknown, "get the object when the platform answers again; metadata.writeId tells whether the change took effect", "the platform broke off; %s may have been changed", c.ref)
		e.Err = last
	}
	return c.object, e
}

func (s *Server) writeOnce(ctx context.Context, c change) (objects.Object, error) {
	if c.baseVersion == 0 {
		return s.platform.Create(ctx, string(c.ref.Kind), c.ref.Name, c.value)
	}
	return s.platform.Update(ctx, string(c.ref.Kind), c.ref.Name, c.baseVersion, c.value)
}

// resolveConflict reads the object after a conflict to find out whether this change caused it.
// Reads can lag behind writes, so it retries while the read returns an old version.
func (s *Server) resolveConflict(ctx context.Context, c change, unknown bool) (oas.Object, error) {
	for range maxWriteAttempts {
		stored, err := s.platform.Get(ctx, string(c.ref.Kind), c.ref.Name)
		if err == nil && stored.Version > c.baseVersion {
			o, err := decode(stored, s.fetchShards(ctx))
			if err != nil {
				return c.object, platformError(err, c.ref)
			}
			return s.compareWriteIDs(c, o, unknown)
		}
		if objects.KindOf(err) == objects.NotFound && c.baseVersion != 0 && !unknown {
			return c.object, newError(oas.ProblemReasonNotFound, "create it again if it is still wanted", "%s was deleted by somebody else first", c.ref)
		}
		if !waitToRetry(ctx) {
			break
		}
	}
	if unknown {
		return c.object, newError(oas.ProblemReasonOutcomeUnknown, "get the object and compare metadata.writeId", "%s may have been changed", c.ref)
	}
	return c.object, newError(oas.ProblemReasonConflict, "get it again and repeat the change on its new version", "%s was changed by somebody else first", c.ref)
}

// compareWriteIDs returns the newer version that was found if it has the change's write ID, and
// an error otherwise.
func (s *Server) compareWriteIDs(c change, stored oas.Object, unknown bool) (oas.Object, error) {
	if writeIDOf(stored) == writeIDOf(c.object) {
		return stored, nil
	}
	if !unknown {
		reason := oas.ProblemReasonConflict
		if c.baseVersion == 0 {
			reason = oas.ProblemReasonExists
		}
		return c.object, s.conflict(reason, c, stored)
	}
	e := s.conflict(oas.ProblemReasonOutcomeUnknown, c, stored)
	e.Problem.Message = c.ref.String() + " may have been changed, and has been changed by somebody else since"
	return c.object, e
}

// waitToRetry waits for writeRetryDelay and reports whether ctx is still active.
func waitToRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(writeRetryDelay):
		return true
	}
}

// DeleteObject implements oas.Handler.
func (s *Server) DeleteObject(ctx context.Context, params oas.DeleteObjectParams) (*oas.Deleted, error) {
	ref := check.Ref{Kind: params.Kind, Name: string(params.Name)}
	c := change{ref: ref, baseVersion: params.Version, override: params.Override.Or("")}
	set, _, err := s.readSet(ctx)
	if err != nil {
		return nil, err
	}
	stored, exists, err := s.readStored(ctx, set, ref)
	if err != nil {
		return nil, err
	}
	if !exists {
		return nil, newError(oas.ProblemReasonNotFound, "list the kind to see what there is", "there is no %s", ref)
	}
	c.object = stored
	if versionOf(stored) > c.baseVersion {
		return nil, s.conflict(oas.ProblemReasonConflict, c, stored)
	}
	problems, err := s.deleteProblems(ctx, set, ref)
	if err != nil {
		return nil, err
	}
	if e := problemsError(problems, ref, c.override); e != nil {
		s.scope.Tagged(map[string]string{"reason": string(e.Problem.Reason)}).Counter("operator_refusals").Inc(1)
		return nil, e
	}
	stale, err := s.putShards(ctx, c, nil)
	if err != nil {
		return nil, err
	}
	revision, err := s.remove(ctx, c)
	if err != nil {
		return nil, err
	}
	s.removeShards(ctx, stale)
	s.audit(ctx, c, stored, true, revision)
	return &oas.Deleted{Version: revision}, nil
}

// remove retries a deletion until its outcome is known. If the object is missing after an
// attempt with an unknown outcome, the deletion has succeeded.
func (s *Server) remove(ctx context.Context, c change) (int64, error) {
	unknown := false
	var last error
	for range maxWriteAttempts {
		revision, err := s.platform.Delete(ctx, string(c.ref.Kind), c.ref.Name, c.baseVersion)
		if err == nil {
			return revision, nil
		}
		last = err
		switch kind := objects.KindOf(err); {
		case kind == objects.Unknown:
			unknown = true
		case kind == objects.NotFound && unknown:
			_, revision, err := s.platform.List(ctx, string(c.ref.Kind))
			if err != nil {
				return 0, platformError(err, c.ref)
			}
			return revision, nil
		case !unknown, kind == objects.Conflict:
			return 0, platformError(err, c.ref)
		}
		if !waitToRetry(ctx) {
			break
		}
	}
	e := platformError(last, c.ref)
	if unknown {
		e.Problem.Reason = oas.ProblemReasonOutcomeUnknown
	}
	return 0, e
}
