package callers

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

const writeBuffer = 4 << 10

// write writes an answer. A body that breaks off ends the connection, so that
// it does not look complete.
func (c *conn) write(a *Response, r *http.Request, closing bool) {
	if a == nil || c.broken.Load() {
		c.breakOff(a)
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := bufio.NewWriterSize(c.raw, writeBuffer)
	err := writeAnswer(w, a, r, closing)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.breakOff(a)
		return
	}
	if closing {
		c.broken.Store(true)
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}
}

// breakOff ends the connection without a complete answer.
func (c *conn) breakOff(a *Response) {
	c.broken.Store(true)
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
	_ = c.raw.Close()
}

// bodyless reports answers that have no body whatever their header says.
func bodyless(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func writeAnswer(w *bufio.Writer, a *Response, r *http.Request, closing bool) error {
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n") // kept by w until Flush
	if err := a.Header.Write(w); err != nil {
		return err
	}
	if closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if bodyless(a.Status, r.Method) {
		if r.Method == http.MethodHead && a.Length >= 0 {
			_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
		}
		_, err := w.WriteString("\r\n")
		return err
	}
	if a.Rest == nil {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n\r\n")
		_, err := w.Write(a.Body)
		return err
	}
	defer a.Rest.Close()
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
	_, err := io.Copy(w, a.Rest)
	return err
}
