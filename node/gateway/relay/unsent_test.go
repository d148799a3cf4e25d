package relay_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/upstream"
	"heatherlock/standin/endpoint"
)

// Guards against a purchase that its caller cannot repeat although no target has received it: what
// is known not to have run must be refused, with a promise that holds, and only what may have run
// may end with 502 or 504.
func TestPurchaseIsRefusedExactlyIfItHasNotRun(t *testing.T) {
	refused := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	hangs := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	late := func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(400 * time.Millisecond)
		return upstream.Dial(context.WithoutCancel(ctx), address)
	}
	for name, c := range map[string]struct {
		dial     upstream.DialFunc
		fault    endpoint.Fault
		deadline time.Duration
		status   int
		runs     int
	}{
		"connections are refused":                 {dial: refused, deadline: 2 * time.Second, status: 503},
		"connections time out":                    {dial: hangs, deadline: 2 * time.Second, status: 503},
		"the deadline passes while connecting":    {dial: hangs, deadline: 190 * time.Millisecond, status: 503},
		"the connection opens after the deadline": {dial: late, deadline: 300 * time.Millisecond, status: 503},
		"all targets shed":                        {fault: endpoint.Shed, deadline: 2 * time.Second, status: 503},
		"the connection breaks after the request": {fault: endpoint.Crash, deadline: 2 * time.Second, status: 502, runs: 1},
		"the target is silent":                    {fault: endpoint.Dark, deadline: 500 * time.Millisecond, status: 504, runs: 1},
		"the target answers":                      {deadline: 2 * time.Second, status: 200, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dial := c.dial
			if dial == nil {
				dial = upstream.Dial
			}
			g := newRigDialing(t, 3, nil, dial)
			g.faults(func(int) endpoint.Fault { return c.fault })
			got := g.ask("POST", "/buy/1", "paid", c.deadline)
			assert.Equal(t, got.status, c.status)
			assert.Assert(t, got.took < c.deadline+500*time.Millisecond, "took %v", got.took)
			time.Sleep(300 * time.Millisecond) // in which an attempt that is still under way would arrive
			assert.Equal(t, len(g.runs()), c.runs)
		})
	}
}
