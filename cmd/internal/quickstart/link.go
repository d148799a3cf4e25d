package quickstart

import (
	"context"
	"net"
	"time"
)

const (
	// maxChunkBytes is the maximum size of a chunk in bytes.
	maxChunkBytes = 16 << 10
	// maxChunksInFlight limits the chunks in flight in one direction. It still allows
	// 200 MB/s on a link with a delay of 20 ms.
	maxChunksInFlight = 256
)

// chunk is data in flight on a delayed connection.
type chunk struct {
	bytes     []byte
	deliverAt time.Time
}

// withDelay returns a connection that adds a one-way delay to conn. Data and the
// end of the stream arrive after the delay and in order. When the connection
// breaks, both sides are closed.
func withDelay(conn net.Conn, oneWay time.Duration) net.Conn {
	near, far := net.Pipe()
	go forward(conn, far, oneWay)
	go forward(far, conn, oneWay)
	return near
}

// forward copies data from one connection to another after a delay, until one of
// them ends.
func forward(from, to net.Conn, oneWay time.Duration) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go deliver(inFlight, from, to)
	defer close(inFlight)
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			inFlight <- chunk{bytes: buf[:n], deliverAt: time.Now().Add(oneWay)}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk when its delay is over. When the sender ends or a
// write fails, it closes both connections and discards the remaining chunks, so
// that forward never blocks on a full channel.
func deliver(inFlight <-chan chunk, from, to net.Conn) {
	for p := range inFlight {
		time.Sleep(time.Until(p.deliverAt))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range inFlight {
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// withZoneDelay returns a dial function whose connections have the delay that the
// deployment specifies between the given zone and the zone of the address, plus
// extraDelay.
func (n *network) withZoneDelay(dial dialFunc, zone string, extraDelay time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		oneWay := extraDelay
		if to := n.zoneOf(address); to != "" {
			oneWay += n.delays(zone, to)
		}
		conn, err := dial(ctx, network, address)
		if err != nil || oneWay == 0 {
			return conn, err
		}
		time.Sleep(2 * oneWay) // the handshake's round trip
		return withDelay(conn, oneWay), nil
	}
}
