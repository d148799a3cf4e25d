package quickstart

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// progressInterval is the interval between updates of the progress line.
const progressInterval = 250 * time.Millisecond

func commaSeparated(names []string) string { return strings.Join(names, ",") }

// showProgress updates a progress line on a terminal until ctx ends.
func (r *runState) showProgress(ctx context.Context, started time.Time) {
	if !r.screen.Live {
		return
	}
	for ctx.Err() == nil {
		c := r.traffic.Counts()
		fmt.Fprintf(r.screen.Out, "\r\x1b[K%5.1fs  %d requests  %d answered  %d refused  %d under way  shift %d%% moved",
			time.Since(started).Seconds(), c.Requests, c.Answered, c.Refused, r.traffic.InFlight(), r.operator.shiftProgress(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(progressInterval):
		}
	}
	fmt.Fprint(r.screen.Out, "\r\x1b[K")
}

// keepRunning prints commands to try on the running system and blocks until ctx ends.
func (r *runState) keepRunning(ctx context.Context) {
	all := r.system.all()
	v := all[0]
	fmt.Fprintf(r.screen.Out, `
The system goes on running; end it with Ctrl-C. Try in another terminal:

  export HEATHERLOCK_ENTRY_VMS=%[1]s,%[7]s
  heatherlock status
  heatherlock get Place
  heatherlock get PlannedStop %[2]s
  heatherlock watch Shift %[3]s
  heatherlock load --entry %[4]s --deployment %[5]s --for 10s
  curl -H 'Heatherlock-Service: %[6]s' http://%[4]s/

The status page is http://%[1]s/
`, v.addresses.Operator, stopName, shiftName, v.addresses.Caller, r.system.deployment.Name, r.system.deployment.Services[0].Name,
		all[len(all)-1].addresses.Operator)
	<-ctx.Done()
}
