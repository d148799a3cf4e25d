package benchpath

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// bareHop is the least that a hop made of the same HTTP library can do: it
// sends each request on and copies the answer back. It admits nothing, knows
// no deadline and no key. What an entry VM costs beyond it is the price of its
// decisions.
type bareHop struct {
	server    *http.Server
	address   string
	transport *http.Transport
	to        string
}

func startBareHop(to string) (*bareHop, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "bench: listen for the bare hop")
	}
	b := &bareHop{address: listener.Addr().String(), to: to}
	b.transport = &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// ServeHTTP relays one request.
func (b *bareHop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host = "http", b.to
	answer, err := b.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}

func (b *bareHop) url() string { return "http://" + b.address + "/x" }

func (b *bareHop) close() {
	_ = b.server.Close()
	b.transport.CloseIdleConnections()
}
