package node

import "net/http"

// operatorHandler serves health and metrics on the operators' listener.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}
