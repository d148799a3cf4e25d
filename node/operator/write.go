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

// change is one write on its way.
type change struct {
	ref    check.Ref
	object oas.Object // as it is to be stored
	value  json.RawMessage
	// base is the version that the object must still have; 0 to create it.
	base     int64
	override string
	dryRun   bool
}

// CreateObject implements oas.Handler.
func (s *Server) CreateObject(ctx context.Context, o oas.Object, params oas.CreateObjectParams) (oas.Object, error) {
	if err := matches(check.RefOf(o), params.Kind, ""); err != nil {
		return o, err
	}
	return s.put(ctx, change{ref: check.RefOf(o), object: o, override: params.Override.Or(""), dryRun: params.DryRun.Or(false)})
}

// UpdateObject implements oas.Handler.
func (s *Server) UpdateObject(ctx context.Context, o oas.Object, params oas.UpdateObjectParams) (oas.Object, error) {
	if err := matches(check.RefOf(o), params.Kind, string(params.Name)); err != nil {
		return o, err
	}
	base := versionOf(o)
	if base == 0 {
		e := refuse(oas.ProblemReasonInvalid, "get the object and send the version it has", "an update needs the version last read")
		e.Problem.Fields = []oas.FieldProblem{{Field: "metadata.version", Message: "is missing", Remedy: "send the version last read"}}
		return o, e
	}
	return s.put(ctx, change{ref: check.RefOf(o), object: o, base: base, override: params.Override.Or(""), dryRun: params.DryRun.Or(false)})
}

// matches refuses an object that does not fit the address it was sent to.
func matches(ref check.Ref, kind oas.Kind, name string) error {
	if ref.Kind == kind && (name == "" || ref.Name == name) {
		return nil
	}
	return refuse(oas.ProblemReasonInvalid, "send the object to the address of its own kind and name", "%s does not belong at %s/%s", ref, kind, name)
}

// put checks and stores an object.
func (s *Server) put(ctx context.Context, c change) (oas.Object, error) {
	set, _, err := s.readSet(ctx)
	if err != nil {
		return c.object, err
	}
	stored, exists, err := s.readStored(ctx, set, c.ref)
	if err != nil {
		return c.object, err
	}
	if exists && ownWrite(c, stored) {
		return s.withStatus(ctx, stored), nil
	}
	if err := s.precondition(ctx, c, stored, exists); err != nil {
		return c.object, err
	}
	problems, err := s.putProblems(ctx, set, c.object)
	if err != nil {
		return c.object, err
	}
	if e := refuseProblems(problems, c.ref, c.override); e != nil {
		s.scope.Tagged(map[string]string{"reason": string(e.Problem.Reason)}).Counter("operator_refusals").Inc(1)
		return c.object, e
	}
	s.stamp(ctx, &c, stored, len(problems) > 0)
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

// ownWrite tells whether the stored object is this very change: the operator's
// client repeats a request when the reply to it was lost.
func ownWrite(c change, stored oas.Object) bool {
	id := writeIDOf(c.object)
	return id != "" && id == writeIDOf(stored) && versionOf(stored) > c.base && sameSpec(c.object, stored)
}

// precondition refuses a change that was made on another version than the
// stored one, before anything else is said of it.
func (s *Server) precondition(ctx context.Context, c change, stored oas.Object, exists bool) error {
	switch {
	case c.base == 0 && exists:
		return s.conflict(oas.ProblemReasonExists, c, stored)
	case c.base != 0 && !exists:
		return refuse(oas.ProblemReasonNotFound, "create it", "there is no %s", c.ref)
	case c.base != 0 && versionOf(stored) > c.base:
		return s.conflict(oas.ProblemReasonConflict, c, stored)
	}
	return nil
}

// conflict shows both versions, so that the operator can merge them.
func (s *Server) conflict(reason oas.ProblemReason, c change, stored oas.Object) *Error {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("operator_refusals").Inc(1)
	e := refuse(reason, "get it again and repeat the change on its new version", "%s was changed first, by %s, to version %d", c.ref, check.MetadataOf(&stored).ChangedBy.Or("somebody"), versionOf(stored))
	e.Problem.Yours = oas.NewOptObject(c.object)
	e.Problem.Stored = oas.NewOptObject(stored)
	return e
}

// stamp records who makes the change, when and under which id. An id that came
// with the version read is replaced: two operators who both send back the id
// they read would each take the other's change for their own.
func (s *Server) stamp(ctx context.Context, c *change, stored oas.Object, overridden bool) {
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

// store writes until the outcome is known. What goes wrong: the platform's
// reply is lost, or comes too late, after the write took effect; repeating it
// blindly would then be refused as a conflict with the writer's own change.
// The write id tells the two apart. Repeating is safe because the write is
// conditional: of all attempts at most one can take effect.
func (s *Server) store(ctx context.Context, c change) (oas.Object, error) {
	unknown := false
	var last error
	for range writeAttempts {
		stored, err := s.attempt(ctx, c)
		if err == nil {
			return decode(stored, s.fetchShards(ctx))
		}
		last = err
		switch kind := objects.KindOf(err); {
		case kind == objects.Unknown:
			unknown = true
		case kind == objects.Conflict, kind == objects.NotFound && c.base != 0:
			return s.settle(ctx, c, unknown)
		case !unknown:
			return c.object, fromPlatform(err, c.ref)
		}
		s.scope.Counter("operator_write_retries").Inc(1)
		if !pause(ctx) {
			break
		}
	}
	e := fromPlatform(last, c.ref)
	if unknown {
		e = refuse(oas.ProblemReasonOutcomeUnknown, "get the object when the platform answers again; metadata.writeId tells whether the change took effect", "the platform broke off; %s may have been changed", c.ref)
		e.Err = last
	}
	return c.object, e
}

func (s *Server) attempt(ctx context.Context, c change) (objects.Object, error) {
	if c.base == 0 {
		return s.platform.Create(ctx, string(c.ref.Kind), c.ref.Name, c.value)
	}
	return s.platform.Update(ctx, string(c.ref.Kind), c.ref.Name, c.base, c.value)
}

// settle finds out after a conflict whether it was with this very change. Reads
// may lag behind writes, so an old answer is asked for again.
func (s *Server) settle(ctx context.Context, c change, unknown bool) (oas.Object, error) {
	for range writeAttempts {
		stored, err := s.platform.Get(ctx, string(c.ref.Kind), c.ref.Name)
		if err == nil && stored.Version > c.base {
			o, err := decode(stored, s.fetchShards(ctx))
			if err != nil {
				return c.object, fromPlatform(err, c.ref)
			}
			return s.settled(c, o, unknown)
		}
		if objects.KindOf(err) == objects.NotFound && c.base != 0 && !unknown {
			return c.object, refuse(oas.ProblemReasonNotFound, "create it again if it is still wanted", "%s was deleted by somebody else first", c.ref)
		}
		if !pause(ctx) {
			break
		}
	}
	if unknown {
		return c.object, refuse(oas.ProblemReasonOutcomeUnknown, "get the object and compare metadata.writeId", "%s may have been changed", c.ref)
	}
	return c.object, refuse(oas.ProblemReasonConflict, "get it again and repeat the change on its new version", "%s was changed by somebody else first", c.ref)
}

// settled judges the newer version that was found.
func (s *Server) settled(c change, stored oas.Object, unknown bool) (oas.Object, error) {
	if writeIDOf(stored) == writeIDOf(c.object) {
		return stored, nil
	}
	if !unknown {
		reason := oas.ProblemReasonConflict
		if c.base == 0 {
			reason = oas.ProblemReasonExists
		}
		return c.object, s.conflict(reason, c, stored)
	}
	e := s.conflict(oas.ProblemReasonOutcomeUnknown, c, stored)
	e.Problem.Message = c.ref.String() + " may have been changed, and has been changed by somebody else since"
	return c.object, e
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(writePause):
		return true
	}
}

// DeleteObject implements oas.Handler.
func (s *Server) DeleteObject(ctx context.Context, params oas.DeleteObjectParams) (*oas.Deleted, error) {
	ref := check.Ref{Kind: params.Kind, Name: string(params.Name)}
	c := change{ref: ref, base: params.Version, override: params.Override.Or("")}
	set, _, err := s.readSet(ctx)
	if err != nil {
		return nil, err
	}
	stored, exists, err := s.readStored(ctx, set, ref)
	if err != nil {
		return nil, err
	}
	if !exists {
		return nil, refuse(oas.ProblemReasonNotFound, "list the kind to see what there is", "there is no %s", ref)
	}
	c.object = stored
	if versionOf(stored) > c.base {
		return nil, s.conflict(oas.ProblemReasonConflict, c, stored)
	}
	problems, err := s.deleteProblems(ctx, set, ref)
	if err != nil {
		return nil, err
	}
	if e := refuseProblems(problems, ref, c.override); e != nil {
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

// remove deletes until the outcome is known; a missing object after an unknown
// outcome is what was wanted.
func (s *Server) remove(ctx context.Context, c change) (int64, error) {
	unknown := false
	var last error
	for range writeAttempts {
		revision, err := s.platform.Delete(ctx, string(c.ref.Kind), c.ref.Name, c.base)
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
				return 0, fromPlatform(err, c.ref)
			}
			return revision, nil
		case !unknown, kind == objects.Conflict:
			return 0, fromPlatform(err, c.ref)
		}
		if !pause(ctx) {
			break
		}
	}
	e := fromPlatform(last, c.ref)
	if unknown {
		e.Problem.Reason = oas.ProblemReasonOutcomeUnknown
	}
	return 0, e
}
