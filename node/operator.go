package node

import (
	"net/http"
	"time"
)

// operatorHandler serves the operators' listener. Health and metrics are open,
// so that probes and collectors need no token; they hold no secrets.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { say(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("/", n.parts.operator.Handler())
	return mux
}

// zoneGrace is how long readiness waits for the platform's list of VMs and a
// word from those of the own zone: until an entry VM knows its zone, it would
// count slots that others count too. In an outage of the platform it must get
// ready all the same.
const zoneGrace = 4 * time.Second

// readyz says whether callers may be sent here.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.parts.leaver.Leaving():
		say(w, http.StatusServiceUnavailable, "leaving")
	case n.parts.configs.Snapshot() == nil:
		say(w, http.StatusServiceUnavailable, "no configuration yet: neither a peer nor the platform gave one")
	case !n.parts.members.ZoneDiscovered() && time.Since(n.started) < zoneGrace:
		say(w, http.StatusServiceUnavailable, "the zone's other entry VMs are not known yet")
	default:
		say(w, http.StatusOK, "ready")
	}
}

func say(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
