package buffering

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Queues of a connection in the kernel.
const (
	unreadQueue = unix.TIOCINQ
	unsentQueue = unix.TIOCOUTQ
)

// queued returns the length of a queue of the kernel, or 0 if it is unknown.
func queued(c syscall.Conn, queue uint) int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), queue) }) // n stays 0 on an error
	return int64(n)
}
