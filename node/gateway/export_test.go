package gateway

import (
	"context"
	"net"
	"net/http"

	"heatherlock/node/gateway/volume"
)

// DialPeersBy makes the gateway open its connections to peers by dial, before it runs.
func (g *Gateway) DialPeersBy(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	g.peers.Transport.(*http.Transport).DialContext = dial
}

// HeartbeatBytes returns how many bytes of heartbeats were sent.
func (g *Gateway) HeartbeatBytes() int64 { return g.meter.Total(volume.Heartbeats) }
