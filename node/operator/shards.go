package operator

import (
	"context"
	"slices"

	"heatherlock/api/oas"
	"heatherlock/node/dynamic"
	"heatherlock/objects"
)

// encode sets the value to store and returns the shards that the value refers to.
func (c *change) encode() ([]objects.Object, error) {
	if c.object.Type == oas.ClientBlocksObject {
		return c.encodeBlocks()
	}
	value, err := encode(c.object)
	if err != nil {
		return nil, platformError(err, c.ref)
	}
	if len(value) > maxObjectBytes {
		return nil, tooLargeError(c.ref)
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
		return nil, platformError(err, c.ref)
	}
	c.value = split.Manifest
	return split.Shards, nil
}

// putShards stores the shards that the value to be written refers to. It returns the shards
// that nothing refers to after the write, with their versions from before the write.
//
// Two operators can race: after one stores a version, its cleanup deletes a shard that the
// other, writing on top of that version, found present and refers to. The manifest would then
// name a missing shard. Therefore a shard that is already present is written again unless the
// base version names it. This changes the shard's version, so a cleanup that knows the older
// version fails.
func (s *Server) putShards(ctx context.Context, c change, shards []objects.Object) ([]objects.Object, error) {
	if c.ref.Kind != oas.KindClientBlocks {
		return nil, nil
	}
	named, err := s.baseShardNames(ctx, c)
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

// baseShardNames returns the names of the shards of the version that the change is based on.
func (s *Server) baseShardNames(ctx context.Context, c change) ([]string, error) {
	if c.baseVersion == 0 {
		return nil, nil
	}
	stored, err := s.platform.Get(ctx, string(c.ref.Kind), c.ref.Name)
	if err != nil {
		return nil, readError(err, c.ref)
	}
	names, err := dynamic.ShardNames(stored.Value)
	if err != nil {
		return nil, platformError(err, c.ref)
	}
	return names, nil
}

func (s *Server) putShard(ctx context.Context, shard objects.Object) error {
	var last error
	for range maxWriteAttempts {
		_, last = s.platform.Create(ctx, dynamic.KindShard, shard.Name, shard.Value)
		if objects.KindOf(last) == objects.Conflict {
			last = s.rewriteShard(ctx, shard)
		}
		if last == nil {
			return nil
		}
		if !waitToRetry(ctx) {
			break
		}
	}
	e := readError(last, refOf(shard))
	e.Problem.Remedy = "apply the object again; the version in force is unchanged"
	return e
}

// rewriteShard stores an existing shard again, which gives it a new version.
func (s *Server) rewriteShard(ctx context.Context, shard objects.Object) error {
	stored, err := s.platform.Get(ctx, dynamic.KindShard, shard.Name)
	if err != nil {
		return err
	}
	_, err = s.platform.Update(ctx, dynamic.KindShard, shard.Name, stored.Version, shard.Value)
	return err
}

// staleShards returns the stored shards that named lists and that aren't among shards.
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
			return nil, readError(err, refOf(objects.Object{Kind: dynamic.KindShard, Name: name}))
		}
		stale = append(stale, stored)
	}
	return stale, nil
}

// removeShards deletes shards that nothing refers to. Failures are only counted, because a
// leftover shard does no harm beyond the space it takes.
func (s *Server) removeShards(ctx context.Context, stale []objects.Object) {
	for _, shard := range stale {
		if _, err := s.platform.Delete(ctx, dynamic.KindShard, shard.Name, shard.Version); err != nil {
			s.scope.Counter("operator_shards_left").Inc(1)
		}
	}
}
