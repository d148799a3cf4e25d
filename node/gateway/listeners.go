package gateway

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/capacity"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// serveHTTP starts the listeners for readiness probes, directory queries, control calls and
// metrics.
func (g *Gateway) serveHTTP() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		platform.WriteReady(w, g.relay.Ready() && !g.leaving.Load())
	})
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+platform.PathDirectory, g.serveDirectory)
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
	g.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = g.log.Log("msg", "listener failed", "address", address, "err", err) // the log writer counts dropped lines
		}
	})
	return nil
}

// serverCloseTime is how long a stopping VM waits for look-ups and control calls that are being answered.
const serverCloseTime = 200 * time.Millisecond

// closeServers closes the listeners other than those for requests. What is being answered is finished first.
func (g *Gateway) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTime)
	defer cancel()
	var all sync.WaitGroup
	for _, server := range g.servers {
		all.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close() // the process ends
			}
		})
	}
	all.Wait()
}

func (g *Gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := platform.ReadDirectoryQuery(r)
	addresses := g.addressesFor(query.Region, query.Zone)
	namesSelf := strconv.FormatBool(slices.Contains(addresses, g.settings.Listen.Callers))
	g.metrics.Scope.Tagged(map[string]string{"names_self": namesSelf}).Counter("gateway_directory_answers").Inc(1)
	if err := platform.WriteDirectoryResponse(w, addresses, g.directoryTTL()); err != nil {
		_ = g.log.Log("msg", "cannot write directory response", "err", err) // the log writer counts dropped lines
	}
}

// directoryTTL returns how long callers may cache a directory response.
func (g *Gateway) directoryTTL() time.Duration {
	if bound := g.bounds.Load().DirectoryTTL; bound > 0 {
		return min(maxDirectoryTTL, bound)
	}
	return maxDirectoryTTL
}

// minDirectoryEntries is the least number of entry VMs in a directory response, if that many are
// ready. With a single VM, its callers would have no other one to use while it restarts.
const minDirectoryEntries = 2

// addressesFor returns the addresses of the entry VMs for the callers of a zone: those of the
// zone, or those of the region if the zone has fewer than minDirectoryEntries, or all if the
// region has too few as well.
//
// VMs that are cut off from all targets are left out, unless too few VMs are not.
func (g *Gateway) addressesFor(region steering.Region, zone steering.Zone) []string {
	if named := g.namedIn(zone); len(named) >= minDirectoryEntries {
		return addressesOf(named)
	}
	var inRegion, all []string
	serving := g.fleet.Serving(g.serves())
	if reaching := g.fleet.WithoutCutOff(serving, g.relay.CutOff()); len(reaching) >= minDirectoryEntries {
		serving = reaching
	}
	for _, m := range serving {
		all = append(all, m.Callers)
		if m.Region == region {
			inRegion = append(inRegion, m.Callers)
		}
	}
	if len(inRegion) >= minDirectoryEntries {
		return inRegion
	}
	return all
}

// serves reports whether this VM takes requests.
func (g *Gateway) serves() bool { return g.relay.Ready() && !g.leaving.Load() }

func addressesOf(vms []fleet.Member) []string {
	addresses := make([]string, 0, len(vms))
	for _, m := range vms {
		addresses = append(addresses, m.Callers)
	}
	return addresses
}

// namedIn returns the VMs of a zone that directory responses name to its callers: those with the
// highest capacity, as many as the demand of the callers needs, and at least minDirectoryEntries if
// the zone has as many.
func (g *Gateway) namedIn(zone steering.Zone) []fleet.Member {
	vms := g.fleet.WithoutCutOff(g.fleet.ServingIn(zone, g.serves()), g.relay.CutOff())
	slices.SortFunc(vms, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	capacities := make([]float64, 0, len(vms))
	for _, m := range vms {
		capacities = append(capacities, float64(m.Capacity))
	}
	return vms[:capacity.DirectorySize(capacities, g.recentDemand(zone), minDirectoryEntries)]
}

// peakDecay is the time in which a demand peak decays to about a third. VMs are added to
// directory responses soon after demand rises, and removed slowly after it falls.
const peakDecay = 10 * time.Second

// recentDemand returns the request rate of the callers of a zone, in requests per second: the
// current rate, or a decayed recent peak if that is higher.
func (g *Gateway) recentDemand(zone steering.Zone) float64 {
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
	p.demand = math.Max(sum, p.demand*math.Exp(-now.Sub(p.at).Seconds()/peakDecay.Seconds()))
	p.at = now
	g.peaks[zone] = p
	return p.demand
}

// peak is a recent maximum of demand, decayed up to a point in time.
type peak struct {
	demand float64
	at     time.Time
}
