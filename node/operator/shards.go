package operator

import (
	"context"
	"slices"

	"heatherlock/api/oas"
	"heatherlock/node/dynamic"
	"heatherlock/objects"
)

// encode fills in the value to store and returns the shards it refers to.
func (c *change) encode() ([]objects.Object, error) {
	if c.object.Type == oas.ClientBlocksObject {
		return c.encodeBlocks()
	}
	value, err := encode(c.object)
	if err != nil {
		return nil, fromPlatform(err, c.ref)
	}
	if len(value) > maxObjectBytes {
		return nil, tooLarge(c.ref)
	}
	c.value = value
	return nil, nil
}

func (c *change) encodeBlocks() ([]objects.Object, error) {
	blocks := c.object.ClientBlocks
	blocks.Status.Reset()
	blocks.Metadata.Version.Reset()
	split, err := dynamic.SplitBlocks(&blocks)
	if err != nil {
		return nil, fromPlatform(err, c.ref)
	}
	c.value = split.Manifest
	return split.Shards, nil
}

// putShards stores the shards that a value to be written refers to, and returns
// those that nothing will refer to after the write, with the versions they have
// before it.
//
// What goes wrong: one operator's clean-up removes a shard that another one,
// who writes on the version just stored, has found present and refers to. A
// reader would notice by a manifest that names a missing shard. A shard found
// present is therefore written again unless the version it is based on names
// it: its version changes, and the clean-up, which knows the older one, fails.
func (s *Server) putShards(ctx context.Context, c change, shards []objects.Object) ([]objects.Object, error) {
	if c.ref.Kind != oas.KindClientBlocks {
		return nil, nil
	}
	named, err := s.shardsNamed(ctx, c)
	if err != nil {
		return nil, err
	}
	for _, shard := range shards {
		if slices.Contains(named, shard.Name) {
			continue
		}
		if err := s.putShard(ctx, shard); err != nil {
			return nil, err
		}
	}
	return s.staleShards(ctx, named, shards)
}

// shardsNamed returns the shards of the version that the change is based on.
func (s *Server) shardsNamed(ctx context.Context, c change) ([]string, error) {
	if c.base == 0 {
		return nil, nil
	}
	stored, err := s.platform.Get(ctx, string(c.ref.Kind), c.ref.Name)
	if err != nil {
		return nil, unreadable(err, c.ref)
	}
	names, err := dynamic.ShardNames(stored.Value)
	if err != nil {
		return nil, fromPlatform(err, c.ref)
	}
	return names, nil
}

func (s *Server) putShard(ctx context.Context, shard objects.Object) error {
	var last error
	for range writeAttempts {
		_, last = s.platform.Create(ctx, dynamic.KindShard, shard.Name, shard.Value)
		if objects.KindOf(last) == objects.Conflict {
			last = s.touchShard(ctx, shard)
		}
		if last == nil {
			return nil
		}
		if !pause(ctx) {
			break
		}
	}
	e := unreadable(last, refOf(shard))
	e.Problem.Remedy = "apply the object again; the version in force is unchanged"
	return e
}

func (s *Server) touchShard(ctx context.Context, shard objects.Object) error {
	stored, err := s.platform.Get(ctx, dynamic.KindShard, shard.Name)
	if err != nil {
		return err
	}
	_, err = s.platform.Update(ctx, dynamic.KindShard, shard.Name, stored.Version, shard.Value)
	return err
}

// staleShards returns the shards named before and not any more.
func (s *Server) staleShards(ctx context.Context, named []string, shards []objects.Object) ([]objects.Object, error) {
	var stale []objects.Object
	for _, name := range named {
		if slices.ContainsFunc(shards, func(o objects.Object) bool { return o.Name == name }) {
			continue
		}
		stored, err := s.platform.Get(ctx, dynamic.KindShard, name)
		if objects.KindOf(err) == objects.NotFound {
			continue
		}
		if err != nil {
			return nil, unreadable(err, refOf(objects.Object{Kind: dynamic.KindShard, Name: name}))
		}
		stale = append(stale, stored)
	}
	return stale, nil
}

// removeShards removes shards that nothing refers to. One that stays costs
// space and nothing else, so that failures are counted and passed over.
func (s *Server) removeShards(ctx context.Context, stale []objects.Object) {
	for _, shard := range stale {
		if _, err := s.platform.Delete(ctx, dynamic.KindShard, shard.Name, shard.Version); err != nil {
			s.scope.Counter("operator_shards_left").Inc(1)
		}
	}
}
