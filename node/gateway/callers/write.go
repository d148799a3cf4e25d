package callers

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"heatherlock/node/gateway/buffering"
	"heatherlock/steering/buffers"
)

const writeBufferSize = 4 << 10

// write writes a response. If its body ends early the connection is closed, so that the response
// does not look complete. The caller may take any time for it as long as it reads.
func (c *conn) write(a *Response, r *http.Request, closing bool, claim *buffering.Claim) {
	if a == nil || c.unwritable.Load() {
		c.abort(a)
		return
	}
	// The end of the connection is the end of such a body. Until it is complete, the connection is reset by
	// whatever ends it, the end of the process included.
	endsBody := a.BodyRest != nil && a.Length < 0 && !r.ProtoAtLeast(1, 1)
	if endsBody {
		buffering.ResetOnClose(c.raw, true)
	}
	w := bufio.NewWriterSize(&buffering.Writer{Conn: c.raw, Claim: claim, Side: buffers.Caller, HoldBack: holdBackOf(a)}, writeBufferSize)
	err := writeAnswer(w, a, r, closing)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.abort(a)
		return
	}
	if endsBody {
		buffering.ResetOnClose(c.raw, false)
	}
	if closing {
		c.unwritable.Store(true)
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}
}

// holdBackOf returns the function that stops reading a streamed body, or nil.
func holdBackOf(a *Response) func() int64 {
	if source, ok := a.BodyRest.(interface{ HoldBack() int64 }); ok {
		return source.HoldBack
	}
	return nil
}

// abort closes the connection without a complete response.
func (c *conn) abort(a *Response) {
	c.unwritable.Store(true)
	if a != nil && a.BodyRest != nil {
		_ = a.BodyRest.Close()
	}
	_ = c.raw.Close()
}

// hasNoBody reports whether a response has no body whatever its header says.
func hasNoBody(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func writeAnswer(w *bufio.Writer, a *Response, r *http.Request, closing bool) error {
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n") // w keeps the error until Flush
	if err := a.Header.Write(w); err != nil {
		return err
	}
	if closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if hasNoBody(a.Status, r.Method) {
		if r.Method == http.MethodHead && a.Length >= 0 {
			_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
		}
		_, err := w.WriteString("\r\n")
		return err
	}
	if a.BodyRest == nil {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n\r\n")
		_, err := w.Write(a.Body)
		return err
	}
	defer a.BodyRest.Close()
	if a.Length >= 0 {
		return writeSized(w, a)
	}
	if !r.ProtoAtLeast(1, 1) {
		_, _ = w.WriteString("\r\n")
		return copyBody(w, a)
	}
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	chunks := httputil.NewChunkedWriter(w)
	if err := copyBody(chunks, a); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

func writeSized(w *bufio.Writer, a *Response) error {
	_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n\r\n")
	return copyBody(w, a)
}

func copyBody(w io.Writer, a *Response) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	_, err := io.Copy(w, a.BodyRest)
	return err
}
