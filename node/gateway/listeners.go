package gateway

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/platform"
	"heatherlock/steering"
)

// serveHTTP serves readiness, the directory, control and metrics.
func (g *Gateway) serveHTTP() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		platform.WriteReady(w, g.relay.Ready() && !g.leaving.Load())
	})
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+platform.PathDirectory, g.answerDirectory)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", g.metrics.Handler())
	listen := g.settings.Listen
	for address, mux := range map[string]*http.ServeMux{listen.Ready: ready, listen.Directory: directory, listen.Control: g.controlMux(),
		net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.MetricsPort)): metrics} {
		if err := g.serveMux(address, mux); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) serveMux(address string, mux *http.ServeMux) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "gateway: listen on %s", address)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	g.servers = append(g.servers, server)
	g.done.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = g.log.Log("msg", "listener failed", "address", address, "err", err) // the writer counts what it drops
		}
	})
	return nil
}

func (g *Gateway) closeServers() {
	for _, server := range g.servers {
		_ = server.Close() // the process ends
	}
}

func (g *Gateway) answerDirectory(w http.ResponseWriter, r *http.Request) {
	question := platform.ReadQuestion(r)
	addresses := g.addressesFor(question.Region, question.Zone)
	if err := platform.WriteDirectory(w, addresses, g.directoryTTL()); err != nil {
		_ = g.log.Log("msg", "directory answer not written", "err", err) // as above
	}
}

// directoryTTL is how long callers may keep an answer.
func (g *Gateway) directoryTTL() time.Duration {
	if bound := g.bounds.Load().DirectoryTTL; bound > 0 {
		return min(longestTTL, bound)
	}
	return longestTTL
}

// fewest is how many entry VMs an answer names if there are as many: with one
// alone, its callers would have nowhere to go while it restarts.
const fewest = 2

// addressesFor returns the entry VMs for callers of a zone: those of the zone,
// with few there those of the region, and without any there all.
func (g *Gateway) addressesFor(region steering.Region, zone steering.Zone) []string {
	serving := g.fleet.Serving(g.relay.Ready() && !g.leaving.Load())
	var near, around, all []string
	for _, m := range serving {
		all = append(all, m.Callers)
		if m.Region == region {
			around = append(around, m.Callers)
		}
		if m.Zone == zone {
			near = append(near, m.Callers)
		}
	}
	for _, addresses := range [][]string{near, around, all} {
		if len(addresses) >= fewest {
			return addresses
		}
	}
	return all
}
