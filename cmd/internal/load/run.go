package load

import (
	"context"
	"fmt"
	"time"

	"heatherlock/cmd/internal/caller"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
)

// callersPerZone is the number of callers in each zone.
const callersPerZone = 24

// Run sends requests for o.For, waits for those in flight and returns the report. It
// returns an error if no entry VM answers a look-up.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	d, err := deploy.Named(o.Deployment)
	if err != nil {
		return nil, err
	}
	shares, err := o.shares(d)
	if err != nil {
		return nil, err
	}
	streams, callers := o.streams(d, shares)
	defer closeAll(callers)
	if err := callers[0].Reach(ctx, shares[0].service.Name); err != nil {
		return nil, err
	}
	run := fmt.Sprintf("load%x-", time.Now().UnixNano())
	t := traffic.New(streams, o.Seed, run)
	started := time.Now()
	limited, end := context.WithTimeout(ctx, o.For)
	defer end()
	t.Run(limited)
	sent := time.Since(started)
	t.Wait()
	return newReport(o, t, sent, time.Since(started)), nil
}

// streams divides the rate among zones and services. It returns the streams and all
// their callers.
func (o Options) streams(d deploy.Deployment, shares []share) ([]traffic.Stream, []*caller.Caller) {
	var streams []traffic.Stream
	var all []*caller.Caller
	for _, z := range d.Zones {
		callers := o.callers(z)
		all = append(all, callers...)
		for _, s := range shares {
			streams = append(streams, traffic.Stream{
				Service: s.service, Name: s.service.Name + "-" + z.Name,
				Rate: o.Rate * s.part / float64(len(d.Zones)), Callers: callers,
			})
		}
	}
	return streams, all
}

// callers returns the callers of a zone. On loopback, each caller sends from its own
// address in the zone's client block. With remote entry VMs, only the address of this
// machine is available.
func (o Options) callers(z deploy.Zone) []*caller.Caller {
	var all []*caller.Caller
	for i := range callersPerZone {
		c := caller.Config{Home: z.Name, Bootstrap: o.Entries}
		if o.onLoopback() {
			c.Source = traffic.SourceIn(z.Block, i)
		}
		all = append(all, caller.New(c))
	}
	return all
}

func (o Options) onLoopback() bool { return !o.AllowRemote }

func closeAll(callers []*caller.Caller) {
	for _, c := range callers {
		c.Close()
	}
}
