package benchpath

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// bareProxy is a minimal reverse proxy that is built on the same HTTP library as
// the entry VM and serves as a baseline. It forwards each request and copies the
// response back, without admission control, deadlines or request keys. The
// additional cost of an entry VM over this proxy is the cost of its decisions.
type bareProxy struct {
	server    *http.Server
	address   string
	transport *http.Transport
	upstream  string
}

func startBareProxy(upstream string) (*bareProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "bench: listen for the bare hop")
	}
	b := &bareProxy{address: listener.Addr().String(), upstream: upstream}
	b.transport = &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// ServeHTTP forwards r to the upstream and answers 502 if the upstream fails.
func (b *bareProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host = "http", b.upstream
	response, err := b.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func (b *bareProxy) url() string { return "http://" + b.address + "/x" }

func (b *bareProxy) close() {
	_ = b.server.Close()
	b.transport.CloseIdleConnections()
}
