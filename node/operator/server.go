package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/objects"
)

// Server serves the resource API and the status page.
type Server struct {
	vm             string
	platform       objects.API
	runtime        Runtime
	tokens         []Token
	log            log.Logger
	scope          tally.Scope
	api            http.Handler
	cachedProblems problemCache
	transitions    transitionTracker
	cachedPage     pageCache
	watches        chan struct{}
}

var _ oas.Handler = (*Server)(nil)

// New returns a Server. It returns an error if Platform or Runtime is missing.
func New(c Config) (*Server, error) {
	if c.Platform == nil || c.Runtime == nil {
		return nil, errors.New("operator: Config.Platform and Config.Runtime must be set")
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	s := &Server{
		vm: c.VM, platform: c.Platform, runtime: c.Runtime, tokens: c.Tokens,
		log: log.With(c.Log, "part", "operator"), scope: c.Scope,
		watches: make(chan struct{}, maxWatches),
	}
	api, err := oas.NewServer(s,
		oas.WithErrorHandler(handleDecodeError),
		oas.WithNotFound(notFound),
		oas.WithMethodNotAllowed(methodNotAllowed),
	)
	if err != nil {
		return nil, errors.Wrap(err, "operator: create the API server")
	}
	s.api = api
	return s, nil
}

// Handler returns the handler for the API at /v1/ and the status page at /. It authenticates
// every request.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.checkBody(s.api))
	mux.HandleFunc("GET /{$}", s.page)
	return s.authenticate(mux)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, http.StatusNotFound, newError(oas.ProblemReasonNotFound, "use a path of the resource API under /v1/", "there is no such path"))
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeProblem(w, http.StatusMethodNotAllowed, newError(oas.ProblemReasonInvalid, "use one of "+allowed, "the method is not allowed here"))
}

// NewError implements oas.Handler.
func (s *Server) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	var e *Error
	if !errors.As(err, &e) {
		e = newError(oas.ProblemReasonInternal, "try again; look into the entry VM's log", "unexpected failure")
		e.Err = err
	}
	if e.Err != nil {
		_ = level.Warn(s.log).Log("msg", "operator request failed", "reason", e.Problem.Reason, "err", e.Err)
	}
	return toResponse(e)
}

// checkBody reads the body of a write and checks it against the schema before ogen decodes it.
// ogen stops at the first error and drops unknown fields, so a misspelled field would silently
// take its default.
func (s *Server) checkBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost && r.Method != http.MethodPut {
			next.ServeHTTP(w, r)
			return
		}
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			s.writeBodyError(w, err)
			return
		}
		if _, problems := check.Decode(raw); len(problems) > 0 {
			s.scope.Tagged(map[string]string{"reason": string(oas.ProblemReasonInvalid)}).Counter("operator_refusals").Inc(1)
			e := problemsError(problems, problems[0].Object, "")
			writeProblem(w, http.StatusUnprocessableEntity, e)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		r.ContentLength = int64(len(raw))
		if strings.HasPrefix(r.Header.Get("Content-Type"), "text/") || r.Header.Get("Content-Type") == "" {
			r.Header.Set("Content-Type", "application/json")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) writeBodyError(w http.ResponseWriter, err error) {
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		writeProblem(w, http.StatusRequestEntityTooLarge, tooLargeError(check.Ref{}))
		return
	}
	writeProblem(w, http.StatusBadRequest, newError(oas.ProblemReasonInvalid, "send the whole body", "the body ended early"))
}
