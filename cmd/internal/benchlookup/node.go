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

// blockObjects is the number of ClientBlocks objects that the blocks are divided among, because each
// object has to fit in one request of an operator.
const blockObjects = 10

// changeTimeout limits the wait until lookups use a new configuration version.
const changeTimeout = time.Minute

// NodeResult is the result for the lookup subsystem of one entry VM: it reads objects from the
// platform, compiles them into a table and a routing plan, and answers lookups.
type NodeResult struct {
	// StartMs is the time from the start without any configuration until lookups use all of it.
	StartMs float64 `json:"startMs"`
	// LiveMB is the live memory of an entry VM for lookups: stored objects, table and plan.
	LiveMB float64 `json:"liveMB"`
	// StoredMB is the part of LiveMB that the stored objects take.
	StoredMB float64 `json:"storedObjectsMB"`
	// StartPeakMB is the peak memory during the start, including garbage, under a memory limit
	// of memoryLimitMB.
	StartPeakMB      float64 `json:"startPeakMB"`
	NsPerLookup      float64 `json:"nsPerLookup"`
	LookupsPerSecond float64 `json:"lookupsPerSecondPerCore"`
	AllocsPerLookup  float64 `json:"allocsPerLookup"`
	// SmallChangeMs is the time from the update of a Service object on the platform until lookups
	// use it, as the median of smallChanges updates. Compilation and planning run on one core and
	// take nearly all of this time.
	SmallChangeMs float64 `json:"smallChangeMs"`
	// OneBlock and AllBlocks are the results of changes to one block and to all blocks, made
	// while lookups run.
	OneBlock  ChangeResult `json:"oneBlockChanged"`
	AllBlocks ChangeResult `json:"allBlocksChanged"`
}

// ChangeResult is the result of one configuration change made while lookups run.
type ChangeResult struct {
	// Ms is the time from the first write to the platform until lookups use the last one.
	Ms float64 `json:"ms"`
	// PeakMB is the peak memory, including garbage, of a second run of the change under a memory
	// limit of memoryLimitMB. BoundedMs is the duration of that run, in which garbage collection costs
	// more because of the limit.
	PeakMB    float64 `json:"peakMB"`
	BoundedMs float64 `json:"boundedMs"`
	// Bytes is the total size of the changed objects, which every entry VM receives.
	Bytes int `json:"bytes"`
	// LookupP50Us, LookupP999Us and LookupMaxUs are latencies of single lookups that run on one
	// core during the change.
	LookupP50Us  float64 `json:"lookupP50Us"`
	LookupP999Us float64 `json:"lookupP999Us"`
	LookupMaxUs  float64 `json:"lookupMaxUs"`
}

// rig runs the configuration and lookup subsystems of one entry VM against the simulated platform.
type rig struct {
	deployment *deployment
	platform   *standin.Store
	api        objects.API
	configs    *dynamic.Syncer
	lookups    *lookups.Lookups
	version    map[string]int64           // version by name of the ClientBlocks object
	shards     map[string]map[string]bool // set of shard names by name of the ClientBlocks object
	stop       context.CancelFunc
	done       chan error
}

func newRig(ctx context.Context, d *deployment) (*rig, error) {
	store := standin.NewStore(standin.Options{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	r := &rig{deployment: d, platform: store, api: store.As("operator", "operator"), version: map[string]int64{}, shards: map[string]map[string]bool{}}
	return r, r.createDeployment(ctx)
}

// start starts the entry VM, stopping a previous one first, and waits until lookups use the newest
// configuration.
func (r *rig) start(ctx context.Context) error {
	if r.stop != nil {
		r.close()
	}
	var err error
	r.configs, err = dynamic.New(dynamic.Config{
		Platform: r.platform.As("vm-000", "zone-00"),
		Members:  memberView{r.deployment.members[:1]},
		Peer:     func(string) peerpb.Peer { return nil },
	})
	if err != nil {
		return err
	}
	r.lookups, err = lookups.New(lookups.Config{Configs: r.configs, Members: memberView{r.deployment.members}})
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 2)
	go func() { done <- r.configs.Run(runCtx) }()
	go func() { done <- r.lookups.Run(runCtx) }()
	r.stop, r.done = stop, done
	return r.waitForVersion(ctx, r.newestVersion())
}

func (r *rig) close() {
	r.stop()
	<-r.done
	<-r.done
	r.configs, r.lookups = nil, nil
}

// createDeployment stores the synthetic deployment on the platform.
func (r *rig) createDeployment(ctx context.Context) error {
	for _, service := range services {
		value := fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{}}`, service)
		if _, err := r.api.Create(ctx, dynamic.KindService, string(service), json.RawMessage(value)); err != nil {
			return err
		}
	}
	for i := range r.deployment.options.Places {
		if err := r.createPlace(ctx, i); err != nil {
			return err
		}
	}
	for index := range blockObjects {
		w, err := r.buildObject(index, r.deployment.blocks)
		if err != nil {
			return err
		}
		if _, err := r.writeObject(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) createPlace(ctx context.Context, i int) error {
	place := oas.Place{Kind: "Place", Metadata: oas.Metadata{Name: oas.ObjectName(r.deployment.place(i))}}
	place.Spec.Zone, place.Spec.Region = string(r.deployment.zone(i)), string(r.deployment.region(i))
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

// blockWrite is a ClientBlocks object, split into a manifest and shards for storage.
type blockWrite struct {
	name  string
	split dynamic.Split
}

// buildObject builds the ClientBlocks object with the given index from its share of the blocks.
func (r *rig) buildObject(index int, blocks []routing.Block) (blockWrite, error) {
	w := blockWrite{name: fmt.Sprintf("clients-%d", index)}
	object := &oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: oas.ObjectName(w.name)}}
	for i := index; i < len(blocks); i += blockObjects {
		object.Spec.Blocks = append(object.Spec.Blocks, oas.ClientBlock{Prefix: blocks[i].Prefix.String(), Place: string(blocks[i].Place)})
	}
	var err error
	w.split, err = dynamic.SplitBlocks(object)
	return w, err
}

// writeObject stores an object in the order that an operator's request uses: it creates the new
// shards, writes the manifest, and then deletes the shards that the manifest no longer names. It
// returns the size of the new shards and the manifest in bytes.
func (r *rig) writeObject(ctx context.Context, w blockWrite) (int, error) {
	bytes := len(w.split.Manifest)
	current := map[string]bool{}
	for _, shard := range w.split.Shards {
		current[shard.Name] = true
		if r.shards[w.name][shard.Name] {
			continue
		}
		if _, err := r.api.Create(ctx, shard.Kind, shard.Name, shard.Value); err != nil {
			return 0, err
		}
		bytes += len(shard.Value)
	}
	if err := r.writeManifest(ctx, w); err != nil {
		return 0, err
	}
	for name := range r.shards[w.name] {
		if !current[name] {
			if err := r.deleteShard(ctx, name); err != nil {
				return 0, err
			}
		}
	}
	r.shards[w.name] = current
	return bytes, nil
}

func (r *rig) writeManifest(ctx context.Context, w blockWrite) error {
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

func (r *rig) deleteShard(ctx context.Context, name string) error {
	shard, err := r.api.Get(ctx, dynamic.KindShard, name)
	if err != nil {
		return err
	}
	_, err = r.api.Delete(ctx, dynamic.KindShard, name, shard.Version)
	return err
}

// waitForVersion waits until lookups use the given version or a later one, for at most
// changeTimeout.
func (r *rig) waitForVersion(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		result, err := r.lookups.Lookup(r.deployment.clients[0], services[0])
		if err == nil && result.Version >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("version %d is not in force after %s", version, changeTimeout)
		case <-time.After(time.Millisecond):
		}
	}
}

// newestVersion returns the highest version of the ClientBlocks objects.
func (r *rig) newestVersion() int64 {
	var newestVersion int64
	for _, version := range r.version {
		newestVersion = max(newestVersion, version)
	}
	return newestVersion
}

// measureNode measures the lookup subsystem of one entry VM. The first run of each step measures
// time, and a second run under a memory limit measures memory. The caller closes the returned rig.
func (d *deployment) measureNode(ctx context.Context) (NodeResult, *rig, error) {
	var out NodeResult
	r, err := newRig(ctx, d)
	if err != nil {
		return out, nil, err
	}
	startedAt := time.Now()
	if err := r.start(ctx); err != nil {
		return out, nil, err
	}
	out.StartMs = milliseconds(time.Since(startedAt))
	r.close()
	r.stop = nil
	base := liveBytes()
	peak := limitMemory(memoryLimitMB)
	if err := r.start(ctx); err != nil {
		return out, nil, err
	}
	out.StartPeakMB = peak()
	out.StoredMB = megabytes(r.storedBytes())
	// In this process the node shares the stored values with the simulated platform, so they are
	// not part of the growth. In a process of its own the node holds a copy of them.
	out.LiveMB = megabytes(liveBytes()-base) + out.StoredMB
	out.NsPerLookup, out.AllocsPerLookup = r.timeFullLookups()
	out.LookupsPerSecond = 1e9 / out.NsPerLookup
	if out.SmallChangeMs, err = r.measureSmallChange(ctx); err != nil {
		return out, nil, err
	}
	if out.OneBlock, err = r.measureChange(ctx, out.LiveMB, r.changeOneBlock); err != nil {
		return out, nil, err
	}
	out.AllBlocks, err = r.measureChange(ctx, out.LiveMB, r.moveAllBlocks)
	return out, r, err
}

// storedBytes returns the total size of the shards that the node keeps to send them to its peers.
func (r *rig) storedBytes() uint64 {
	var sum uint64
	for _, shards := range r.shards {
		for name := range shards {
			if o, ok := r.configs.Object(dynamic.KindShard, name); ok {
				sum += uint64(len(o.Value))
			}
		}
	}
	return sum
}

// timeFullLookups runs complete lookups on one core for one round. It returns the time and the number
// of allocations per lookup.
func (r *rig) timeFullLookups() (nsEach, allocsEach float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	done := 0
	startedAt := time.Now()
	for time.Since(startedAt) < r.deployment.options.Round {
		for i, client := range r.deployment.clients {
			_, _ = r.lookups.Lookup(client, services[i%len(services)])
		}
		done += len(r.deployment.clients)
	}
	elapsed := time.Since(startedAt)
	runtime.ReadMemStats(&after)
	return float64(elapsed.Nanoseconds()) / float64(done), float64(after.Mallocs-before.Mallocs) / float64(done)
}

// changeOneBlock adds a block in the first run and removes it in the second.
func (r *rig) changeOneBlock(run int) ([]blockWrite, error) {
	blocks := r.deployment.blocks
	if run == 0 {
		added := routing.Block{Prefix: netip.MustParsePrefix("223.255.255.0/25"), Place: r.deployment.place(0)}
		blocks = append(blocks[:len(blocks):len(blocks)], added)
	}
	w, err := r.buildObject(len(r.deployment.blocks)%blockObjects, blocks)
	return []blockWrite{w}, err
}

// moveAllBlocks assigns the blocks to places anew, shifted by one place between the runs.
func (r *rig) moveAllBlocks(run int) ([]blockWrite, error) {
	moved := make([]routing.Block, len(r.deployment.blocks))
	for i, block := range r.deployment.blocks {
		moved[i] = routing.Block{Prefix: block.Prefix, Place: r.deployment.place((i + run) % r.deployment.options.Places)}
	}
	var writes []blockWrite
	for index := range blockObjects {
		w, err := r.buildObject(index, moved)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, nil
}

func (r *rig) writeAll(ctx context.Context, writes []blockWrite) (int, error) {
	total := 0
	for _, w := range writes {
		bytes, err := r.writeObject(ctx, w)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, r.waitForVersion(ctx, r.newestVersion())
}

// smallChanges is the number of changes that [NodeResult.SmallChangeMs] is the median of.
const smallChanges = 11

// measureSmallChange updates a Service object smallChanges times and returns the median time in
// milliseconds until lookups use the update.
func (r *rig) measureSmallChange(ctx context.Context) (float64, error) {
	var times []float64
	for i := range smallChanges {
		stored, err := r.api.Get(ctx, dynamic.KindService, string(services[0]))
		if err != nil {
			return 0, err
		}
		value := fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{"timeoutMs":%d}}`, services[0], 1000+i)
		startedAt := time.Now()
		stored, err = r.api.Update(ctx, stored.Kind, stored.Name, stored.Version, json.RawMessage(value))
		if err == nil {
			err = r.waitForVersion(ctx, stored.Version)
		}
		if err != nil {
			return 0, err
		}
		times = append(times, milliseconds(time.Since(startedAt)))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

// measureChange makes a change twice: first during lookups to measure time, then under a memory
// limit to measure memory. liveMB is the memory that the node holds between changes in megabytes.
func (r *rig) measureChange(ctx context.Context, liveMB float64, prepare func(run int) ([]blockWrite, error)) (ChangeResult, error) {
	var out ChangeResult
	writes, err := prepare(0)
	if err != nil {
		return out, err
	}
	stopLookups := r.lookUpInBackground()
	startedAt := time.Now()
	if out.Bytes, err = r.writeAll(ctx, writes); err != nil {
		return out, err
	}
	out.Ms = milliseconds(time.Since(startedAt))
	h := stopLookups()
	out.LookupP50Us = float64(h.ValueAtQuantile(50)) / 1e3
	out.LookupP999Us = float64(h.ValueAtQuantile(99.9)) / 1e3
	out.LookupMaxUs = float64(h.Max()) / 1e3
	if writes, err = prepare(1); err != nil {
		return out, err
	}
	peak := limitMemory(memoryLimitMB - liveMB)
	startedAt = time.Now()
	_, err = r.writeAll(ctx, writes)
	out.BoundedMs = milliseconds(time.Since(startedAt))
	out.PeakMB = liveMB + peak()
	return out, err
}

// lookUpInBackground measures single lookups in the background until the returned function is called,
// which returns their latencies in nanoseconds.
func (r *rig) lookUpInBackground() func() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; !stop.Load(); i++ {
			startedAt := time.Now()
			_, _ = r.lookups.Lookup(r.deployment.clients[i%len(r.deployment.clients)], services[i%len(services)])
			_ = h.RecordValue(time.Since(startedAt).Nanoseconds())
		}
	}()
	return func() *hdrhistogram.Histogram {
		stop.Store(true)
		<-done
		return h
	}
}
