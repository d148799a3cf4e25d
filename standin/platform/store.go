package platform

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"heatherlock/objects"
)

// Defaults of the fields of Options.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	DefaultKeptEvents      = 10000
)

// Options sets the limits of a store. Zero or negative fields take the defaults.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// KeptEvents is the minimum number of past changes that the store retains for
	// watches, unless Compact drops them.
	KeptEvents int
}

type objectKey struct{ kind, name string }

// record is the state of an object as of a revision.
type record struct {
	revision int64
	object   objects.Object
	deleted  bool
}

// Store is an in-memory object store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	// compacted is the oldest revision that a watch may start from.
	compacted  int64
	events     []objects.Event
	keptEvents int
	// history holds the records of each object, newest last, back to the
	// compacted revision, the oldest that a stale read may return.
	history map[objectKey][]record
	// changed is closed and replaced on each change of an object or a fault.
	changed chan struct{}

	faults   faults
	counters counters
	vms      vmHistory
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.KeptEvents <= 0 {
		o.KeptEvents = DefaultKeptEvents
	}
	return &Store{
		keptEvents: o.KeptEvents,
		history:    map[objectKey][]record{},
		changed:    make(chan struct{}),
		counters:   newCounters(),
		faults:     newFaults(),
		reads:      rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		writes:     rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
	}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact drops the events up to revision. Watches from an older revision fail as Gone.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(min(revision, s.revision))
}

// compact drops events and history that no read needs any longer.
func (s *Store) compact(revision int64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	first := s.firstEventAfter(revision)
	s.events = slices.Clone(s.events[first:])
	for key, records := range s.history {
		s.trim(key, records)
	}
}

// trim keeps the newest record at or before the compacted revision and all
// later ones.
func (s *Store) trim(key objectKey, records []record) {
	keep := 0
	for i, r := range records {
		if r.revision <= s.compacted {
			keep = i
		}
	}
	records = records[keep:]
	if len(records) == 1 && records[0].deleted && records[0].revision <= s.compacted {
		delete(s.history, key)
		return
	}
	s.history[key] = slices.Clone(records)
}

func (s *Store) firstEventAfter(revision int64) int {
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e objects.Event, r int64) int {
		return int(e.Object.Version - r)
	})
	return first
}

// at returns the object as it was at a revision.
func (s *Store) at(key objectKey, revision int64) (objects.Object, bool) {
	records := s.history[key]
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].revision <= revision {
			return records[i].object, !records[i].deleted
		}
	}
	return objects.Object{}, false
}

// put stores a change as the next revision and wakes waiting watches.
func (s *Store) put(key objectKey, value json.RawMessage, deleted bool) objects.Object {
	s.revision++
	object := objects.Object{Kind: key.kind, Name: key.name, Version: s.revision, Value: value}
	s.history[key] = append(s.history[key], record{revision: s.revision, object: object, deleted: deleted})
	s.events = append(s.events, objects.Event{Object: object, Deleted: deleted})
	if len(s.events) > 2*s.keptEvents {
		s.compact(s.events[len(s.events)-s.keptEvents].Object.Version - 1)
	}
	s.wakeWatches()
	return object
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) create(key objectKey, value json.RawMessage) (objects.Object, error) {
	if old, ok := s.at(key, s.revision); ok {
		return objects.Object{}, newError(objects.Conflict, errors.Errorf("exists at version %d", old.Version))
	}
	return s.put(key, value, false), nil
}

func (s *Store) update(key objectKey, version int64, value json.RawMessage) (objects.Object, error) {
	if err := s.check(key, version); err != nil {
		return objects.Object{}, err
	}
	return s.put(key, value, false), nil
}

func (s *Store) remove(key objectKey, version int64) (int64, error) {
	if err := s.check(key, version); err != nil {
		return 0, err
	}
	return s.put(key, nil, true).Version, nil
}

// check returns an error unless the object exists at the version that the writer expects.
func (s *Store) check(key objectKey, version int64) error {
	old, ok := s.at(key, s.revision)
	if !ok {
		return newError(objects.NotFound, nil)
	}
	if old.Version != version {
		return newError(objects.Conflict, errors.Errorf("version %d given, %d stored", version, old.Version))
	}
	return nil
}

// list returns the objects of the kinds as of a revision, sorted by kind and name.
func (s *Store) list(kinds []string, revision int64) []objects.Object {
	found := []objects.Object{}
	for key := range s.history {
		if !matchesKind(kinds, key.kind) {
			continue
		}
		if object, ok := s.at(key, revision); ok {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b objects.Object) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return found
}

// eventsAfter returns the changes of the kinds after a revision.
func (s *Store) eventsAfter(since int64, kinds []string) ([]objects.Event, error) {
	if since < s.compacted {
		return nil, newError(objects.Gone, errors.Errorf("revision %d given, oldest kept %d", since, s.compacted))
	}
	if since > s.revision {
		return nil, newError(objects.Invalid, errors.Errorf("revision %d given, newest %d", since, s.revision))
	}
	events := []objects.Event{}
	for _, e := range s.events[s.firstEventAfter(since):] {
		if matchesKind(kinds, e.Object.Kind) {
			events = append(events, e)
		}
	}
	return events, nil
}

// matchesKind reports whether kinds contains kind. An empty list matches every kind.
func matchesKind(kinds []string, kind string) bool {
	return len(kinds) == 0 || slices.Contains(kinds, kind)
}

// checkValue returns the value as compact JSON, or an error if it cannot be stored.
func checkValue(value json.RawMessage) (json.RawMessage, error) {
	if len(value) > objects.MaxValueBytes {
		return nil, newError(objects.TooLarge, errors.Errorf("%d bytes, at most %d", len(value), objects.MaxValueBytes))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return nil, newError(objects.Invalid, errors.Wrap(err, "value is no JSON"))
	}
	return compact.Bytes(), nil
}

// newError returns an error without operation and object, which withCall sets.
func newError(kind objects.ErrorKind, cause error) *objects.Error {
	return &objects.Error{Kind: kind, Err: cause}
}

// throttleRetry is the RetryAfter of throttled calls.
const throttleRetry = 500 * time.Millisecond
