package metastore

import (
	"encoding/json"
	"maps"
	"sort"
	"sync"
)

// Metadata is what the store says of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is a change.
type Event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	kind     string
	revision int64
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	// PageSize bounds a page of a list.
	PageSize int

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []Event
	oldest   int64 // revisions up to here are forgotten
	changed  chan struct{}
	faults   Faults
	calls    int
	stale    int
	// lagging is what reads see that may be stale, as of laggingAt; nil if they do not lag.
	lagging   map[string]map[string]Object
	laggingAt int64
}

// firstRevision is above 0, as the users' store begins.
const firstRevision = 100

// New returns an empty store.
func New() *Store {
	return &Store{PageSize: 500, revision: firstRevision, oldest: firstRevision, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// Put stores an object whatever is there, as the operator and targets do, and
// returns the revision.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: a test stores what JSON cannot hold: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, raw).Metadata.Revision
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	old, found := s.objects[kind][name]
	if found && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if found {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(Event{Object: o, kind: kind, revision: s.revision})
	return o
}

// Remove deletes an object and reports whether there was one.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(kind, name)
}

func (s *Store) remove(kind, name string) bool {
	o, found := s.objects[kind][name]
	if !found {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.record(Event{Removed: true, Object: o, kind: kind, revision: s.revision})
	return true
}

func (s *Store) record(e Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops the history, so that watches from before it fail.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Lag lets reads that may be stale see the store as it is now, until the next call.
func (s *Store) Lag() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging, s.laggingAt = make(map[string]map[string]Object, len(s.objects)), s.revision
	for kind, objects := range s.objects {
		s.lagging[kind] = maps.Clone(objects)
	}
}

// StaleCalls returns how many of the calls allowed stale answers.
func (s *Store) StaleCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// Names returns the names of a kind's objects.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// since returns the kind's events after a revision; ok is false if they are
// forgotten.
func (s *Store) since(kind string, revision int64) (events []Event, ok bool) {
	if revision < s.oldest {
		return nil, false
	}
	events = []Event{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events, true
}
