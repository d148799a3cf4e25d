package dynamic

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"

	"heatherlock/api/oas"
	"heatherlock/objects"
)

// maxShardBytes limits the uncompressed size of a shard.
const maxShardBytes = 8 << 20

// sharding sets how a ClientBlocks object is split into shards.
type sharding struct {
	// whole is the size, in bytes, up to which a value is stored unsplit.
	whole int
	// A shard ends after a block whose hash is a multiple of meanBlocks, or
	// after maxBlocks blocks. Boundaries that depend on the content of the
	// blocks leave the other shards unchanged when a block is added or removed.
	meanBlocks uint64
	maxBlocks  int
}

var defaultSharding = sharding{whole: 256 << 10, meanBlocks: 4096, maxBlocks: 16384}

// manifest is the part of the value of a split ClientBlocks object that lists
// its shards.
type manifest struct {
	Blocks int      `json:"blocks"`
	Shards []string `json:"shards"`
}

// shardValue is the stored value of a shard.
type shardValue struct {
	Zstd []byte `json:"zstd"` // an oas.ClientBlocksSpec as JSON, compressed
}

// Split is a ClientBlocks object in the form in which the platform stores it.
type Split struct {
	// Manifest is the value of the ClientBlocks object. Write it after all of
	// its shards, and delete shards that it no longer lists only after writing
	// it, so that a reader never sees a manifest whose shards are missing.
	Manifest json.RawMessage
	// Shards are the shards to create. A shard whose name already exists need
	// not be written, because the name contains a hash of the shard's blocks.
	// Shards is empty for an object that is small enough to be stored unsplit.
	Shards []objects.Object
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxShardBytes))
)

// SplitBlocks returns the form in which a ClientBlocks object is stored: unsplit
// if its JSON has at most 256 KiB, else as a manifest and its shards.
func SplitBlocks(in *oas.ClientBlocks) (Split, error) { return defaultSharding.split(in) }

func (s sharding) split(in *oas.ClientBlocks) (Split, error) {
	whole, err := in.MarshalJSON()
	if err != nil {
		return Split{}, errors.Wrap(err, "dynamic: encode client blocks")
	}
	if len(whole) <= s.whole {
		return Split{Manifest: whole}, nil
	}
	blocks := slices.Clone(in.Spec.Blocks)
	slices.SortFunc(blocks, func(a, b oas.ClientBlock) int { return strings.Compare(a.Prefix, b.Prefix) })
	out := Split{}
	m := manifest{Blocks: len(blocks)}
	for _, part := range s.partition(blocks) {
		shard, err := newShard(string(in.Metadata.Name), part)
		if err != nil {
			return Split{}, err
		}
		out.Shards = append(out.Shards, shard)
		m.Shards = append(m.Shards, shard.Name)
	}
	out.Manifest, err = encodeManifest(in, m)
	return out, err
}

// partition divides the sorted blocks into the blocks of each shard.
func (s sharding) partition(blocks []oas.ClientBlock) [][]oas.ClientBlock {
	var parts [][]oas.ClientBlock
	start := 0
	for i := range blocks {
		n := i + 1 - start
		if n >= s.maxBlocks || xxhash.Sum64String(blocks[i].Prefix)%s.meanBlocks == 0 {
			parts = append(parts, blocks[start:i+1])
			start = i + 1
		}
	}
	if start < len(blocks) {
		parts = append(parts, blocks[start:])
	}
	return parts
}

func newShard(object string, blocks []oas.ClientBlock) (objects.Object, error) {
	spec := oas.ClientBlocksSpec{Blocks: blocks}
	plain, err := spec.MarshalJSON()
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "dynamic: encode shard")
	}
	value, err := json.Marshal(shardValue{Zstd: encoder.EncodeAll(plain, nil)})
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "dynamic: encode shard")
	}
	name := fmt.Sprintf("%s.%016x", object, xxhash.Sum64(plain))
	return objects.Object{Kind: KindShard, Name: name, Value: value}, nil
}

func encodeManifest(in *oas.ClientBlocks, m manifest) (json.RawMessage, error) {
	withoutBlocks := oas.ClientBlocks{Kind: in.Kind, Metadata: in.Metadata, Spec: oas.ClientBlocksSpec{Blocks: []oas.ClientBlock{}}}
	plain, err := withoutBlocks.MarshalJSON()
	if err != nil {
		return nil, errors.Wrap(err, "dynamic: encode manifest")
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(plain, &fields); err != nil {
		return nil, errors.Wrap(err, "dynamic: encode manifest")
	}
	if fields["manifest"], err = json.Marshal(m); err != nil {
		return nil, errors.Wrap(err, "dynamic: encode manifest")
	}
	return json.Marshal(fields)
}

// MissingShardError reports that a manifest lists a shard that is not stored.
type MissingShardError struct{ Shard string }

// Error implements error.
func (e *MissingShardError) Error() string {
	return fmt.Sprintf("dynamic: shard %s is missing; apply the ClientBlocks object again", e.Shard)
}

// ShardNames returns the names of the shards that a stored ClientBlocks value
// lists. It returns none if the object is not split.
func ShardNames(value json.RawMessage) ([]string, error) {
	var in struct {
		Manifest *manifest `json:"manifest"`
	}
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, errors.Wrap(err, "dynamic: read manifest")
	}
	if in.Manifest == nil {
		return nil, nil
	}
	return in.Manifest.Shards, nil
}

// JoinBlocks returns the complete ClientBlocks object for its stored value. The
// function shard returns the stored value of the shard of a name; if it finds
// none, JoinBlocks returns a *MissingShardError.
func JoinBlocks(value json.RawMessage, shard func(name string) (json.RawMessage, bool)) (*oas.ClientBlocks, error) {
	out := new(oas.ClientBlocks)
	if err := out.UnmarshalJSON(value); err != nil {
		return nil, errors.Wrap(err, "dynamic: read client blocks")
	}
	names, err := ShardNames(value)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		stored, ok := shard(name)
		if !ok {
			return nil, &MissingShardError{Shard: name}
		}
		blocks, err := shardBlocks(stored)
		if err != nil {
			return nil, err
		}
		out.Spec.Blocks = append(out.Spec.Blocks, blocks...)
	}
	return out, nil
}

func shardBlocks(value []byte) ([]oas.ClientBlock, error) {
	var in shardValue
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, errors.Wrap(err, "dynamic: read shard")
	}
	plain, err := decoder.DecodeAll(in.Zstd, nil)
	if err != nil {
		return nil, errors.Wrap(err, "dynamic: unpack shard")
	}
	var spec oas.ClientBlocksSpec
	if err := spec.UnmarshalJSON(plain); err != nil {
		return nil, errors.Wrap(err, "dynamic: read shard")
	}
	return spec.Blocks, nil
}
