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

// encode returns what is stored of an object: no status, and no version, which
// is the platform's to give.
func encode(o oas.Object) (json.RawMessage, error) {
	check.StatusOf(&o).Reset()
	check.MetadataOf(&o).Version.Reset()
	return o.MarshalJSON()
}

// shardSource returns the value of a shard of a split ClientBlocks object.
type shardSource func(name string) (json.RawMessage, bool)

// decode reads a stored object and puts its version in.
func decode(stored objects.Object, shard shardSource) (oas.Object, error) {
	o := oas.Object{}
	if stored.Kind == string(oas.KindClientBlocks) {
		blocks, err := dynamic.JoinBlocks(stored.Value, shard)
		if err != nil {
			return o, errors.Wrapf(err, "operator: stored %s/%s", stored.Kind, stored.Name)
		}
		o.SetClientBlocks(*blocks)
	} else if err := o.UnmarshalJSON(stored.Value); err != nil {
		return o, errors.Wrapf(err, "operator: stored %s/%s", stored.Kind, stored.Name)
	}
	check.MetadataOf(&o).Version = oas.NewOptInt64(stored.Version)
	return o, nil
}

// fetchShards reads shards from the platform one by one.
func (s *Server) fetchShards(ctx context.Context) shardSource {
	return func(name string) (json.RawMessage, bool) {
		stored, err := s.platform.Get(ctx, dynamic.KindShard, name)
		return stored.Value, err == nil
	}
}

// shardsIn returns the shards that a list holds.
func shardsIn(stored []objects.Object) shardSource {
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

// decodeAll reads a list in which split objects come with their shards.
func decodeAll(stored []objects.Object) ([]oas.Object, error) {
	shards := shardsIn(stored)
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

// smallKinds are the kinds whose objects are few and small. Client blocks are
// neither, and few rules concern them.
var smallKinds = []string{
	string(oas.KindService), string(oas.KindPlace), string(oas.KindShift),
	string(oas.KindCap), string(oas.KindPlannedStop),
}

// readSet reads the objects that a change is checked against, but for client
// blocks, which are compared one object at a time (eachBlocks).
func (s *Server) readSet(ctx context.Context) (check.Set, int64, error) {
	stored, revision, err := s.platform.List(ctx, smallKinds...)
	if err != nil {
		return check.Set{}, 0, unreadable(err, check.Ref{})
	}
	objects, err := decodeAll(stored)
	if err != nil {
		return check.Set{}, 0, fromPlatform(err, check.Ref{})
	}
	return check.NewSet(objects...), revision, nil
}

// readStored returns the stored object that a change is to replace.
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
		return o, false, unreadable(err, ref)
	}
	if o, err = decode(stored, s.fetchShards(ctx)); err != nil {
		return o, false, fromPlatform(err, ref)
	}
	return o, true, nil
}

// eachBlocks calls f with every ClientBlocks object, one after the other, so
// that only one of them is in memory as an object.
func (s *Server) eachBlocks(ctx context.Context, f func(oas.ClientBlocks)) error {
	stored, _, err := s.platform.List(ctx, string(oas.KindClientBlocks), dynamic.KindShard)
	if err != nil {
		return unreadable(err, check.Ref{})
	}
	shards := shardsIn(stored)
	for _, one := range stored {
		if one.Kind == dynamic.KindShard {
			continue
		}
		o, err := decode(one, shards)
		if err != nil {
			return fromPlatform(err, refOf(one))
		}
		f(o.ClientBlocks)
	}
	return nil
}

// putProblems returns the problems of storing an object.
func (s *Server) putProblems(ctx context.Context, set check.Set, o oas.Object) (check.Problems, error) {
	problems := set.Put(s.facts(set), o)
	if o.Type != oas.ClientBlocksObject {
		return problems, nil
	}
	blocks := check.NewBlockCheck(o.ClientBlocks)
	if err := s.eachBlocks(ctx, blocks.Compare); err != nil {
		return nil, err
	}
	return append(problems, blocks.Problems()...), nil
}

// deleteProblems returns the problems that others would have without an object.
func (s *Server) deleteProblems(ctx context.Context, set check.Set, ref check.Ref) (check.Problems, error) {
	problems := set.Delete(s.facts(set), ref)
	if ref.Kind != oas.KindPlace {
		return problems, nil
	}
	err := s.eachBlocks(ctx, func(blocks oas.ClientBlocks) {
		problems = append(problems, check.PlaceInUse(blocks, ref.Name)...)
	})
	return problems, err
}

// setMaxAge is how old the set may be that stored objects are judged by on a
// read. It bounds the calls that reads cost the platform.
const setMaxAge = 2 * time.Second

// recentSet remembers the problems of the set for a short time.
type recentSet struct {
	mu       sync.Mutex
	readAt   time.Time
	problems map[check.Ref]check.Problem
}

// problemOf returns the first rule that a stored object breaks, if any. When
// the platform does not answer, the last known answer stands.
func (s *Server) problemOf(ctx context.Context, ref check.Ref) (check.Problem, bool) {
	s.recent.mu.Lock()
	defer s.recent.mu.Unlock()
	if time.Since(s.recent.readAt) > setMaxAge {
		if set, _, err := s.readSet(ctx); err == nil {
			s.recent.problems = firstProblems(set)
		}
		s.recent.readAt = time.Now()
	}
	p, found := s.recent.problems[ref]
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

// refOf names a stored object.
func refOf(o objects.Object) check.Ref { return check.Ref{Kind: oas.Kind(o.Kind), Name: o.Name} }
