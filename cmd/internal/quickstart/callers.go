package quickstart

import (
	"fmt"
	"time"

	"heatherlock/cmd/internal/caller"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
)

// Sizes of the callers.
const (
	callersPerZone = 24
	// crashingCallers is how many callers send the request that crashes
	// targets.
	crashingCallers = 3
	// rushRequests are sent at once by one zone's callers, each with so little
	// time that the deployment's slots cannot take them all.
	rushRequests = 250
	rushTimeout  = 150 * time.Millisecond
)

// startCallers makes the callers of every zone and the streams of their work.
func (r *running) startCallers() {
	d := r.system.deployment
	r.callers = map[string][]*caller.Caller{}
	var streams []traffic.Stream
	for _, z := range d.Zones {
		bootstrap := r.system.callerAddresses(z.Name)
		for i := range callersPerZone {
			r.callers[z.Name] = append(r.callers[z.Name], caller.New(caller.Config{
				Home: z.Name, Source: traffic.SourceIn(z.Block, i), Bootstrap: bootstrap,
				Reporter: r.system.witness, Excused: r.system.excused,
			}))
		}
		for _, s := range d.Services {
			streams = append(streams, traffic.Stream{
				Service: s, Name: s.Name + "-" + z.Name, Rate: traffic.ZoneRate(d, s, r.options.Load), Callers: r.callers[z.Name],
			})
		}
	}
	r.traffic = traffic.New(streams, r.options.Seed, "")
}

func (r *running) closeCallers() {
	for _, callers := range r.callers {
		for _, c := range callers {
			c.Close()
		}
	}
}

// rush has one zone's callers buy all at once, more than all places can run in
// the time allowed: some must be refused, and those must not run.
func (r *running) rush() {
	d := r.system.deployment
	zone := d.Zones[len(d.Zones)-1].Name
	for _, s := range d.Services {
		if s.Work != deploy.WorkPurchase {
			continue
		}
		for i := range rushRequests {
			request := traffic.RequestFor(s, fmt.Sprintf("rush-%s-%d", s.Name, i))
			request.Timeout = rushTimeout
			r.traffic.SendOne(r.callers[zone][i%callersPerZone], request)
		}
	}
}

// sendCrashing has callers send a request that crashes each target it reaches,
// and send it again by the rules, through different entry VMs.
func (r *running) sendCrashing() {
	s := r.system.deployment.Services[0]
	request := traffic.RequestFor(s, "crashing")
	request.CrashMarker = crashMarker
	for _, from := range r.callers[r.system.faultZone()][:crashingCallers] {
		r.traffic.SendOne(from, request)
	}
}
