package metastore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Faults selects the faults of the store. The zero value means none.
type Faults struct {
	// Silent, Busy and Limited select the callers, by remote address, that get no
	// response, status 503 and status 429. Nil selects none.
	Silent, Busy, Limited func(remote string) bool
	// Delay is the delay of each call.
	Delay time.Duration
	// LoseWrites performs writes but sends no response to them.
	LoseWrites bool
}

// All selects every caller for a fault.
func All(string) bool { return true }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

const prefix = "/v1/objects/"

// headerEra is in all responses and holds the number of times that the store was restored, plus 1.
const headerEra = "Store-Era"

// ServeHTTP serves the store's HTTP API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	w.Header().Set(headerEra, strconv.Itoa(s.era))
	s.calls++
	if r.URL.Query().Get("staleOk") == "1" {
		s.stale++
	}
	s.mu.Unlock()
	if f.inject(w, r) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	status, body := s.write(w, r, kind, name)
	if f.LoseWrites {
		hang(r.Context())
		panic(http.ErrAbortHandler)
	}
	reply(w, status, body)
}

// inject applies the faults to a call and reports whether it has sent the response.
func (f Faults) inject(w http.ResponseWriter, r *http.Request) bool {
	selected := func(filter func(string) bool) bool { return filter != nil && filter(r.RemoteAddr) }
	time.Sleep(f.Delay)
	switch {
	case selected(f.Silent):
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body is read
		hang(r.Context())
		panic(http.ErrAbortHandler)
	case selected(f.Busy):
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case selected(f.Limited):
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	}
	return false
}

// hangTimeout is longer than any caller waits.
const hangTimeout = 30 * time.Second

func hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(hangTimeout):
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		s.mu.Lock()
		o, found := s.objects[kind][name]
		w.Header().Set(headerEra, strconv.Itoa(s.era))
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	p := s.page(kind, r.URL.Query().Get("after"), r.URL.Query().Get("staleOk") == "1")
	w.Header().Set(headerEra, strconv.Itoa(p.era))
	reply(w, http.StatusOK, p)
}

type page struct {
	Items    []Object `json:"items"`
	More     bool     `json:"hasMore"`
	Revision int64    `json:"storeRevision"`

	era int
}

func (s *Store) page(kind, after string, stale bool) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Items: []Object{}, Revision: s.revision, era: s.era}
	objects := s.objects[kind]
	if stale && s.staleObjects != nil {
		objects, p.Revision, p.era = s.staleObjects[kind], s.staleRevision, s.staleEra
	}
	for name, o := range objects {
		if name > after {
			p.Items = append(p.Items, o)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Metadata.Name < p.Items[j].Metadata.Name })
	if len(p.Items) > s.PageSize {
		p.Items, p.More = p.Items[:s.PageSize], true
	}
	return p
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	since, err := strconv.ParseInt(watch, 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, ok := s.since(kind, since)
		revision, changed := s.revision, s.changed
		w.Header().Set(headerEra, strconv.Itoa(s.era))
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			s.hangIfSilent(r)
			reply(w, http.StatusOK, map[string]any{"events": s.encodeEvents(events), "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.hangIfSilent(r)
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeEvents returns events as a watch sends them.
func (s *Store) encodeEvents(events []Event) []any {
	all := make([]any, 0, len(events))
	for _, event := range events {
		if s.Unreadable == nil || !s.Unreadable(event.kind, event.revision) {
			all = append(all, event)
			continue
		}
		all = append(all, map[string]any{"removed": event.Removed, "object": map[string]any{
			"metadata": map[string]any{"name": []string{event.Object.Metadata.Name}}, "spec": event.Object.Spec}})
	}
	return all
}

// hangIfSilent holds up the answer to a watch that was taken before the store fell silent.
func (s *Store) hangIfSilent(r *http.Request) {
	s.mu.Lock()
	silent := s.faults.Silent
	s.mu.Unlock()
	if silent != nil && silent(r.RemoteAddr) {
		hang(r.Context())
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(headerEra, strconv.Itoa(s.era))
	if r.Method == http.MethodDelete {
		given, listed := r.URL.Query().Get("revision"), s.objects[kind][name]
		if given != "" && given != strconv.FormatInt(listed.Metadata.Revision, 10) {
			return http.StatusConflict, listed
		}
		if !s.remove(kind, name) {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, nil
	}
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	old, found := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.put(kind, o.Metadata.Name, o.Spec)
}
