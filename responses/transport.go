package responses

import (
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
	var conn net.Conn
	var interim error
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			if plain, ok := conn.(*Conn); ok {
				plain.ExpectHead()
			}
		},
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			interim = CheckInterim(status, http.Header(header))
			return interim
		},
	}
	response, err := t.inner.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	giveUp := func() {
		if conn != nil {
			_ = conn.Close() // an error makes no difference, as the connection is not used any more
		}
	}
	if err := errors.Join(interim, Check(response)); err != nil {
		_ = response.Body.Close() // as above
		giveUp()
		return nil, err
	}
	response.Request = r
	if response.ContentLength < 0 {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, giveUp: giveUp}
	}
	return response, nil
}

// checkedBody is a body that fails where its trailer breaks the protocol.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	giveUp   func() // closes the connection
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if malformed := CheckTrailer(b.response); malformed != nil {
		b.giveUp()
		err = malformed
	}
	return n, err
}
