package operator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/node/dynamic"
	"heatherlock/objects"
)

// encode returns the form of an object that is stored. It leaves out the status, which is never
// stored, and the version, which the platform assigns.
func encode(o oas.Object) (json.RawMessage, error) {
	check.StatusOf(&o).Reset()
	check.MetadataOf(&o).Version.Reset()
	return o.MarshalJSON()
}

// shardLookup returns the value of the named shard of a split ClientBlocks object.
type shardLookup func(name string) (json.RawMessage, bool)

// decode decodes a stored object and sets its version.
func decode(stored objects.Object, shard shardLookup) (oas.Object, error) {
	o := oas.Object{}
	if stored.Kind == string(oas.KindClientBlocks) {
		blocks, err := dynamic.JoinBlocks(stored.Value, shard)
		if err != nil {
			return o, errors.Wrapf(err, "operator: decode stored %s/%s", stored.Kind, stored.Name)
		}
		o.SetClientBlocks(*blocks)
	} else if err := o.UnmarshalJSON(stored.Value); err != nil {
		return o, errors.Wrapf(err, "operator: decode stored %s/%s", stored.Kind, stored.Name)
	}
	check.MetadataOf(&o).Version = oas.NewOptInt64(stored.Version)
	return o, nil
}

// fetchShards returns a lookup that reads each shard from the platform.
func (s *Server) fetchShards(ctx context.Context) shardLookup {
	return func(name string) (json.RawMessage, bool) {
		stored, err := s.platform.Get(ctx, dynamic.KindShard, name)
		return stored.Value, err == nil
	}
}

// listedShards returns a lookup of the shards in a list of stored objects.
func listedShards(stored []objects.Object) shardLookup {
	shards := map[string]json.RawMessage{}
	for _, one := range stored {
		if one.Kind == dynamic.KindShard {
			shards[one.Name] = one.Value
		}
	}
	return func(name string) (json.RawMessage, bool) {
		value, ok := shards[name]
		return value, ok
	}
}

// decodeAll decodes a list of stored objects that also contains the shards of split objects.
func decodeAll(stored []objects.Object) ([]oas.Object, error) {
	shards := listedShards(stored)
	objects := make([]oas.Object, 0, len(stored))
	for _, one := range stored {
		if one.Kind == dynamic.KindShard {
			continue
		}
		o, err := decode(one, shards)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

func versionOf(o oas.Object) int64 { return check.MetadataOf(&o).Version.Or(0) }

func writeIDOf(o oas.Object) string { return check.MetadataOf(&o).WriteId.Or("") }

// smallKinds lists the kinds that have few and small objects. ClientBlocks is left out: its
// objects are large and many, and few rules involve them.
var smallKinds = []string{
	string(oas.KindService), string(oas.KindPlace), string(oas.KindShift),
	string(oas.KindCap), string(oas.KindPlannedStop),
}

// readSet reads the objects that a change is checked against, and the revision of the list.
// ClientBlocks objects are left out; they are compared one at a time (forEachClientBlocks).
func (s *Server) readSet(ctx context.Context) (check.Set, int64, error) {
	stored, revision, err := s.platform.List(ctx, smallKinds...)
	if err != nil {
		return check.Set{}, 0, readError(err, check.Ref{})
	}
	objects, err := decodeAll(stored)
	if err != nil {
		return check.Set{}, 0, platformError(err, check.Ref{})
	}
	return check.NewSet(objects...), revision, nil
}

// readStored returns the stored object that a change replaces or deletes, if it exists.
func (s *Server) readStored(ctx context.Context, set check.Set, ref check.Ref) (o oas.Object, exists bool, err error) {
	if ref.Kind != oas.KindClientBlocks {
		o, exists = set.Get(ref)
		return o, exists, nil
	}
	stored, err := s.platform.Get(ctx, string(ref.Kind), ref.Name)
	if objects.KindOf(err) == objects.NotFound {
		return o, false, nil
	}
	if err != nil {
		return o, false, readError(err, ref)
	}
	if o, err = decode(stored, s.fetchShards(ctx)); err != nil {
		return o, false, platformError(err, ref)
	}
	return o, true, nil
}

// forEachClientBlocks calls f with each ClientBlocks object in turn, so that only one decoded
// object is in memory at a time.
func (s *Server) forEachClientBlocks(ctx context.Context, f func(oas.ClientBlocks)) error {
	stored, _, err := s.platform.List(ctx, string(oas.KindClientBlocks), dynamic.KindShard)
	if err != nil {
		return readError(err, check.Ref{})
	}
	shards := listedShards(stored)
	for _, one := range stored {
		if one.Kind == dynamic.KindShard {
			continue
		}
		o, err := decode(one, shards)
		if err != nil {
			return platformError(err, refOf(one))
		}
		f(o.ClientBlocks)
	}
	return nil
}

// putProblems returns the rules that storing an object would break.
func (s *Server) putProblems(ctx context.Context, set check.Set, o oas.Object) (check.Problems, error) {
	problems := set.Put(s.facts(set), o)
	if o.Type != oas.ClientBlocksObject {
		return problems, nil
	}
	blocks := check.NewBlockCheck(o.ClientBlocks)
	if err := s.forEachClientBlocks(ctx, blocks.Compare); err != nil {
		return nil, err
	}
	return append(problems, blocks.Problems()...), nil
}

// deleteProblems returns the rules that other objects would break if an object were deleted.
func (s *Server) deleteProblems(ctx context.Context, set check.Set, ref check.Ref) (check.Problems, error) {
	problems := set.Delete(s.facts(set), ref)
	if ref.Kind != oas.KindPlace {
		return problems, nil
	}
	err := s.forEachClientBlocks(ctx, func(blocks oas.ClientBlocks) {
		problems = append(problems, check.PlaceInUse(blocks, ref.Name)...)
	})
	return problems, err
}

// problemsMaxAge is how long the problems of the stored objects are cached. It limits the
// platform calls that reads cause.
const problemsMaxAge = 2 * time.Second

// problemCache holds the first problem of each invalid stored object.
type problemCache struct {
	mu       sync.Mutex
	readAt   time.Time
	problems map[check.Ref]check.Problem
}

// problemOf returns the first rule that a stored object breaks, if any. If the platform doesn't
// respond, it uses the cached result.
func (s *Server) problemOf(ctx context.Context, ref check.Ref) (check.Problem, bool) {
	s.cachedProblems.mu.Lock()
	defer s.cachedProblems.mu.Unlock()
	if time.Since(s.cachedProblems.readAt) > problemsMaxAge {
		if set, _, err := s.readSet(ctx); err == nil {
			s.cachedProblems.problems = firstProblems(set)
		}
		s.cachedProblems.readAt = time.Now()
	}
	p, found := s.cachedProblems.problems[ref]
	return p, found
}

func firstProblems(set check.Set) map[check.Ref]check.Problem {
	first := map[check.Ref]check.Problem{}
	for _, p := range set.All(check.Facts{}) {
		if _, taken := first[p.Object]; !taken && p.Class == check.Invalid {
			first[p.Object] = p
		}
	}
	return first
}

// refOf returns the reference to a stored object.
func refOf(o objects.Object) check.Ref { return check.Ref{Kind: oas.Kind(o.Kind), Name: o.Name} }
