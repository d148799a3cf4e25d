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

// Sizes of the callers.
const (
	callersPerZone = 24
	// crashingAtOnce callers send the request that crashes targets at the same
	// moment, and each crashingRepeats times again, one after another.
	crashingAtOnce  = 3
	crashingRepeats = 2
	// stopUploads are under way in each zone of the region in which a target
	// is to stop, so that the stop meets some.
	stopUploads = 6
	// rushRequests are sent at once by one zone's callers, each with so little
	// time that the deployment's slots cannot take them all.
	rushRequests = 250
	rushTimeout  = 150 * time.Millisecond
)

// startCallers makes the callers of every zone and the streams of their work.
func (r *running) startCallers() {
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
				Link: func(dial caller.Dial) caller.Dial {
					return r.system.network.overLinks(dial, z.Name, d.Delays.Clients)
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
			r.traffic.Send(traffic.Errand{From: r.callers[zone][i%callersPerZone], Request: request})
		}
	}
}

// sendUploads has uploads under way in the region that the shift leaves.
func (r *running) sendUploads(name string) {
	d := r.system.deployment
	for _, s := range d.Services {
		if s.Work != deploy.WorkUpload {
			continue
		}
		for _, place := range d.PlacesOf(d.ShiftFrom) {
			for i := range stopUploads {
				request := traffic.RequestFor(s, fmt.Sprintf("%s-%s-%s-%d", name, s.Name, place, i))
				r.traffic.Send(traffic.Errand{From: r.callers[place][i], Request: request})
			}
		}
	}
}

// waitForUpload waits until a target that may be stopped runs an upload.
func (r *running) waitForUpload(ctx context.Context) {
	for ctx.Err() == nil && !r.operator.uploading() {
		time.Sleep(uploadPoll)
	}
}

// uploadPoll is the pause between two looks at what targets run.
const uploadPoll = 5 * time.Millisecond

// sendCrashing sends a request that crashes each target it reaches, at once and
// again and again, through different callers and so different entry VMs.
func (r *running) sendCrashing() {
	s := r.system.deployment.Services[0]
	request := traffic.RequestFor(s, "crashing")
	request.CrashMarker = crashMarker
	callers := r.callers[r.system.faultZone()]
	for i := range crashingAtOnce {
		var errands []traffic.Errand
		for j := range 1 + crashingRepeats {
			errands = append(errands, traffic.Errand{From: callers[(i+j)%len(callers)], Request: request})
		}
		r.traffic.Send(errands...)
	}
}
