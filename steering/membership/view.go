package membership

import (
	"time"

	"heatherlock/steering"
)

// Params sets when silence counts. Zero fields take the defaults.
type Params struct {
	// SuspectAfter is how long a member of the own zone may be silent. It must
	// be well over the time that a beat takes to be relayed through a zone.
	SuspectAfter time.Duration
	// ZoneSilentAfter is how long no report of another zone may arrive.
	ZoneSilentAfter time.Duration
	// EvidenceHold is how long failed contact with a member of another zone
	// counts when nobody tries it again.
	EvidenceHold time.Duration
	// GoneAfter is the silence after which a member is no longer shown.
	GoneAfter time.Duration
	// ForgetAfter is how long gone incarnations are remembered, so that late
	// messages do not bring them back.
	ForgetAfter time.Duration
}

// Defaults of Params.
const (
	DefaultSuspectAfter    = 4 * time.Second
	DefaultZoneSilentAfter = 10 * time.Second
	DefaultEvidenceHold    = 5 * time.Second
	DefaultGoneAfter       = 10 * time.Minute
	DefaultForgetAfter     = 24 * time.Hour
)

// WithDefaults fills zero fields.
func (p Params) WithDefaults() Params {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&p.SuspectAfter, DefaultSuspectAfter)
	def(&p.ZoneSilentAfter, DefaultZoneSilentAfter)
	def(&p.EvidenceHold, DefaultEvidenceHold)
	def(&p.GoneAfter, DefaultGoneAfter)
	def(&p.ForgetAfter, DefaultForgetAfter)
	return p
}

// BucketCount is the number of digests a view splits into.
const BucketCount = 64

// Buckets holds one digest per bucket of VMs.
type Buckets [BucketCount]uint32

// entry is a fact with what this observer knows about reaching its VM.
type entry struct {
	Fact
	id     ID
	digest uint64
	// learned is when this life was first known here, changed when the fact
	// last changed in a way worth telling.
	learned time.Time
	changed time.Time
	// beat is the newest beat known and heard when it arrived.
	beat  uint32
	heard time.Time
	// doubtBeat is the beat at which somebody doubted the member, plus one.
	doubtBeat uint32
	// reportBeat is the beat of the newest report by this member.
	reportBeat uint32
	// reached and failed are when this observer last called it with and
	// without success.
	reached time.Time
	failed  time.Time
	// failures counts the calls that failed since one succeeded.
	failures int
	// listed is the last time the platform's list had it live or leaving.
	listed time.Time
}

// View is one observer's knowledge. It is not safe for concurrent use.
type View struct {
	self    steering.VM
	life    Life
	zone    steering.Zone
	params  Params
	entries map[steering.VM]*entry
	ids     map[ID]*entry
	reports map[steering.Zone]*report
	digest  uint64
	buckets [BucketCount]uint64
	// order and zones list the entries by name, for the whole view and per
	// zone; they are made anew after a fact changed.
	order []*entry
	zones map[steering.Zone][]*entry
	// lastChange is when a fact last changed.
	lastChange time.Time
}

// NewView returns a view that knows only its own member.
func NewView(self Fact, params Params, now time.Time) *View {
	v := &View{
		self: self.VM, life: self.Life, zone: self.Place.Zone, params: params.WithDefaults(),
		entries: map[steering.VM]*entry{}, ids: map[ID]*entry{}, reports: map[steering.Zone]*report{},
	}
	v.Merge(self, now)
	return v
}

// Merge joins a fact into the view and tells whether anything worth telling
// others changed.
func (v *View) Merge(f Fact, now time.Time) bool {
	old, known := v.entries[f.VM]
	if !known {
		if f.Status == Gone {
			return false // a tombstone of somebody never known protects nothing here
		}
		v.insert(&entry{Fact: f, learned: now, changed: now})
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
	v.order, v.zones = nil, nil
	v.lastChange = latest(v.lastChange, e.changed)
	e.id = e.ID()
	e.digest = e.Fact.digest()
	v.entries[e.VM] = e
	v.ids[e.id] = e
	v.toggle(e)
}

// toggle adds the entry's digest to the view's, or takes it out again.
func (v *View) toggle(e *entry) {
	v.digest ^= e.digest
	v.buckets[bucketOf(e.VM)] ^= e.digest
}

func (v *View) remove(e *entry) {
	v.order, v.zones = nil, nil
	v.toggle(e)
	delete(v.entries, e.VM)
	delete(v.ids, e.id)
}

// replace changes an entry's fact. A new life starts with no evidence.
func (v *View) replace(e *entry, f Fact, now time.Time) {
	v.remove(e)
	next := *e
	next.Fact = f
	if f.Life != e.Life {
		next = entry{Fact: f, learned: now, listed: e.listed}
	}
	next.changed = e.changed
	if f.digest() != e.digest || f.Status != e.Status || f.Load != e.Load {
		next.changed = now
	}
	v.insert(&next)
}

func bucketOf(vm steering.VM) int { return int(IDOf(vm, "") % BucketCount) }

// Digest is equal for views that hold equal facts.
func (v *View) Digest() uint64 { return v.digest }

// Buckets returns the digest of each bucket.
func (v *View) Buckets() Buckets {
	var b Buckets
	for i, d := range v.buckets {
		b[i] = uint32(d) ^ uint32(d>>32)
	}
	return b
}

// Differing returns up to limit facts of the buckets whose digests differ.
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

// Platform takes in the platform's list of VMs, which lags: a line about a VM
// says nothing about an incarnation that started after the line's time.
func (v *View) Platform(list []Listed, now time.Time) (changed bool) {
	for _, line := range list {
		changed = v.listedLine(line, now) || changed
	}
	return changed
}

func (v *View) listedLine(line Listed, now time.Time) bool {
	e, known := v.entries[line.VM]
	if !known {
		if line.Status == Gone {
			return false
		}
		v.insert(&entry{Fact: Fact{VM: line.VM, Place: line.Place, Status: line.Status}, learned: now, changed: now, listed: now})
		return true
	}
	if line.Status != Gone {
		e.listed = now
	}
	f := e.Fact
	if !f.Known() {
		f.Place = line.Place // nobody but the platform knows it
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

// Replaced tells whether this observer's own incarnation is over: the platform
// shows its VM as gone, or a later incarnation of the VM has been heard of.
func (v *View) Replaced() bool {
	e := v.entries[v.self]
	return e.Life != v.life || e.Status == Gone
}

// SetSelf changes what the observer says of itself.
func (v *View) SetSelf(status Status, load Load, configVersion int64, now time.Time) {
	e := v.entries[v.self]
	if e.Life != v.life {
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

// Forget drops incarnations that have been gone, and VMs that nobody has seen
// and the platform has not listed, for as long as Params say.
func (v *View) Forget(now time.Time) {
	for _, e := range v.sorted() {
		quiet := now.Sub(latest(e.heard, e.learned, e.changed, e.listed, e.reached))
		if e.VM != v.self && quiet > v.params.ForgetAfter {
			v.remove(e)
		}
	}
}

// Credit moves every time of hearing forward by a pause of this process.
//
// What can go wrong: a process that was paused finds that everybody has been
// silent for the length of its own pause and suspects them all. One would
// notice refusals and moved pools right after a pause. Crediting the pause
// leaves each silence as long as it was before.
func (v *View) Credit(pause time.Duration, now time.Time) {
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
		shift(&e.heard)
		shift(&e.learned)
		shift(&e.failed)
		shift(&e.reached)
	}
	for _, r := range v.reports {
		shift(&r.heard)
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
