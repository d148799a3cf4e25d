package responses

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/go-faster/errors"
)

// Transport is an http.RoundTripper that refuses malformed responses. Reading a body fails if it is broken off, or if its
// trailer is malformed.
type Transport struct {
	inner *http.Transport
}

// NewTransport returns a Transport that uses t, which must not be in use yet.
func NewTransport(t *http.Transport) *Transport {
	t.DialContext = Dialer(t.DialContext)
	return &Transport{inner: t}
}

// NewClient returns a client with the settings of http.DefaultClient.
func NewClient() *http.Client {
	settings := &http.Transport{}
	if usual, ok := http.DefaultTransport.(*http.Transport); ok {
		settings = usual.Clone()
	}
	return &http.Client{Transport: NewTransport(settings)}
}

// Unwrap returns the underlying transport.
func (t *Transport) Unwrap() *http.Transport { return t.inner }

// SetDial makes the transport connect with dial. It must not be in use yet.
func (t *Transport) SetDial(dial DialFunc) { t.inner.DialContext = Dialer(dial) }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The connection of a malformed response is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	var interim error
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn = connOf(info.Conn); conn != nil {
				conn.Begin()
			}
		},
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			interim = CheckInterim(status, http.Header(header))
			return interim
		},
	}
	response, err := t.inner.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		conn.refuse()
		return nil, err
	}
	if err := errors.Join(interim, Check(response)); err != nil {
		conn.refuse()
		_ = response.Body.Close() // an error makes no difference, as the connection is closed
		return nil, err
	}
	response.Request = r
	if HasTrailer(response) {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, conn: conn}
		return response, nil
	}
	conn.accept()
	return response, nil
}

// connOf returns the Conn that carries one exchange at a time below c, or nil. Over HTTP/2, exchanges share it.
func connOf(c net.Conn) *Conn {
	if secure, ok := c.(*tls.Conn); ok {
		if secure.ConnectionState().NegotiatedProtocol == "h2" {
			return nil
		}
		c = secure.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// refuse closes the connection, unless it is nil.
func (c *Conn) refuse() {
	if c != nil {
		_ = c.Close() // an error makes no difference, as the connection is not used any more
	}
}

// accept is Accept, unless the connection is nil.
func (c *Conn) accept() {
	if c != nil {
		c.Accept()
	}
}

// checkedBody is a body that fails where its trailer breaks the protocol.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn // may be nil
	checked  bool  // set at the end of the body
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if malformed := CheckTrailer(b.response); malformed != nil {
		b.conn.refuse()
		return n, malformed
	}
	b.checked = true
	b.conn.accept()
	return n, err
}

// Close implements io.Closer. A connection whose response was not read to its end carries no other.
func (b *checkedBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.checked {
		b.conn.refuse()
	}
	return err
}
