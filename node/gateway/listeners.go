package gateway

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/capacity"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
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
	var near []fleet.Member
	var around, all []string
	for _, m := range serving {
		all = append(all, m.Callers)
		if m.Region == region {
			around = append(around, m.Callers)
		}
		if m.Zone == zone {
			near = append(near, m)
		}
	}
	if len(near) >= fewest {
		return g.mostAble(near, zone)
	}
	for _, addresses := range [][]string{around, all} {
		if len(addresses) >= fewest {
			return addresses
		}
	}
	return all
}

// mostAble returns the addresses of the most able VMs of a zone, as many as bear what its
// callers ask.
func (g *Gateway) mostAble(vms []fleet.Member, zone steering.Zone) []string {
	slices.SortFunc(vms, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	capacities := make([]float64, 0, len(vms))
	for _, m := range vms {
		capacities = append(capacities, float64(m.Capacity))
	}
	var addresses []string
	for _, m := range vms[:capacity.Named(capacities, g.demandOf(zone), fewest)] {
		addresses = append(addresses, m.Callers)
	}
	return addresses
}

// peakFade is the time in which a peak of demand loses two thirds of its weight. VMs are
// named soon when callers ask more, and left out late when they ask less.
const peakFade = 10 * time.Second

// demandOf returns what the callers of a zone ask, in requests per second, or asked of late.
func (g *Gateway) demandOf(zone steering.Zone) float64 {
	now := time.Now()
	demand := g.fleet.ZoneDemand(zone)
	if zone == g.settings.Zone {
		g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) { demand.AddAll(b.Demand(now)) })
	}
	sum := 0.0
	for _, d := range demand {
		sum += float64(d.Rate)
	}
	g.peaksMu.Lock()
	defer g.peaksMu.Unlock()
	p := g.peaks[zone]
	p.demand = math.Max(sum, p.demand*math.Exp(-now.Sub(p.at).Seconds()/peakFade.Seconds()))
	p.at = now
	g.peaks[zone] = p
	return p.demand
}

// peak is the most that callers asked of late.
type peak struct {
	demand float64
	at     time.Time
}
