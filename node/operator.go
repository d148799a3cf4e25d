package node

import (
	"net/http"
	"time"
)

// operatorHandler returns the handler of the operator listener. Health checks and metrics need no
// token, so that probes and collectors can read them; they contain no secrets.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("/", n.components.operator.Handler())
	return mux
}

// zoneDiscoveryTimeout is how long readiness waits, from the start of the daemon, for the
// platform's list of VMs and for an answer from those in this entry VM's zone. Until an entry VM
// knows the members of its zone, it would count the slots of pools that other entry VMs own and
// count too. The wait is bounded because an entry VM must become ready during an outage of the
// platform as well.
const zoneDiscoveryTimeout = 4 * time.Second

// readyz responds with status 200 if callers may be sent to this entry VM, and with 503 otherwise.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.components.leaveState.Leaving():
		writeText(w, http.StatusServiceUnavailable, "leaving")
	case n.components.configs.Snapshot() == nil:
		writeText(w, http.StatusServiceUnavailable, "no configuration yet: neither a peer nor the platform gave one")
	case !n.components.members.ZoneDiscovered() && time.Since(n.started) < zoneDiscoveryTimeout:
		writeText(w, http.StatusServiceUnavailable, "the zone's other entry VMs are not known yet")
	default:
		writeText(w, http.StatusOK, "ready")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
