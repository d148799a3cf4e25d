package buffering

import (
	"net"
)

// heldBackWindow is the receive buffer in bytes of a connection from which reading has stopped. The
// kernel would otherwise keep receiving, up to several megabytes.
const heldBackWindow = 64 << 10

// tcpOf returns the TCP connection below wrappers, or nil.
func tcpOf(c net.Conn) *net.TCPConn {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// LimitSend bounds what the kernel holds of the bytes that were written to a connection.
func LimitSend(c net.Conn, bytes int) {
	if tcp := tcpOf(c); tcp != nil {
		_ = tcp.SetWriteBuffer(bytes) // an error leaves a larger buffer, which is counted once a write is blocked
	}
}

// LimitReceive bounds what the kernel receives on a connection before it is read. Without it, the kernel's own
// limit applies, which is several megabytes.
func LimitReceive(c net.Conn, bytes int) {
	if tcp := tcpOf(c); tcp != nil {
		_ = tcp.SetReadBuffer(bytes) // an error leaves a larger buffer, which is counted once a write is blocked
	}
}

// HoldBack bounds what the kernel receives on a connection that is not being read, and returns the
// bytes that may wait there.
func HoldBack(c net.Conn) int64 {
	tcp := tcpOf(c)
	if tcp == nil {
		return 0
	}
	_ = tcp.SetReadBuffer(heldBackWindow) // an error leaves the larger buffer, which is counted below
	return max(queued(tcp, unreadQueue), heldBackWindow)
}

// unsent returns the bytes that a connection's peer has not acknowledged.
func unsent(c net.Conn) int64 {
	if tcp := tcpOf(c); tcp != nil {
		return queued(tcp, unsentQueue)
	}
	return 0
}

// ResetOnClose sets whether closing a connection resets it, also if the kernel closes it because the process ends. What its
// peer has not received is then discarded.
func ResetOnClose(c net.Conn, on bool) {
	tcp := tcpOf(c)
	if tcp == nil {
		return
	}
	seconds := -1 // the kernel's default
	if on {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // on an error the connection is closed in the usual way
}

// Reset makes closing a connection discard what its peer has not received, and frees that memory.
// The peer sees a reset, so that a response without a stated length does not look complete. Reset closes the TCP connection
// itself, because a TLS connection above it would first announce an orderly end to the peer.
func Reset(c net.Conn) {
	ResetOnClose(c, true)
	if tcp := tcpOf(c); tcp != nil {
		c = tcp
	}
	_ = c.Close() // an error makes no difference, as the connection is not used any more
}
