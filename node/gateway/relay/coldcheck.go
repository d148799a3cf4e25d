package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// coldCheckTimeout bounds a check: twice the longest round trip between regions.
const coldCheckTimeout = 200 * time.Millisecond

// errTurnedCold reports that a target has become cold and may get no further request now.
var errTurnedCold = errors.New("the target has become cold; the request goes to another target")

// coldChecks are the checks that run, by target. Each is closed when it has ended.
type coldChecks map[steering.Target]chan struct{}

// SetStoreAge passes on how old what this VM knows of the store is now.
func (f *Relay) SetStoreAge(age time.Duration) {
	readAt := time.Now().Add(-age)
	f.storeReadAt.Store(&readAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Balancer.SetStoreRead(readAt)
}

// storeAway reports whether the store cannot say what has become cold. It does not take the lock, as each request asks.
func (f *Relay) storeAway(now time.Time) bool {
	readAt := f.storeReadAt.Load()
	return readAt == nil || placement.StoreAway(now, *readAt)
}

// turnedCold reports whether the target of a pick has become cold while the store cannot say so. It asks the target,
// or waits for the answer to a check that runs.
func (x *exchange) turnedCold(ctx context.Context, pick placement.Pick) bool {
	f, t := x.f, pick.Target
	if !f.storeAway(time.Now()) {
		return false
	}
	for range 2 { // the second time, to find out what the check of another request showed
		f.mu.Lock()
		if !f.cfg.Balancer.ColdCheckDue(time.Now(), t) {
			cold := f.cfg.Balancer.TurnedCold(time.Now(), pick)
			f.mu.Unlock()
			return cold
		}
		running := f.coldChecks[t.Name]
		if running == nil {
			f.coldChecks[t.Name] = make(chan struct{})
		}
		f.mu.Unlock()
		if running == nil {
			return x.checkCold(ctx, pick)
		}
		select {
		case <-running:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// checkCold asks a target whether it is cold.
func (x *exchange) checkCold(ctx context.Context, pick placement.Pick) bool {
	f, t := x.f, pick.Target
	left, said := x.askCold(ctx, pick)
	f.mu.Lock()
	cold := f.cfg.Balancer.ColdChecked(time.Now(), t, left, said)
	close(f.coldChecks[t.Name])
	delete(f.coldChecks, t.Name)
	f.mu.Unlock()
	f.cfg.Metrics.ColdCheck(said, left > 0)
	if left > 0 {
		_ = f.cfg.Log.Log("msg", "target has become cold, as it says itself", "target", t.Name, "service", x.service, "cold_ms", left.Milliseconds(), "store_age_ms", f.storeAge().Milliseconds()) // the log writer counts dropped lines
	}
	return cold
}

// askCold returns for how much longer a target is cold by its own answer, and whether it said that.
func (x *exchange) askCold(ctx context.Context, pick placement.Pick) (left time.Duration, said bool) {
	service := x.table.Services[x.service]
	if service == nil || service.HealthPath == "" {
		return 0, true // it can't be asked, and is taken for what its entry says
	}
	ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
	defer cancel()
	header := make(http.Header)
	platform.SetExpectedTarget(header, string(pick.Target.Name))
	response, err := x.f.cfg.Pool.Do(ctx, upstream.Call{Target: pick.Target.Name, Generation: pick.Target.Generation, Address: pick.Target.Address,
		MaxConnections: x.maxConnections(), DialTimeout: coldCheckTimeout, OnOpen: x.f.opened(pick.Target)},
		&upstream.Request{Method: http.MethodGet, Path: service.HealthPath, Host: x.r.Host, Header: header})
	if err != nil {
		return 0, false
	}
	health := platform.ReadHealth(response.Status, response.Header)
	return health.ColdLeft, health.Healthy || health.ColdKnown && health.Target == string(pick.Target.Name)
}
