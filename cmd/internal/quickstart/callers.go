package quickstart

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"heatherlock/cmd/internal/caller"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
)

// Number of callers and size of the special loads.
const (
	callersPerZone = 24
	// crashSenders callers send the request that crashes targets concurrently.
	// Each sends it crashRepeats more times, one after another.
	crashSenders = 3
	crashRepeats = 2
	// uploadsPerZone uploads are sent in each zone of the region with the planned
	// stop, so that some are in flight when the stop is declared.
	uploadsPerZone = 6
	// burstRequests are sent at once by the callers of one zone. burstTimeout is
	// too short for the slots of the deployment to run them all.
	burstRequests = 250
	burstTimeout  = 150 * time.Millisecond
)

// startCallers creates the callers of every zone and the request streams that
// they send.
func (r *runState) startCallers() {
	d := r.system.deployment
	phases := rand.New(rand.NewPCG(r.options.Seed, 0))
	r.callers = map[string][]*caller.Caller{}
	var streams []traffic.Stream
	for _, z := range d.Zones {
		bootstrap := r.system.callerAddresses(z.Name)
		for i := range callersPerZone {
			r.callers[z.Name] = append(r.callers[z.Name], caller.New(caller.Config{
				Home: z.Name, Source: traffic.SourceIn(z.Block, i), Bootstrap: bootstrap,
				Reporter: r.system.witness, Excused: r.system.excused, Phase: phases.Float64(),
				WrapDial: func(dial caller.Dial) caller.Dial {
					return r.system.network.withZoneDelay(dial, z.Name, d.Delays.Clients)
				},
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

func (r *runState) closeCallers() {
	for _, callers := range r.callers {
		for _, c := range callers {
			c.Close()
		}
	}
}

// sendBurst sends a burst of purchases from the callers of one zone, more than
// all places can run within the timeout: some must be refused, and the refused
// ones must not run.
func (r *runState) sendBurst() {
	d := r.system.deployment
	zone := d.Zones[len(d.Zones)-1].Name
	for _, s := range d.Services {
		if s.Work != deploy.WorkPurchase {
			continue
		}
		for i := range burstRequests {
			request := traffic.RequestFor(s, fmt.Sprintf("rush-%s-%d", s.Name, i))
			request.Timeout = burstTimeout
			r.traffic.SendDirect(traffic.DirectRequest{From: r.callers[zone][i%callersPerZone], Request: request})
		}
	}
}

// sendUploads sends uploads from the zones of the region that the shift moves
// callers out of. The name becomes part of the request IDs.
func (r *runState) sendUploads(name string) {
	d := r.system.deployment
	for _, s := range d.Services {
		if s.Work != deploy.WorkUpload {
			continue
		}
		for _, place := range d.PlacesOf(d.ShiftFrom) {
			for i := range uploadsPerZone {
				request := traffic.RequestFor(s, fmt.Sprintf("%s-%s-%s-%d", name, s.Name, place, i))
				r.traffic.SendDirect(traffic.DirectRequest{From: r.callers[place][i], Request: request})
			}
		}
	}
}

// waitForUpload waits until the target that the planned stop would choose runs
// an upload, or until ctx ends.
func (r *runState) waitForUpload(ctx context.Context) {
	for ctx.Err() == nil && !r.operator.runsUpload() {
		time.Sleep(uploadPollInterval)
	}
}

// uploadPollInterval is the interval between checks for a running upload.
const uploadPollInterval = 5 * time.Millisecond

// sendCrashRequests sends one request that crashes every target that runs it,
// concurrently and repeatedly, from different callers and thus through different
// entry VMs.
func (r *runState) sendCrashRequests() {
	s := r.system.deployment.Services[0]
	request := traffic.RequestFor(s, "crashing")
	request.CrashMarker = crashMarker
	callers := r.callers[r.system.faultZone()]
	for i := range crashSenders {
		var requests []traffic.DirectRequest
		for j := range 1 + crashRepeats {
			requests = append(requests, traffic.DirectRequest{From: callers[(i+j)%len(callers)], Request: request})
		}
		r.traffic.SendDirect(requests...)
	}
}
