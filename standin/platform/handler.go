package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/objects"
)

// maxWatchWait is the longest wait of a watch over HTTP.
const maxWatchWait = time.Minute

// statuses maps error kinds to HTTP status codes.
var statuses = map[objects.ErrorKind]int{
	objects.Invalid:     http.StatusBadRequest,
	objects.NotFound:    http.StatusNotFound,
	objects.Conflict:    http.StatusConflict,
	objects.Gone:        http.StatusGone,
	objects.TooLarge:    http.StatusRequestEntityTooLarge,
	objects.Throttled:   http.StatusTooManyRequests,
	objects.Unavailable: http.StatusServiceUnavailable,
}

// Handler returns a handler that serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", s.serve(list))
	mux.HandleFunc("GET /objects/{kind}/{name}", s.serve(get))
	mux.HandleFunc("POST /objects/{kind}/{name}", s.serve(create))
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.serve(update))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serve(remove))
	mux.HandleFunc("GET /watch", s.serve(watch))
	mux.HandleFunc("GET /vms", s.serve(vms))
	return mux
}

// operation performs the call of an HTTP request and returns the body to encode as
// JSON, or an error.
type operation func(api objects.API, r *http.Request) (any, error)

func (s *Store) serve(f operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		api := s.As(r.Header.Get(objects.HeaderClient), r.Header.Get(objects.HeaderZone))
		body, err := f(api, r)
		if errors.Is(err, errReplyLost) || errors.Is(err, errCutOff) {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var e *objects.Error
	if errors.As(err, &e) {
		status = statuses[e.Kind]
		w.Header().Set(objects.HeaderRetryAfterMs, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	http.Error(w, err.Error(), status)
}

func invalid(err error) error { return newError(objects.Invalid, err) }

func list(api objects.API, r *http.Request) (any, error) {
	found, revision, err := api.List(r.Context(), r.URL.Query()["kind"]...)
	return objects.ListReply{Revision: revision, Objects: found}, err
}

func get(api objects.API, r *http.Request) (any, error) {
	return api.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
}

// readValue reads the request body. Of a body above the size limit it reads one byte
// more than allowed, so that the store refuses the value.
func readValue(r *http.Request) (json.RawMessage, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objects.MaxValueBytes+1))
	if err != nil {
		return nil, invalid(err)
	}
	return value, nil
}

func create(api objects.API, r *http.Request) (any, error) {
	value, err := readValue(r)
	if err != nil {
		return nil, err
	}
	return api.Create(r.Context(), r.PathValue("kind"), r.PathValue("name"), value)
}

func ifMatch(r *http.Request) (int64, error) {
	version, err := strconv.ParseInt(r.Header.Get(objects.HeaderIfMatch), 10, 64)
	if err != nil {
		return 0, invalid(errors.Wrap(err, "header If-Match must hold the version"))
	}
	return version, nil
}

func update(api objects.API, r *http.Request) (any, error) {
	version, err := ifMatch(r)
	if err != nil {
		return nil, err
	}
	value, err := readValue(r)
	if err != nil {
		return nil, err
	}
	return api.Update(r.Context(), r.PathValue("kind"), r.PathValue("name"), version, value)
}

func remove(api objects.API, r *http.Request) (any, error) {
	version, err := ifMatch(r)
	if err != nil {
		return nil, err
	}
	revision, err := api.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	return objects.RevisionReply{Revision: revision}, err
}

func watch(api objects.API, r *http.Request) (any, error) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		return nil, invalid(errors.Wrap(err, "query since"))
	}
	waitMs, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitMs < 0 {
		return nil, invalid(errors.Errorf("query waitMs: %q", query.Get("waitMs")))
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	events, revision, err := api.Watch(r.Context(), since, wait, query["kind"]...)
	return objects.WatchReply{Revision: revision, Events: events}, err
}

func vms(api objects.API, r *http.Request) (any, error) {
	list, err := api.VMs(r.Context())
	return objects.VMsReply{VMs: list}, err
}
