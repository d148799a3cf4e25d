package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	_ "embed"
	"html/template"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherlock/api/check"
	"heatherlock/api/oas"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"condition": conditionNamed,
	"age": func(ms int64) string {
		return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
	},
}).Parse(pageText))

// pageMaxAge is how old the objects on the page may be. All viewers of one
// entry VM share one reading, so that they cost the platform one call in it.
const pageMaxAge = 2 * time.Second

// pageObjects are the objects drawn on the page, as last read.
type pageObjects struct {
	mu       sync.Mutex
	readAt   time.Time
	revision int64
	objects  []oas.Object
	failed   string
}

// pageData is what the template draws.
type pageData struct {
	Nonce   string
	Now     time.Time
	Version int64 // to watch from
	Failed  string
	Status  *oas.DeploymentStatus
	Shifts  []oas.Shift
	Caps    []oas.Cap
	Stops   []oas.PlannedStop
}

// page serves the status page. It is read-only, uses no outside resource, and
// without scripts it reloads itself.
func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	wanted, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	data := pageData{Nonce: rand.Text(), Now: time.Now().UTC().Truncate(time.Second), Status: s.deployment()}
	s.addObjects(r.Context(), &data, wanted)
	part := "page"
	if r.URL.Query().Get("part") == "main" {
		part = "main" // what the script draws again
	}
	var body bytes.Buffer
	if err := pageTemplate.ExecuteTemplate(&body, part, data); err != nil {
		writeProblem(w, http.StatusInternalServerError, fromPlatform(err, check.Ref{}))
		return
	}
	header := w.Header()
	header.Set("Content-Type", "text/html; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("X-Frame-Options", "DENY")
	header.Set("Content-Security-Policy", "default-src 'none'; connect-src 'self'; style-src 'nonce-"+data.Nonce+"'; script-src 'nonce-"+data.Nonce+"'")
	_, _ = w.Write(body.Bytes())
}

// addObjects puts shifts, caps and stops into data, read again if older than
// allowed or older than the version that the viewer has heard of.
func (s *Server) addObjects(ctx context.Context, data *pageData, wanted int64) {
	s.pages.mu.Lock()
	defer s.pages.mu.Unlock()
	if time.Since(s.pages.readAt) > pageMaxAge || wanted > s.pages.revision {
		s.readPage(ctx)
	}
	data.Version, data.Failed = s.pages.revision, s.pages.failed
	for _, o := range s.pages.objects {
		o = s.withStatus(ctx, o)
		switch o.Type {
		case oas.ShiftObject:
			data.Shifts = append(data.Shifts, o.Shift)
		case oas.CapObject:
			data.Caps = append(data.Caps, o.Cap)
		case oas.PlannedStopObject:
			data.Stops = append(data.Stops, o.PlannedStop)
		}
	}
}

// readPage reads the objects drawn; when the platform does not answer, those
// read before stay and the page says so.
func (s *Server) readPage(ctx context.Context) {
	s.pages.readAt = time.Now()
	set, revision, err := s.readSet(ctx)
	if err != nil {
		s.pages.failed = "The platform does not answer; objects are as last read."
		return
	}
	s.pages.failed, s.pages.revision, s.pages.objects = "", revision, nil
	for _, ref := range set.Refs() {
		if o, ok := set.Get(ref); ok {
			s.pages.objects = append(s.pages.objects, o)
		}
	}
}

// conditionNamed finds a condition for the template; a missing one is empty.
func conditionNamed(status oas.OptObjectStatus, kind string) oas.Condition {
	for _, c := range status.Value.Conditions {
		if c.Type == kind {
			return c
		}
	}
	return oas.Condition{}
}
