package load

import (
	"context"
	"fmt"
	"time"

	"heatherlock/cmd/internal/caller"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
)

// callersPerZone is the number of client addresses in each zone's block.
const callersPerZone = 24

// Run sends the work and returns the report.
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
	begun := time.Now()
	limited, end := context.WithTimeout(ctx, o.For)
	defer end()
	t.Run(limited)
	sent := time.Since(begun)
	t.Wait()
	return newReport(o, t, sent, time.Since(begun)), nil
}

// streams divides the rate over zones and services.
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

// callers returns a zone's callers. On loopback each has an address of the
// zone's client block; elsewhere the machine's own address is all there is.
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
