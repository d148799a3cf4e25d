package gateway

import (
	"context"
	"net"

	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/responses"
)

// DialPeersBy sets the function that opens connections to peers. It must be called before Run.
func (g *Gateway) DialPeersBy(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	g.peerClient.Transport.(*responses.Transport).SetDial(dial)
}

// HeartbeatBytes returns the number of heartbeat bytes sent since the gateway was created.
func (g *Gateway) HeartbeatBytes() int64 { return g.meter.Total(volume.Heartbeats) }

// DialTargetsBy sets the function that opens connections to targets. It must be called before Run.
func (g *Gateway) DialTargetsBy(dial upstream.DialFunc) { g.pool.Dial = dial }
