package quickstart

import (
	"context"
	"net"
	"time"
)

const (
	// linkPiece is the most that a link carries in one piece.
	linkPiece = 16 << 10
	// linkPieces bounds the pieces under way in one direction. With it a link
	// of 20 ms still carries 200 MB a second.
	linkPieces = 256
)

// piece is some bytes under way on a link.
type piece struct {
	bytes   []byte
	arrives time.Time
}

// overLink puts a connection behind a link with a one-way delay. What is
// written arrives later in the same order, and so does the end. A connection
// that breaks ends for both sides.
func overLink(conn net.Conn, oneWay time.Duration) net.Conn {
	near, far := net.Pipe()
	go carry(conn, far, oneWay)
	go carry(far, conn, oneWay)
	return near
}

// carry moves bytes from one connection to another until one ends.
func carry(from, to net.Conn, oneWay time.Duration) {
	underWay := make(chan piece, linkPieces)
	go deliver(underWay, from, to)
	defer close(underWay)
	for {
		buf := make([]byte, linkPiece)
		n, err := from.Read(buf)
		if n > 0 {
			underWay <- piece{bytes: buf[:n], arrives: time.Now().Add(oneWay)}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes pieces when they arrive. When the sender ended, or the other
// side takes no more, both connections are closed; the rest is dropped, so that
// carry never waits for room.
func deliver(underWay <-chan piece, from, to net.Conn) {
	for p := range underWay {
		time.Sleep(time.Until(p.arrives))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range underWay {
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// overLinks returns a dial function whose connections take the delay that the
// deployment names between a zone and that of the address, and more.
func (n *network) overLinks(dial dialFunc, zone string, more time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		oneWay := more
		if to := n.zoneOf(address); to != "" {
			oneWay += n.delays(zone, to)
		}
		conn, err := dial(ctx, network, address)
		if err != nil || oneWay == 0 {
			return conn, err
		}
		time.Sleep(2 * oneWay) // the handshake's round trip
		return overLink(conn, oneWay), nil
	}
}
