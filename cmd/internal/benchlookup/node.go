package benchlookup

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/node/dynamic"
	"heatherlock/node/lookups"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering/routing"
)

// objectsOfBlocks is the number of ClientBlocks objects that the blocks are
// declared in; one object must fit an operator's request.
const objectsOfBlocks = 10

// changeTimeout bounds the wait for a version to be in force.
const changeTimeout = time.Minute

// NodeResult is the whole path in one entry VM: platform, sets, compile, plan.
type NodeResult struct {
	// StartMs is the time from an empty process to the first snapshot.
	StartMs float64 `json:"startMs"`
	// LiveMB is the memory of everything a node keeps for look-ups: stored
	// objects, table and plan.
	LiveMB float64 `json:"liveMB"`
	// StoredMB is the part of it that is the stored objects.
	StoredMB float64 `json:"storedObjectsMB"`
	// StartPeakMB is the most memory taken while starting, garbage included,
	// under a bound of boundMB.
	StartPeakMB      float64 `json:"startPeakMB"`
	NsPerLookup      float64 `json:"nsPerLookup"`
	LookupsPerSecond float64 `json:"lookupsPerSecondPerCore"`
	AllocsPerLookup  float64 `json:"allocsPerLookup"`
	// SmallChangeMs is the time from the platform's acceptance of a change to
	// a Service until answers are made from it, the median of smallChanges.
	// Compiling and planning run on one core and take nearly all of it.
	SmallChangeMs float64 `json:"smallChangeMs"`
	// OneBlock and AllBlocks are changes while look-ups go on.
	OneBlock  ChangeResult `json:"oneBlockChanged"`
	AllBlocks ChangeResult `json:"allBlocksChanged"`
}

// ChangeResult is one change of configuration under look-ups.
type ChangeResult struct {
	// Ms is the time from the first write to the platform to the answers made
	// from the last one.
	Ms float64 `json:"ms"`
	// PeakMB is the most memory taken meanwhile, garbage included, in a second
	// run of the change under a bound of boundMB. BoundedMs is the time of
	// that run: collections cost more under the bound.
	PeakMB    float64 `json:"peakMB"`
	BoundedMs float64 `json:"boundedMs"`
	// Bytes are the changed objects as they travel to each node.
	Bytes int `json:"bytes"`
	// LookupP50Us to LookupMaxUs are the times of single look-ups on one core
	// meanwhile.
	LookupP50Us  float64 `json:"lookupP50Us"`
	LookupP999Us float64 `json:"lookupP999Us"`
	LookupMaxUs  float64 `json:"lookupMaxUs"`
}

// rig is one entry VM's configuration and look-ups on the stand-in platform.
type rig struct {
	world    *world
	platform *standin.Store
	api      objects.API
	spread   *dynamic.Syncer
	lookups  *lookups.Lookups
	version  map[string]int64           // of the ClientBlocks objects
	shards   map[string]map[string]bool // of the ClientBlocks objects
	stop     context.CancelFunc
	done     chan error
}

func newRig(ctx context.Context, w *world) (*rig, error) {
	store := standin.NewStore(standin.Options{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	r := &rig{world: w, platform: store, api: store.As("operator", "operator"), version: map[string]int64{}, shards: map[string]map[string]bool{}}
	return r, r.declare(ctx)
}

// start begins the entry VM anew and waits until it answers.
func (r *rig) start(ctx context.Context) error {
	if r.stop != nil {
		r.close()
	}
	var err error
	r.spread, err = dynamic.New(dynamic.Config{
		Platform: r.platform.As("vm-000", "zone-00"),
		Members:  view{r.world.members[:1]},
		Peer:     func(string) peerpb.Peer { return nil },
	})
	if err != nil {
		return err
	}
	r.lookups, err = lookups.New(lookups.Config{Configs: r.spread, Members: view{r.world.members}})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	done := make(chan error, 2)
	go func() { done <- r.spread.Run(running) }()
	go func() { done <- r.lookups.Run(running) }()
	r.stop, r.done = stop, done
	return r.await(ctx, r.newest())
}

func (r *rig) close() {
	r.stop()
	<-r.done
	<-r.done
	r.spread, r.lookups = nil, nil
}

// declare writes the made-up deployment to the platform.
func (r *rig) declare(ctx context.Context) error {
	for _, service := range services {
		value := fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{}}`, service)
		if _, err := r.api.Create(ctx, dynamic.KindService, string(service), json.RawMessage(value)); err != nil {
			return err
		}
	}
	for i := range r.world.options.Places {
		if err := r.declarePlace(ctx, i); err != nil {
			return err
		}
	}
	for part := range objectsOfBlocks {
		w, err := r.prepare(part, r.world.blocks)
		if err != nil {
			return err
		}
		if _, err := r.store(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) declarePlace(ctx context.Context, i int) error {
	place := oas.Place{Kind: "Place", Metadata: oas.Metadata{Name: oas.ObjectName(r.world.place(i))}}
	place.Spec.Zone, place.Spec.Region = string(r.world.zone(i)), string(r.world.region(i))
	for n, service := range services {
		place.Spec.Targets = append(place.Spec.Targets, oas.TargetSpec{
			Name: fmt.Sprintf("t-%03d-%d", i, n), Service: string(service), Address: fmt.Sprintf("10.200.%d.%d:80", i, n), Slots: 4,
		})
	}
	value, err := place.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode place")
	}
	_, err = r.api.Create(ctx, dynamic.KindPlace, string(place.Metadata.Name), value)
	return err
}

// blockWrite is a ClientBlocks object ready to be stored.
type blockWrite struct {
	name  string
	split dynamic.Split
}

// prepare makes one of the ClientBlocks objects.
func (r *rig) prepare(part int, blocks []routing.Block) (blockWrite, error) {
	w := blockWrite{name: fmt.Sprintf("clients-%d", part)}
	object := &oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: oas.ObjectName(w.name)}}
	for i := part; i < len(blocks); i += objectsOfBlocks {
		object.Spec.Blocks = append(object.Spec.Blocks, oas.ClientBlock{Prefix: blocks[i].Prefix.String(), Place: string(blocks[i].Place)})
	}
	var err error
	w.split, err = dynamic.SplitBlocks(object)
	return w, err
}

// store writes an object as an operator's request does: fresh shards, the
// manifest, then the removal of shards that it no longer names. It returns the
// bytes of what changed.
func (r *rig) store(ctx context.Context, w blockWrite) (int, error) {
	bytes := len(w.split.Manifest)
	named := map[string]bool{}
	for _, shard := range w.split.Shards {
		named[shard.Name] = true
		if r.shards[w.name][shard.Name] {
			continue
		}
		if _, err := r.api.Create(ctx, shard.Kind, shard.Name, shard.Value); err != nil {
			return 0, err
		}
		bytes += len(shard.Value)
	}
	if err := r.storeManifest(ctx, w); err != nil {
		return 0, err
	}
	for name := range r.shards[w.name] {
		if !named[name] {
			if err := r.removeShard(ctx, name); err != nil {
				return 0, err
			}
		}
	}
	r.shards[w.name] = named
	return bytes, nil
}

func (r *rig) storeManifest(ctx context.Context, w blockWrite) error {
	var stored objects.Object
	var err error
	if version := r.version[w.name]; version == 0 {
		stored, err = r.api.Create(ctx, dynamic.KindClientBlocks, w.name, w.split.Manifest)
	} else {
		stored, err = r.api.Update(ctx, dynamic.KindClientBlocks, w.name, version, w.split.Manifest)
	}
	r.version[w.name] = stored.Version
	return err
}

func (r *rig) removeShard(ctx context.Context, name string) error {
	shard, err := r.api.Get(ctx, dynamic.KindShard, name)
	if err != nil {
		return err
	}
	_, err = r.api.Delete(ctx, dynamic.KindShard, name, shard.Version)
	return err
}

// await waits until answers are made from the version.
func (r *rig) await(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		answer, err := r.lookups.Lookup(r.world.clients[0], services[0])
		if err == nil && answer.Version >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("version %d is not in force after %s", version, changeTimeout)
		case <-time.After(time.Millisecond):
		}
	}
}

// newest returns the highest version of the ClientBlocks objects.
func (r *rig) newest() int64 {
	var newest int64
	for _, version := range r.version {
		newest = max(newest, version)
	}
	return newest
}

// node measures the whole path in one entry VM. Times are taken in a first run
// of each step and memory in a second, under a bound.
func (w *world) node(ctx context.Context) (NodeResult, *rig, error) {
	var out NodeResult
	r, err := newRig(ctx, w)
	if err != nil {
		return out, nil, err
	}
	begun := time.Now()
	if err := r.start(ctx); err != nil {
		return out, nil, err
	}
	out.StartMs = milliseconds(time.Since(begun))
	r.close()
	r.stop = nil
	base := liveBytes()
	peak := bounded(boundMB)
	if err := r.start(ctx); err != nil {
		return out, nil, err
	}
	out.StartPeakMB = peak()
	out.StoredMB = megabytes(r.storedBytes())
	// The node shares the stored values with the stand-in in this process; in
	// a process of its own it holds them itself.
	out.LiveMB = megabytes(liveBytes()-base) + out.StoredMB
	out.NsPerLookup, out.AllocsPerLookup = r.timeChoices()
	out.LookupsPerSecond = 1e9 / out.NsPerLookup
	if out.SmallChangeMs, err = r.smallChange(ctx); err != nil {
		return out, nil, err
	}
	if out.OneBlock, err = r.change(ctx, out.LiveMB, r.oneBlock); err != nil {
		return out, nil, err
	}
	out.AllBlocks, err = r.change(ctx, out.LiveMB, r.allBlocks)
	return out, r, err
}

// storedBytes sums the values that the node keeps in order to pass them on.
func (r *rig) storedBytes() uint64 {
	var sum uint64
	for _, shards := range r.shards {
		for name := range shards {
			if o, ok := r.spread.Object(dynamic.KindShard, name); ok {
				sum += uint64(len(o.Value))
			}
		}
	}
	return sum
}

// timeChoices runs whole look-ups on one core for a round.
func (r *rig) timeChoices() (nsEach, allocsEach float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	done := 0
	begun := time.Now()
	for time.Since(begun) < r.world.options.Round {
		for i, client := range r.world.clients {
			_, _ = r.lookups.Lookup(client, services[i%len(services)])
		}
		done += len(r.world.clients)
	}
	took := time.Since(begun)
	runtime.ReadMemStats(&after)
	return float64(took.Nanoseconds()) / float64(done), float64(after.Mallocs-before.Mallocs) / float64(done)
}

// oneBlock adds a block, or takes it out again in the second run.
func (r *rig) oneBlock(run int) ([]blockWrite, error) {
	blocks := r.world.blocks
	if run == 0 {
		added := routing.Block{Prefix: netip.MustParsePrefix("223.255.255.0/25"), Place: r.world.place(0)}
		blocks = append(blocks[:len(blocks):len(blocks)], added)
	}
	w, err := r.prepare(len(r.world.blocks)%objectsOfBlocks, blocks)
	return []blockWrite{w}, err
}

// allBlocks gives every block another place.
func (r *rig) allBlocks(run int) ([]blockWrite, error) {
	moved := make([]routing.Block, len(r.world.blocks))
	for i, block := range r.world.blocks {
		moved[i] = routing.Block{Prefix: block.Prefix, Place: r.world.place((i + run) % r.world.options.Places)}
	}
	var writes []blockWrite
	for part := range objectsOfBlocks {
		w, err := r.prepare(part, moved)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, nil
}

func (r *rig) storeAll(ctx context.Context, writes []blockWrite) (int, error) {
	total := 0
	for _, w := range writes {
		bytes, err := r.store(ctx, w)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, r.await(ctx, r.newest())
}

// smallChanges is the number of changes that the median is taken of.
const smallChanges = 11

// smallChange changes a Service again and again.
func (r *rig) smallChange(ctx context.Context) (float64, error) {
	var times []float64
	for i := range smallChanges {
		stored, err := r.api.Get(ctx, dynamic.KindService, string(services[0]))
		if err != nil {
			return 0, err
		}
		value := fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{"timeoutMs":%d}}`, services[0], 1000+i)
		begun := time.Now()
		stored, err = r.api.Update(ctx, stored.Kind, stored.Name, stored.Version, json.RawMessage(value))
		if err == nil {
			err = r.await(ctx, stored.Version)
		}
		if err != nil {
			return 0, err
		}
		times = append(times, milliseconds(time.Since(begun)))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

// change makes a change twice: once timed while look-ups go on, once for its
// memory. kept is what the node holds between changes, in megabytes.
func (r *rig) change(ctx context.Context, kept float64, prepare func(run int) ([]blockWrite, error)) (ChangeResult, error) {
	var out ChangeResult
	writes, err := prepare(0)
	if err != nil {
		return out, err
	}
	times := r.lookUpMeanwhile()
	begun := time.Now()
	if out.Bytes, err = r.storeAll(ctx, writes); err != nil {
		return out, err
	}
	out.Ms = milliseconds(time.Since(begun))
	h := times()
	out.LookupP50Us = float64(h.ValueAtQuantile(50)) / 1e3
	out.LookupP999Us = float64(h.ValueAtQuantile(99.9)) / 1e3
	out.LookupMaxUs = float64(h.Max()) / 1e3
	if writes, err = prepare(1); err != nil {
		return out, err
	}
	peak := bounded(boundMB - kept)
	begun = time.Now()
	_, err = r.storeAll(ctx, writes)
	out.BoundedMs = milliseconds(time.Since(begun))
	out.PeakMB = kept + peak()
	return out, err
}

// lookUpMeanwhile times single look-ups until the function it returns is called.
func (r *rig) lookUpMeanwhile() func() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; !stop.Load(); i++ {
			begun := time.Now()
			_, _ = r.lookups.Lookup(r.world.clients[i%len(r.world.clients)], services[i%len(services)])
			_ = h.RecordValue(time.Since(begun).Nanoseconds())
		}
	}()
	return func() *hdrhistogram.Histogram {
		stop.Store(true)
		<-done
		return h
	}
}
