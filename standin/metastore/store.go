package metastore

import (
	"encoding/json"
	"maps"
	"sort"
	"sync"
)

// Metadata is the metadata of an object.
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

// Event is a change of an object. Object is the last state if Removed is set.
type Event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	kind     string
	revision int64
}

// Store is an in-memory metadata store. It is safe for concurrent use.
type Store struct {
	// PageSize is the largest number of objects in a page of a list. Set it before
	// use.
	PageSize int
	// Unreadable selects the changes that watches send without a readable name. Nil selects none. Set it before use.
	Unreadable func(kind string, revision int64) bool

	mu       sync.Mutex
	era      int
	revision int64
	objects  map[string]map[string]Object
	history  []Event
	oldest   int64 // watches that start before this revision fail
	changed  chan struct{}
	faults   Faults
	calls    int
	stale    int
	// staleObjects holds the objects as of staleRevision for lists that allow stale
	// results; nil if such lists are up to date.
	staleObjects  map[string]map[string]Object
	staleRevision int64
	staleEra      int
}

// Copy is a copy of a store's contents.
type Copy struct {
	revision int64
	objects  map[string]map[string]Object
}

// firstRevision is above 0 because the revisions of the users' store also start above 0.
const firstRevision = 100

// New returns an empty store.
func New() *Store {
	return &Store{PageSize: 500, era: 1, revision: firstRevision, oldest: firstRevision, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// Put creates or replaces an object without a check of its revision, as the operator and
// targets do, and returns the object's revision. An equal spec changes nothing.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: spec cannot be encoded as JSON: " + err.Error())
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

// Remove deletes an object and reports whether it existed.
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

// Forget drops the history, so that watches from an older revision fail with status 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of the current contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, objects: cloneObjects(s.objects)}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	all := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		all[kind] = maps.Clone(named)
	}
	return all
}

// Restore replaces the contents by those of a copy and raises the era. All later changes are
// lost, and their revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, cloneObjects(c.objects)
	s.oldest = min(s.oldest, s.revision)
	for len(s.history) > 0 && s.history[len(s.history)-1].revision > s.revision {
		s.history = s.history[:len(s.history)-1]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Lag makes lists that allow stale results return the current state of the store until
// the next call of Lag.
func (s *Store) Lag() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleObjects, s.staleRevision, s.staleEra = cloneObjects(s.objects), s.revision, s.era
}

// StaleCalls returns the number of calls that allowed stale results.
func (s *Store) StaleCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// Names returns the sorted names of the objects of a kind.
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

// Calls returns the number of HTTP calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// since returns the events of a kind after a revision; ok is false if the history no
// longer reaches back to it, or has not reached it.
func (s *Store) since(kind string, revision int64) (events []Event, ok bool) {
	if revision < s.oldest || revision > s.revision {
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
