package quickstart

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// progressEvery is the pause between two lines of progress.
const progressEvery = 250 * time.Millisecond

func joined(names []string) string { return strings.Join(names, ",") }

// showProgress rewrites one line on a terminal until ctx ends.
func (r *running) showProgress(ctx context.Context, begun time.Time) {
	if !r.screen.Live {
		return
	}
	for ctx.Err() == nil {
		c := r.traffic.Counts()
		fmt.Fprintf(r.screen.Out, "\r\x1b[K%5.1fs  %d requests  %d answered  %d refused  %d under way  shift %d%% moved",
			time.Since(begun).Seconds(), c.Requests, c.Answered, c.Refused, r.traffic.Carried(), r.operator.progress(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(progressEvery):
		}
	}
	fmt.Fprint(r.screen.Out, "\r\x1b[K")
}

// keep leaves the system running and says what can be tried on it.
func (r *running) keep(ctx context.Context) {
	v := r.system.all()[0]
	fmt.Fprintf(r.screen.Out, `
The system goes on running; end it with Ctrl-C. Try:

  heatherlock status --server %[1]s
  heatherlock get Place --server %[1]s
  heatherlock get PlannedStop %[2]s --server %[1]s
  heatherlock watch Shift %[3]s --server %[1]s
  heatherlock load --entry %[4]s --deployment %[5]s --for 10s
  curl -H 'Heatherlock-Service: %[6]s' http://%[4]s/
`, v.addresses.Operator, stopName, shiftName, v.addresses.Caller, r.system.deployment.Name, r.system.deployment.Services[0].Name)
	<-ctx.Done()
}
