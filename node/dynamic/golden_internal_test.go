package dynamic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/node/runtime"
	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/config"
	"heatherlock/steering/routing"
)

// keeper is a fake platform that records the last write as text and returns a fixed value.
type keeper struct {
	objects.API
	written string
	value   json.RawMessage
	err     error
}

func (s *keeper) Create(_ context.Context, kind, name string, value json.RawMessage) (objects.Object, error) {
	s.written = fmt.Sprintf("create %s %s\n%s\n", kind, name, value)
	return objects.Object{Version: 31}, nil
}

func (s *keeper) Update(_ context.Context, kind, name string, version int64, value json.RawMessage) (objects.Object, error) {
	s.written = fmt.Sprintf("update %s %s %d\n%s\n", kind, name, version, value)
	return objects.Object{Version: version + 1}, nil
}

func (s *keeper) Get(_ context.Context, kind, name string) (objects.Object, error) {
	return objects.Object{Kind: kind, Name: name, Version: 41, Value: s.value}, s.err
}

func (s *keeper) List(_ context.Context, kinds ...string) ([]objects.Object, int64, error) {
	return []objects.Object{{Kind: kinds[0], Value: s.value}}, 42, s.err
}

// alone is the membership of an entry VM that knows no other members.
type alone struct{ seam.Members }

func (alone) Self() seam.Member {
	return seam.Member{VM: "vm-1", Incarnation: "i1", Zone: "norte-a", Region: "norte"}
}

func spreadOn(t *testing.T, platform objects.API) *Syncer {
	t.Helper()
	s, err := New(Config{Platform: platform, Members: alone{}, Peer: func(string) peerpb.Peer { return nil }})
	assert.NilError(t, err)
	return s
}

// valueIn returns the stored value, the second line, of a golden file that records a write.
func valueIn(t *testing.T, name string) json.RawMessage {
	t.Helper()
	_, value, found := bytes.Cut(golden.Get(t, name), []byte("\n"))
	assert.Assert(t, found)
	return bytes.TrimSpace(value)
}

// Guards against a lease that entry VMs of another version decode differently: a zone would have two
// readers, or none.
func TestGoldenLease(t *testing.T) {
	record := config.Record{Holder: "vm-2", Incarnation: "i2", Epoch: 11, Beat: 12}
	platform := &keeper{}
	s := spreadOn(t, platform)
	s.writeLease(t.Context(), config.Action{Step: config.Write, Record: record})
	golden.Assert(t, platform.written, "golden/lease-created.txt")
	s.writeLease(t.Context(), config.Action{Step: config.Write, Record: record, Version: 21})
	golden.Assert(t, platform.written, "golden/lease-updated.txt")
	platform.value = valueIn(t, "golden/lease-updated.txt")
	var got config.Record
	assert.NilError(t, json.Unmarshal(platform.value, &got))
	assert.DeepEqual(t, got, record)
	s.readLease(t.Context())
	assert.Equal(t, s.lease.holder(), steering.VM("vm-2"))
}

// Guards against a zone status that is only partly decoded, so that operators see an incomplete
// status, and against one that a reader with an older epoch overwrites.
func TestGoldenZoneStatus(t *testing.T) {
	full := runtime.ZoneStatus{Zone: "norte-a", Region: "norte", Writer: "vm-1", Epoch: 11, WrittenAt: time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC), ConfigVersion: 12,
		Members:  []runtime.MemberStatus{{VM: "vm-2", State: "live", ConfigVersion: 13, InFlight: 14, AgeMs: 15}},
		Pools:    []runtime.PoolStatus{{Place: "norte-1", Service: "tickets", Slots: 16, InFlight: 17, Queued: 18, AgeMs: 19}},
		Draining: []runtime.DrainStatus{{Target: "t1", InFlight: 20}},
		Caps:     []runtime.CapStatus{{Cap: "limit", Permits: 21, InUse: 22}}}
	for name, status := range map[string]runtime.ZoneStatus{"full": full, "empty": {Zone: "sur-a"}} {
		t.Run(name, func(t *testing.T) {
			file := "golden/zone-status-" + name + ".txt"
			platform := &keeper{err: &objects.Error{Kind: objects.NotFound}}
			w := &statusWriter{spread: spreadOn(t, platform)}
			assert.NilError(t, w.store(t.Context(), status))
			golden.Assert(t, platform.written, file)
			platform.value, platform.err = valueIn(t, file), nil
			got, err := ZoneStatuses(t.Context(), platform)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, []runtime.ZoneStatus{status})
			assert.Assert(t, w.read(t.Context(), string(status.Zone), status.Epoch-1) != nil, "a reader with an older epoch must be rejected")
		})
	}
}

// Guards against shards that entry VMs of another version cannot join, so that their callers would
// have no home place. The compressed bytes are decoded and not compared, because another release of
// zstd may compress them differently. The names of shards contain hashes of their content.
func TestGoldenShards(t *testing.T) {
	whole := &oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: "clients", ChangedBy: oas.NewOptString("ana"), WriteId: oas.NewOptString("w-1")}}
	for n := range 5 {
		whole.Spec.Blocks = append(whole.Spec.Blocks, oas.ClientBlock{Prefix: fmt.Sprintf("192.0.%d.0/24", n), Place: fmt.Sprint("norte-", n)})
	}
	small, err := SplitBlocks(whole)
	assert.NilError(t, err)
	assert.Equal(t, len(small.Shards), 0)
	golden.Assert(t, string(small.Manifest)+"\n", "golden/blocks-whole.json")

	split, err := sharding{whole: 10, meanBlocks: 1 << 40, maxBlocks: 2}.split(whole)
	assert.NilError(t, err)
	golden.Assert(t, string(split.Manifest)+"\n", "golden/blocks-manifest.json")
	names := ""
	for n, shard := range split.Shards {
		names += shard.Kind + " " + shard.Name + "\n"
		var packed shardValue
		assert.NilError(t, json.Unmarshal(shard.Value, &packed))
		plain, err := decoder.DecodeAll(packed.Zstd, nil)
		assert.NilError(t, err)
		golden.Assert(t, string(plain)+"\n", fmt.Sprintf("golden/shard-%d-unpacked.json", n))
		if golden.FlagUpdate() {
			golden.Assert(t, string(shard.Value)+"\n", fmt.Sprintf("golden/shard-%d.json", n))
		}
	}
	golden.Assert(t, names, "golden/shard-names.txt")

	for _, file := range []string{"blocks-whole.json", "blocks-manifest.json"} {
		asked := 0
		got, err := JoinBlocks(golden.Get(t, "golden/"+file), func(name string) (json.RawMessage, bool) {
			value := golden.Get(t, fmt.Sprintf("golden/shard-%d.json", asked))
			assert.Equal(t, name, split.Shards[asked].Name)
			asked++
			return value, true
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, whole)
	}
}

// Guards against a field of a stored object that is lost when the object is compiled into a
// snapshot. The objects are those in the golden files of packages check, shiftdriver and
// capshare.
func TestGoldenCompiled(t *testing.T) {
	parts, err := check.Split(bytes.NewReader(golden.Get(t, "../../../api/check/testdata/golden/objects.json")))
	assert.NilError(t, err)
	var all []config.Object
	for n, part := range parts {
		object, problems := check.Decode(part)
		assert.Equal(t, len(problems), 0, "%v", problems)
		ref := check.RefOf(object)
		all = append(all, config.Object{ID: config.ID{Kind: string(ref.Kind), Name: ref.Name}, Version: int64(n + 1), Value: part})
	}
	all = append(all,
		config.Object{ID: config.ID{Kind: "ShiftProgress", Name: "move"}, Version: 31, Value: golden.Get(t, "../../shiftdriver/testdata/golden/progress-full.json")},
		config.Object{ID: config.ID{Kind: "CapSeats", Name: "limit"}, Version: 32, Value: valueIn(t, "../../capshare/testdata/golden/seats-full.txt")})
	set, _ := new(config.Set).ApplyList(all, 40)
	compiled := compile(set, nil, nil)
	assert.Equal(t, len(compiled.problems), 0, "%v", compiled.problems)
	s := compiled.snapshot

	tickets := &routing.Service{Name: "tickets", Version: 1, Hosts: []string{"tickets.example", "t.example"}, Criticality: routing.Critical, Timeout: 12 * time.Second,
		MaxBodyBytes: 13000, NonIdempotent: []string{"POST", "PUT"}, RetryPercent: 14, HedgeAfter: 150 * time.Millisecond}
	first := routing.Target{Name: "t1", Service: "tickets", Place: "norte-1", Address: "10.0.1.1:80", Slots: 17, MaxConnections: 18}
	second := routing.Target{Name: "t2", Service: "tickets", Place: "sur-1", Address: "10.0.2.1:80", Slots: 19, MaxConnections: 400} // the default
	assert.Equal(t, s.Version, int64(40))
	assert.DeepEqual(t, s.Services, map[steering.Service]*routing.Service{"tickets": tickets})
	assert.DeepEqual(t, s.ByHost, map[string]*routing.Service{"tickets.example": tickets, "t.example": tickets})
	assert.DeepEqual(t, s.Targets, map[steering.Target]*routing.Target{"t1": &first, "t2": &second})
	assert.DeepEqual(t, s.Places, map[steering.Place]*routing.Place{
		"norte-1": {Name: "norte-1", Version: 2, Region: "norte", Zone: "norte-a", LinkInFlight: 16, Targets: []routing.Target{first}},
		"sur-1":   {Name: "sur-1", Version: 3, Region: "sur", Zone: "sur-a", Targets: []routing.Target{second}}})
	home, found := s.Blocks.Lookup(netip.MustParseAddr("192.0.2.7"))
	assert.Assert(t, found && home == "norte-1", "%q", home)
	assert.DeepEqual(t, s.Shifts, map[string]*routing.Shift{"move": {Name: "move", Version: 5, Service: "tickets", Route: routing.Route{From: "norte", To: "sur-1"},
		From: []steering.Place{"norte-1"}, To: []steering.Place{"sur-1"}, Percent: 60, Step: 20, Every: 21 * time.Second, Moved: 40}})
	assert.DeepEqual(t, s.Caps, map[string]*routing.Cap{"limit": {Name: "limit", Version: 6, Shift: "move", Requests: 22, Window: 2300 * time.Millisecond}})
	assert.DeepEqual(t, s.Stops, map[string]*routing.Stop{"stop": {Name: "stop", Version: 7, Kind: routing.StopZone, Subject: "sur-a",
		At: time.Date(2026, 2, 3, 4, 5, 6, 0, time.UTC), Deadline: time.Date(2026, 2, 3, 5, 6, 7, 0, time.UTC), AbortAtDeadline: true}})
	assert.DeepEqual(t, s.Progress, map[string]*routing.ShiftProgress{"move": {Version: 31, ShiftVersion: 11, Service: "tickets", Route: routing.Route{From: "norte", To: "sur-1"},
		Step: 20, EverySeconds: 21, Moved: 40, State: "held", HeldBy: "sur-1 is busy", WaitsForTurn: true, RemainingSeconds: 90,
		Since: time.Date(2026, 1, 2, 2, 4, 5, 678000000, time.UTC), Forward: true, Driver: "sur-a-1", Epoch: 51}})
	assert.DeepEqual(t, s.Seats, map[string]*routing.CapSeats{"limit": {Version: 32, CapVersion: 11, Requests: 12, WindowMs: 1300,
		Seats: []routing.CapSeat{{VM: "vm-1", Incarnation: "i1", Permits: 5}, {VM: "vm-2", Incarnation: "i2", Permits: 7}}}})
}

// Guards against a renamed kind: objects stored under the old name would not be found.
func TestGoldenKinds(t *testing.T) {
	assert.DeepEqual(t, SyncedKinds(), []string{"Service", "Place", "ClientBlocks", "Shift", "Cap", "PlannedStop", "ClientBlocksShard", "ShiftProgress", "CapSeats"})
	assert.Equal(t, KindLease, "Lease")
	assert.Equal(t, runtime.KindZoneStatus, "ZoneStatus")
}
