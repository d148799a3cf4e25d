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
	"condition": findCondition,
	"age": func(ms int64) string {
		return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
	},
}).Parse(pageText))

// pageMaxAge is how long the objects shown on the page are cached. All viewers of an entry VM's
// page share the cache, so together they cause one platform call per pageMaxAge.
const pageMaxAge = 2 * time.Second

// pageCache holds the objects shown on the page, as last read.
type pageCache struct {
	mu          sync.Mutex
	readAt      time.Time
	revision    int64
	objects     []oas.Object
	readFailure string
}

// pageData is the data of the page template.
type pageData struct {
	Nonce   string
	Now     time.Time
	Version int64 // the revision from which the viewer watches for changes
	Failed  string
	Status  *oas.DeploymentStatus
	Shifts  []oas.Shift
	Caps    []oas.Cap
	Stops   []oas.PlannedStop
}

// page serves the status page. The page is read-only, loads no external resources, and reloads
// itself if scripts are disabled.
func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	minRevision, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	data := pageData{Nonce: rand.Text(), Now: time.Now().UTC().Truncate(time.Second), Status: s.deploymentStatus()}
	s.addObjects(r.Context(), &data, minRevision)
	part := "page"
	if r.URL.Query().Get("part") == "main" {
		part = "main" // the part that the page's script refreshes
	}
	var body bytes.Buffer
	if err := pageTemplate.ExecuteTemplate(&body, part, data); err != nil {
		writeProblem(w, http.StatusInternalServerError, platformError(err, check.Ref{}))
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

// addObjects adds the shifts, caps and planned stops to data. It reads them again if the cache
// is older than pageMaxAge or than minRevision, the revision that the viewer's watch returned.
func (s *Server) addObjects(ctx context.Context, data *pageData, minRevision int64) {
	s.cachedPage.mu.Lock()
	defer s.cachedPage.mu.Unlock()
	if time.Since(s.cachedPage.readAt) > pageMaxAge || minRevision > s.cachedPage.revision {
		s.readPage(ctx)
	}
	data.Version, data.Failed = s.cachedPage.revision, s.cachedPage.readFailure
	for _, o := range s.cachedPage.objects {
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

// readPage refreshes the cached objects. If the platform doesn't respond, it keeps the previous
// ones, and the page says so.
func (s *Server) readPage(ctx context.Context) {
	s.cachedPage.readAt = time.Now()
	set, revision, err := s.readSet(ctx)
	if err != nil {
		s.cachedPage.readFailure = "The platform does not answer; objects are as last read."
		return
	}
	s.cachedPage.readFailure, s.cachedPage.revision, s.cachedPage.objects = "", revision, nil
	for _, ref := range set.Refs() {
		if o, ok := set.Get(ref); ok {
			s.cachedPage.objects = append(s.cachedPage.objects, o)
		}
	}
}

// findCondition returns the condition of the given type, or a zero Condition if there is none.
func findCondition(status oas.OptObjectStatus, kind string) oas.Condition {
	for _, c := range status.Value.Conditions {
		if c.Type == kind {
			return c
		}
	}
	return oas.Condition{}
}
