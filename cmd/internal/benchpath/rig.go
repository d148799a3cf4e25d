package benchpath

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/node"
	"heatherlock/node/static"
	"heatherlock/objects"
	"heatherlock/standin/deploy"
	"heatherlock/standin/platform"
	"heatherlock/standin/target"
)

// Names and sizes of the deployment: one service, one target and one entry VM.
const (
	serviceName = "bench"
	placeName   = "bench-a"
	zoneName    = "bench-a"
	regionName  = "bench"
	vmName      = "bench-a-1"
	// targetSlots and targetConnections are large enough that the target is never the bottleneck.
	targetSlots       = 4096
	targetConnections = 8192
	readyTimeout      = 10 * time.Second
)

// rig runs one entry VM, one simulated target, a bare proxy and the simulated platform in this
// process.
type rig struct {
	target *target.Target
	bare   *bareProxy
	server *http.Server
	node   *node.Node
	stop   context.CancelFunc
	done   chan error
}

func newRig(ctx context.Context) (*rig, error) {
	r := &rig{done: make(chan error, 1)}
	var err error
	r.target, err = target.Start(target.Config{
		Name: "bench-1", Service: serviceName, Place: placeName, Slots: targetSlots, MaxConnections: targetConnections,
	})
	if err != nil {
		return nil, err
	}
	if r.bare, err = startBareProxy(r.target.Address()); err != nil {
		_ = r.target.Close()
		return nil, err
	}
	url, err := r.startPlatform(ctx)
	if err != nil {
		r.bare.close()
		_ = r.target.Close()
		return nil, err
	}
	r.node, err = node.New(static.Settings{
		VM: vmName, Zone: zoneName, Region: regionName,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Platform: static.Platform{URL: url},
		Limits:   static.Limits{ConnectionsPerTarget: targetConnections},
	}, node.Options{Version: "bench"})
	if err != nil {
		_ = r.target.Close()
		_ = r.server.Close()
		return nil, errors.Wrap(err, "bench: start the entry VM")
	}
	var runCtx context.Context
	runCtx, r.stop = context.WithCancel(context.Background())
	go func() { r.done <- r.node.Run(runCtx) }()
	return r, r.waitReady(ctx)
}

func (r *rig) startPlatform(ctx context.Context) (url string, err error) {
	store := platform.NewStore(platform.Options{})
	api := store.As("bench", zoneName)
	for _, o := range r.objects() {
		raw, err := deploy.Encode(o)
		if err != nil {
			return "", err
		}
		kind, name := deploy.Identity(o)
		if _, err := api.Create(ctx, kind, name, raw); err != nil {
			return "", err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "bench: listen for the platform stand-in")
	}
	r.server = &http.Server{Handler: store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	store.SetVM(objects.VM{Name: vmName, Zone: zoneName, Region: regionName, State: objects.VMLive})
	return "http://" + listener.Addr().String(), nil
}

func (r *rig) objects() []oas.Object {
	service := oas.Service{
		Kind: string(oas.KindService), Metadata: oas.Metadata{Name: serviceName},
		Spec: oas.ServiceSpec{TimeoutMs: oas.NewOptInt64(60_000), NonIdempotentMethods: []string{"POST"}},
	}
	place := oas.Place{
		Kind: string(oas.KindPlace), Metadata: oas.Metadata{Name: placeName},
		Spec: oas.PlaceSpec{Region: regionName, Zone: zoneName, Targets: []oas.TargetSpec{{
			Name: r.target.Name(), Service: serviceName, Address: r.target.Address(), Slots: targetSlots,
			MaxConnections: oas.NewOptInt(targetConnections),
		}}},
	}
	blocks := oas.ClientBlocks{
		Kind: string(oas.KindClientBlocks), Metadata: oas.Metadata{Name: "callers"},
		Spec: oas.ClientBlocksSpec{Blocks: []oas.ClientBlock{{Prefix: "127.0.0.0/8", Place: placeName}}},
	}
	return []oas.Object{oas.NewServiceObject(service), oas.NewPlaceObject(place), oas.NewClientBlocksObject(blocks)}
}

// waitReady waits until a request through the entry VM succeeds, for at most readyTimeout.
func (r *rig) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := newClient()
	for {
		err := r.get(ctx, c, r.hopURL())
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("bench: no request went through the entry VM within %s: %w", readyTimeout, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (r *rig) directURL() string { return "http://" + r.target.Address() + "/x" }

func (r *rig) hopURL() string { return "http://" + r.node.Addresses().Caller + "/x" }

func (r *rig) lookupURL() string {
	return "http://" + r.node.Addresses().Caller + "/v1/lookup?service=" + serviceName
}

func (r *rig) close() {
	r.node.Kill()
	<-r.done
	r.stop()
	_ = r.target.Close()
	_ = r.server.Close()
	r.bare.close()
}
