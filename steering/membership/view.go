package membership

import (
	"time"

	"heatherlock/steering"
)

// Params sets the timeouts of a View. Fields that are not positive take the defaults.
type Params struct {
	// SuspectAfter is the time without heartbeats after which a member of the
	// observer's zone is suspect. It must be well above the time in which a heartbeat
	// is relayed through a zone.
	SuspectAfter time.Duration
	// ZoneSilentAfter is the time without reports after which the members of another
	// zone are suspect.
	ZoneSilentAfter time.Duration
	// CallFailureTTL is how long a failed call to a member of another zone counts
	// if the member is not called again.
	CallFailureTTL time.Duration
	// GoneAfter is the time without heartbeats, reports and successful calls after
	// which a member counts as gone.
	GoneAfter time.Duration
	// RemoveAfter is how long the entries of gone incarnations are kept, so that
	// delayed messages do not bring these back.
	RemoveAfter time.Duration
}

// Defaults of Params.
const (
	DefaultSuspectAfter    = 4 * time.Second
	DefaultZoneSilentAfter = 10 * time.Second
	DefaultCallFailureTTL  = 5 * time.Second
	DefaultGoneAfter       = 10 * time.Minute
	DefaultRemoveAfter     = 24 * time.Hour
)

// WithDefaults returns p with the defaults in the fields that are not positive.
func (p Params) WithDefaults() Params {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&p.SuspectAfter, DefaultSuspectAfter)
	def(&p.ZoneSilentAfter, DefaultZoneSilentAfter)
	def(&p.CallFailureTTL, DefaultCallFailureTTL)
	def(&p.GoneAfter, DefaultGoneAfter)
	def(&p.RemoveAfter, DefaultRemoveAfter)
	return p
}

// BucketCount is the number of buckets over which the VMs of a view are hashed.
const BucketCount = 64

// Buckets holds the digest of each bucket of a view.
type Buckets [BucketCount]uint32

// entry is the Fact of a VM with this observer's record of its reachability.
type entry struct {
	Fact
	id     ID
	digest uint64
	// learnedAt is when this observer learned of the incarnation. changedAt is when
	// the Fact last changed, apart from ConfigVersion, which heartbeats carry too.
	learnedAt time.Time
	changedAt time.Time
	// heartbeat is the number of the newest known heartbeat, and receivedAt is when it
	// arrived.
	heartbeat  uint32
	receivedAt time.Time
	// suspectedUntil is the number of the heartbeat that ends a suspicion relayed by
	// a peer: one more than the newest heartbeat at that time. Zero means none.
	suspectedUntil uint32
	// reportHeartbeat is the heartbeat number of the newest report by this member.
	reportHeartbeat uint32
	// lastSuccess and lastFailure are the times of the last successful and the last
	// failed call of this observer to the member.
	lastSuccess time.Time
	lastFailure time.Time
	// failures is the number of failed calls since the last successful one.
	failures int
	// lastListed is when the platform last listed the VM as live or leaving.
	lastListed time.Time
}

// View is the state of all VMs as one observer sees it. It is not safe for concurrent
// use.
type View struct {
	self    steering.VM
	life    IncarnationKey
	zone    steering.Zone
	params  Params
	entries map[steering.VM]*entry
	ids     map[ID]*entry
	reports map[steering.Zone]*report
	digest  uint64
	buckets [BucketCount]uint64
	// byName and byZone hold the entries sorted by VM name, of the whole view and of
	// each zone. They are nil after a change and are rebuilt when they are next used.
	byName []*entry
	byZone map[steering.Zone][]*entry
	// lastChange is the newest changedAt that an entry ever had.
	lastChange time.Time
}

// NewView returns a View that contains only the observer itself.
func NewView(self Fact, params Params, now time.Time) *View {
	v := &View{
		self: self.VM, life: self.IncarnationKey, zone: self.Location.Zone, params: params.WithDefaults(),
		entries: map[steering.VM]*entry{}, ids: map[ID]*entry{}, reports: map[steering.Zone]*report{},
	}
	v.Merge(self, now)
	return v
}

// Merge joins a Fact into the view and reports whether the view changed.
func (v *View) Merge(f Fact, now time.Time) bool {
	old, known := v.entries[f.VM]
	if !known {
		if f.Status == Gone {
			return false // there is no incarnation here that a tombstone has to keep out
		}
		v.insert(&entry{Fact: f, learnedAt: now, changedAt: now})
		return true
	}
	joined := Join(old.Fact, f)
	if joined == old.Fact {
		return false
	}
	v.replace(old, joined, now)
	return true
}

func (v *View) insert(e *entry) {
	v.byName, v.byZone = nil, nil
	v.lastChange = latest(v.lastChange, e.changedAt)
	e.id = e.ID()
	e.digest = e.Fact.digest()
	v.entries[e.VM] = e
	v.ids[e.id] = e
	v.toggleDigest(e)
}

// toggleDigest adds the digest of an entry to the digests of the view and its bucket,
// or removes it if it was added before, because XOR is its own inverse.
func (v *View) toggleDigest(e *entry) {
	v.digest ^= e.digest
	v.buckets[bucketOf(e.VM)] ^= e.digest
}

func (v *View) remove(e *entry) {
	v.byName, v.byZone = nil, nil
	v.toggleDigest(e)
	delete(v.entries, e.VM)
	delete(v.ids, e.id)
}

// replace replaces the Fact of an entry. The entry of a new incarnation starts without
// heartbeats and recorded calls.
func (v *View) replace(e *entry, f Fact, now time.Time) {
	v.remove(e)
	next := *e
	next.Fact = f
	if f.IncarnationKey != e.IncarnationKey {
		next = entry{Fact: f, learnedAt: now, lastListed: e.lastListed}
	}
	next.changedAt = e.changedAt
	if f.digest() != e.digest || f.Status != e.Status || f.Load != e.Load {
		next.changedAt = now
	}
	v.insert(&next)
}

func bucketOf(vm steering.VM) int { return int(IDOf(vm, "") % BucketCount) }

// Digest returns a digest that is equal for views with equal facts. It ignores Load,
// ConfigVersion and incarnations that are gone.
func (v *View) Digest() uint64 { return v.digest }

// Buckets returns the digests of the buckets of the view.
func (v *View) Buckets() Buckets {
	var b Buckets
	for i, d := range v.buckets {
		b[i] = uint32(d) ^ uint32(d>>32)
	}
	return b
}

// Differing returns up to limit facts of the buckets whose digests differ from theirs.
func (v *View) Differing(theirs Buckets, limit int) []Fact {
	ours := v.Buckets()
	var facts []Fact
	for _, e := range v.sorted() {
		b := bucketOf(e.VM)
		if ours[b] != theirs[b] && len(facts) < limit {
			facts = append(facts, e.Fact)
		}
	}
	return facts
}

// Platform merges the platform's list of VMs and reports whether the view changed. The
// list may be outdated: an entry does not apply to an incarnation that started after the
// entry's Since time.
func (v *View) Platform(list []ListedVM, now time.Time) (changed bool) {
	for _, line := range list {
		changed = v.mergeListed(line, now) || changed
	}
	return changed
}

func (v *View) mergeListed(line ListedVM, now time.Time) bool {
	e, known := v.entries[line.VM]
	if !known {
		if line.Status == Gone {
			return false
		}
		v.insert(&entry{Fact: Fact{VM: line.VM, Location: line.Location, Status: line.Status}, learnedAt: now, changedAt: now, lastListed: now})
		return true
	}
	if line.Status != Gone {
		e.lastListed = now
	}
	f := e.Fact
	if !f.Known() {
		f.Location = line.Location // known only from the platform
		f.Status = line.Status
	} else if f.Started <= line.Since.UnixNano() {
		f.Status = max(f.Status, line.Status)
	}
	if f == e.Fact {
		return false
	}
	v.replace(e, f, now)
	return true
}

// Replaced reports whether this observer's own incarnation has ended: the platform lists
// its VM as gone, or a later incarnation of the VM is known.
func (v *View) Replaced() bool {
	e := v.entries[v.self]
	return e.IncarnationKey != v.life || e.Status == Gone
}

// SetSelf updates the observer's own Fact. Status and ConfigVersion never decrease. It
// does nothing if a later incarnation of the VM is known.
func (v *View) SetSelf(status Status, load Load, configVersion int64, now time.Time) {
	e := v.entries[v.self]
	if e.IncarnationKey != v.life {
		return
	}
	f := e.Fact
	f.Status = max(f.Status, status)
	f.Load = load
	f.ConfigVersion = max(f.ConfigVersion, configVersion)
	if f != e.Fact {
		v.replace(e, f, now)
	}
}

// RemoveExpired removes the entries of other VMs that have not changed, been listed by
// the platform, sent a heartbeat or been reached for RemoveAfter.
func (v *View) RemoveExpired(now time.Time) {
	for _, e := range v.sorted() {
		quiet := now.Sub(latest(e.receivedAt, e.learnedAt, e.changedAt, e.lastListed, e.lastSuccess))
		if e.VM != v.self && quiet > v.params.RemoveAfter {
			v.remove(e)
		}
	}
}

// CompensatePause moves the recorded times forward by the length of a pause of this
// process, but not beyond now.
//
// Otherwise a process that was paused would find that no heartbeat arrived during its
// own pause and would suspect all members, which would show as refusals and as pools
// that change their owner right after a pause. With the correction the time without
// heartbeats of each member is as long as it was before the pause.
func (v *View) CompensatePause(pause time.Duration, now time.Time) {
	shift := func(t *time.Time) {
		if t.IsZero() {
			return
		}
		*t = t.Add(pause)
		if t.After(now) {
			*t = now
		}
	}
	for _, e := range v.entries {
		shift(&e.receivedAt)
		shift(&e.learnedAt)
		shift(&e.lastFailure)
		shift(&e.lastSuccess)
	}
	for _, r := range v.reports {
		shift(&r.receivedAt)
	}
}

func latest(times ...time.Time) time.Time {
	var newest time.Time
	for _, t := range times {
		if t.After(newest) {
			newest = t
		}
	}
	return newest
}
