package endpoint

import (
	"io"
	"net"
	"strings"
	"time"
)

// endlessTime bounds how long a target sends bytes that do not end.
const endlessTime = 20 * time.Second

// writeEndless sends a response that does not end. head is the head of a response without its last line.
func writeEndless(conn net.Conn, fault Fault, head string) {
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(endlessTime)) // the writes below fail if it cannot be set
	begin, again := head, "X-Filler: "+strings.Repeat("x", 1000)+"\r\n"
	switch fault {
	case EndlessLine:
		begin, again = head+"X-Filler: ", strings.Repeat("x", 1000)
	case EndlessInterim:
		begin, again = "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	case EndlessBody:
		begin, again = head+"\r\n", strings.Repeat("x", 1000)
	case EndlessChunk:
		begin, again = head+"Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1000)
	}
	_, err := io.WriteString(conn, begin)
	for piece := []byte(again); err == nil; {
		_, err = conn.Write(piece)
	}
}
