package lookups

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

const (
	// Path is the path at which the caller listener serves look-ups.
	Path = "/v1/lookup"

	paramService = "service"
	paramClient  = "client"

	headerReason     = "Heatherlock-Reason"
	headerRan        = "Heatherlock-Ran"
	headerRetryAfter = "Heatherlock-Retry-After-Ms"
)

// Answer is the JSON body of the response to a look-up.
type Answer struct {
	Service  steering.Service `json:"service"`
	Place    steering.Place   `json:"place"`
	EntryVMs []EntryVM        `json:"entryVMs"`
	TTLMs    int64            `json:"ttlMs"`
	Version  int64            `json:"version"`
}

// EntryVM is one entry VM of an Answer. Clients use them in the given order.
type EntryVM struct {
	VM      steering.VM `json:"vm"`
	Address string      `json:"address"`
	// KeyPrefix is the prefix of new idempotency keys. It is valid for some
	// minutes; see package once.
	KeyPrefix steering.KeyPrefix `json:"keyPrefix,omitempty"`
}

// problem is the JSON body of the response to a refused look-up.
type problem struct {
	Reason       steering.Reason `json:"reason"`
	Ran          string          `json:"ran"`
	Detail       string          `json:"detail"`
	Remedy       string          `json:"remedy"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
}

// encode returns the body for an answer. Bodies are encoded in advance, so that
// a look-up over HTTP only copies bytes.
func encode(service steering.Service, a seam.LookupAnswer) []byte {
	out := Answer{Service: service, Place: a.Place, EntryVMs: []EntryVM{}, TTLMs: a.TTL.Milliseconds(), Version: a.Version}
	for _, e := range a.EntryVM {
		out.EntryVMs = append(out.EntryVMs, EntryVM(e))
	}
	body, err := json.Marshal(out)
	if err != nil {
		// An Answer consists of strings and numbers, which can always be encoded.
		panic("lookups: encode answer: " + err.Error())
	}
	return body
}

// ServeHTTP serves Path. The client is the remote address of the connection, or
// the address given in the request if Config.AllowClient is set.
func (l *Lookups) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := l.answer(r)
	if err != nil {
		l.refuse(w, err)
		return
	}
	l.metrics.answered.Inc(1)
	w.Header()["Content-Type"] = contentJSON
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	_, _ = w.Write(body)
}

var contentJSON = []string{"application/json"}

func (l *Lookups) answer(r *http.Request) ([]byte, error) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, badRequest("method " + r.Method + " on a look-up; use GET")
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, badRequest("the query cannot be parsed")
	}
	service := query.Get(paramService)
	if service == "" {
		return nil, badRequest("no service given; add ?service=NAME")
	}
	client, err := l.client(r, query.Get(paramClient))
	if err != nil {
		return nil, err
	}
	v := l.current.Load()
	if v == nil {
		return nil, notReady()
	}
	index, err := v.plan.Choose(client, steering.Service(service))
	if err != nil {
		return nil, err
	}
	return v.bodies[index], nil
}

func badRequest(detail string) *steering.Refusal {
	return steering.Refuse(steering.ReasonBadRequest, 0, detail)
}

// client returns the client address to answer for; named is the one given in the
// request, if any.
func (l *Lookups) client(r *http.Request, named string) (netip.Addr, error) {
	if named == "" {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			return netip.Addr{}, badRequest("the connection has no remote address")
		}
		return remote.Addr(), nil
	}
	if !l.config.AllowClient {
		return netip.Addr{}, badRequest("this listener answers for the caller's own address only; leave out client")
	}
	addr, err := netip.ParseAddr(named)
	if err != nil {
		return netip.Addr{}, badRequest("client is not an IP address")
	}
	return addr, nil
}

func (l *Lookups) refuse(w http.ResponseWriter, err error) {
	var refusal *steering.Refusal
	if !errors.As(err, &refusal) {
		refusal = steering.Refuse(steering.ReasonNotReady, notReadyRetryAfter, err.Error())
	}
	l.metrics.refused(refusal.Reason)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(headerReason, string(refusal.Reason))
	header.Set(headerRan, refusal.Ran.String())
	if refusal.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
		header.Set("Retry-After", strconv.FormatInt(int64((refusal.RetryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(steering.Reasons[refusal.Reason].Status)
	_ = json.NewEncoder(w).Encode(problem{
		Reason: refusal.Reason, Ran: refusal.Ran.String(), Detail: refusal.Detail,
		Remedy: refusal.Remedy(), RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	})
}

// metrics counts answers and plans, and refusals by reason.
type metrics struct {
	scope    tally.Scope
	answered tally.Counter
	plans    tally.Counter
	planTime tally.Timer
	answers  tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:    scope,
		answered: scope.Counter("answered"),
		plans:    scope.Counter("plans"),
		planTime: scope.Timer("plan"),
		answers:  scope.Gauge("answers"),
	}
}

func (m metrics) refused(reason steering.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

func (m metrics) planned(took time.Duration, answers int) {
	m.plans.Inc(1)
	m.planTime.Record(took)
	m.answers.Update(float64(answers))
}
